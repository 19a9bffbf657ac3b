/* Shapes of jobs and tasks, names of their phases, and task numbers. */
#include "state/job.h"

#include <string.h>

SHAPE_TABLE(StepSpec, STEP_SPEC_FIELDS)
SHAPE_TABLE(JobSpec, JOB_SPEC_FIELDS)
SHAPE_TABLE(CountedAttempts, COUNTED_ATTEMPTS_FIELDS)
SHAPE_TABLE(JobTask, JOB_TASK_FIELDS)
SHAPE_TABLE(JobTerms, JOB_TERMS_FIELDS)
SHAPE_TABLE(Job, JOB_FIELDS)

static const struct {
    const char *word;
    bool on_worker;
} PHASES[] = {
#define X(name, word, on_worker) {word, on_worker},
    TASK_PHASE_LIST(X)
#undef X
};

bool task_on_worker(uint64_t phase)
{
    return phase < TASK_PHASE_COUNT && PHASES[phase].on_worker;
}

bool task_ended(uint64_t phase)
{
    return phase == TASK_DONE || phase == TASK_FAILED || phase == TASK_CANCELLED;
}

uint64_t job_turn_count(const JobSpec *spec)
{
    return spec->turns > 0 ? spec->turns : 1;
}

uint64_t task_number(const JobTask *task)
{
    return TASK_NUMBER(task->turn, task->step, task->at);
}

size_t task_index(const Job *job, uint64_t number)
{
    /* In the first step of the first turn a number equals the index. Any other number below TASK_NUMBERS_PER_STEP was
     * written by a release that identified tasks by their index. */
    if (number < TASK_NUMBERS_PER_STEP)
        return number < job->tasks_count ? (size_t)number : job->tasks_count;
    const uint64_t at = number % TASK_NUMBERS_PER_STEP, steps = number / TASK_NUMBERS_PER_STEP;
    const uint64_t step = steps % JOB_STEPS_MAX, turn = steps / JOB_STEPS_MAX;
    const uint64_t turns = job_turn_count(&job->spec);
    if (turn >= turns || step >= job->spec.steps_count || at >= job->spec.steps[step].count)
        return job->tasks_count;
    uint64_t before = 0;
    for (size_t i = 0; i < step; i++)
        before += job->spec.steps[i].count;
    const size_t index = (size_t)(turn * (job->tasks_count / turns) + before + at);
    return index < job->tasks_count ? index : job->tasks_count;
}

size_t task_first_of_step(const Job *job, const JobTask *task)
{
    return (size_t)(task - job->tasks) - (size_t)task->at;
}

int64_t task_due_wall_ms(const Job *job, const JobTask *task)
{
    if (job->spec.first_wall_ms == 0)
        return 0;
    return job->spec.first_wall_ms + (int64_t)task->turn * job->spec.period_ms;
}

const char *task_phase_name(uint64_t phase)
{
    return phase < TASK_PHASE_COUNT ? PHASES[phase].word : "unlisted";
}

const char *job_phase_name(uint64_t phase)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        JOB_PHASE_LIST(X)
#undef X
    };
    return phase < JOB_PHASE_COUNT ? WORDS[phase] : "unlisted";
}

static const char *const PROTECTIONS[] = {
#define X(name, word) word,
    PROTECTION_LIST(X)
#undef X
};

const char *protection_name(uint64_t protection)
{
    return protection < PROTECTION_COUNT ? PROTECTIONS[protection] : "unlisted";
}

Protection protection_of_name(const char *word)
{
    for (int i = 0; i < PROTECTION_COUNT; i++)
        if (strcmp(PROTECTIONS[i], word) == 0)
            return (Protection)i;
    return PROTECTION_COUNT;
}
