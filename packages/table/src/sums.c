/* What a job's tasks add up to, kept with each change of a phase. */
#include <string.h>
#include <talloc.h>

#include "table/job.h"

static uint32_t *leftOf(const Job *job, const JobTask *task)
{
    return &job->sums.left[task->turn * job->spec.stepsCount + task->step];
}

static uint64_t jobTurns(const Job *job)
{
    return job->spec.turns > 0 ? job->spec.turns : 1;
}

/* The steps that must be done before this one, a bit for each. */
static uint64_t before(const JobSpec *spec, const StepSpec *step)
{
    uint64_t bits = 0;
    for (size_t a = 0; a < step->afterCount; a++)
        for (size_t i = 0; i < spec->stepsCount && i < JOB_STEPS_MAX; i++)
            if (strcmp(spec->steps[i].name, step->after[a]) == 0)
                bits |= UINT64_C(1) << i;
    return bits;
}

void jobSum(Job *job)
{
    const size_t steps = job->spec.stepsCount, turns = (size_t)jobTurns(job);
    uint64_t *words = talloc_zero_array(job, uint64_t, (unsigned)(steps + turns + (steps * turns + 1) / 2));
    job->sums.before = words;
    job->sums.done = words + steps;
    job->sums.left = (uint32_t *)(void *)(words + steps + turns);
    job->sums.open = job->sums.undone = job->sums.waiting = 0;
    for (size_t i = 0; i < steps; i++)
        job->sums.before[i] = before(&job->spec, &job->spec.steps[i]);
    for (size_t i = 0; i < job->tasksCount; i++) {
        const JobTask *task = &job->tasks[i];
        job->sums.open += !taskEnded(task->phase);
        job->sums.undone += task->phase != TASK_DONE;
        job->sums.waiting += task->phase == TASK_WAITING;
        *leftOf(job, task) += task->phase != TASK_DONE;
    }
    for (size_t turn = 0; turn < turns; turn++)
        for (size_t i = 0; i < steps; i++)
            if (job->sums.left[turn * steps + i] == 0)
                job->sums.done[turn] |= UINT64_C(1) << i;
}

void jobSumTurn(Job *job, const JobTask *task, uint64_t phase)
{
    job->sums.waiting += phase == TASK_WAITING;
    job->sums.waiting -= task->phase == TASK_WAITING;
    /* an ended task never leaves its phase */
    if (taskEnded(phase) && !taskEnded(task->phase))
        job->sums.open--;
    if (phase != TASK_DONE || task->phase == TASK_DONE)
        return;
    job->sums.undone--;
    if (--*leftOf(job, task) == 0)
        job->sums.done[task->turn] |= UINT64_C(1) << task->step;
}

bool taskStepsDone(const Job *job, const JobTask *task)
{
    return (job->sums.before[task->step] & ~job->sums.done[task->turn]) == 0;
}
