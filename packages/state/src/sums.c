/* Sums over the tasks of a job, updated with each change of a phase. */
#include <string.h>
#include <talloc.h>

#include "base/invariant.h"
#include "state/job.h"

static uint32_t *undone_of(const Job *job, const JobTask *task)
{
    return &job->sums.undone_by_step[task->turn * job->spec.steps_count + task->step];
}

/* Returns a bit for each step that must be done before this one. JOB_STEPS_MAX steps fit. */
static uint64_t dependency_bits(const JobSpec *spec, const StepSpec *step)
{
    uint64_t bits = 0;
    for (size_t a = 0; a < step->after_count; a++)
        for (size_t i = 0; i < spec->steps_count && i < JOB_STEPS_MAX; i++)
            if (strcmp(spec->steps[i].name, step->after[a]) == 0)
                bits |= UINT64_C(1) << i;
    return bits;
}

void job_sums_compute(Job *job)
{
    const size_t steps = job->spec.steps_count, turns = (size_t)job_turn_count(&job->spec);
    /* One allocation: 64-bit words for dependencies and done, 32-bit words for undone_by_step. */
    uint64_t *words = talloc_zero_array(job, uint64_t, (unsigned)(steps + turns + (steps * turns + 1) / 2));
    job->sums.dependencies = words;
    job->sums.done = words + steps;
    job->sums.undone_by_step = (uint32_t *)(void *)(words + steps + turns);
    job->sums.open = job->sums.undone = job->sums.waiting = 0;
    for (size_t i = 0; i < steps; i++)
        job->sums.dependencies[i] = dependency_bits(&job->spec, &job->spec.steps[i]);
    for (size_t i = 0; i < job->tasks_count; i++) {
        const JobTask *task = &job->tasks[i];
        job->sums.open += !task_ended(task->phase);
        job->sums.undone += task->phase != TASK_DONE;
        job->sums.waiting += task->phase == TASK_WAITING;
        *undone_of(job, task) += task->phase != TASK_DONE;
    }
    for (size_t turn = 0; turn < turns; turn++)
        for (size_t i = 0; i < steps; i++)
            if (job->sums.undone_by_step[turn * steps + i] == 0)
                job->sums.done[turn] |= UINT64_C(1) << i;
}

void job_sums_update(Job *job, const JobTask *task, uint64_t phase)
{
    INVARIANT(TASK_COUNTS, job->sums.waiting > 0 || task->phase != TASK_WAITING);
    job->sums.waiting += phase == TASK_WAITING;
    job->sums.waiting -= task->phase == TASK_WAITING;
    if (task_ended(phase) && !task_ended(task->phase))
        job->sums.open--;
    if (phase != TASK_DONE || task->phase == TASK_DONE)
        return;
    INVARIANT(TASK_COUNTS, job->sums.undone > 0 && *undone_of(job, task) > 0);
    job->sums.undone--;
    if (--*undone_of(job, task) == 0)
        job->sums.done[task->turn] |= UINT64_C(1) << task->step;
}

bool task_steps_done(const Job *job, const JobTask *task)
{
    return (job->sums.dependencies[task->step] & ~job->sums.done[task->turn]) == 0;
}
