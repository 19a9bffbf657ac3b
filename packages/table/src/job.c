#include "table/job.h"

#include <string.h>

SHAPE_TABLE(Room, ROOM_FIELDS)
SHAPE_TABLE(StepSpec, STEP_SPEC_FIELDS)
SHAPE_TABLE(JobSpec, JOB_SPEC_FIELDS)
SHAPE_TABLE(JobTask, JOB_TASK_FIELDS)
SHAPE_TABLE(JobTerms, JOB_TERMS_FIELDS)
SHAPE_TABLE(Job, JOB_FIELDS)

static const struct {
    const char *word;
    bool onWorker;
} PHASES[] = {
#define X(name, word, onWorker) {word, onWorker},
    TASK_PHASE_LIST(X)
#undef X
};

bool taskOnWorker(uint64_t phase)
{
    return phase < TASK_PHASE_COUNT && PHASES[phase].onWorker;
}

bool taskEnded(uint64_t phase)
{
    return phase == TASK_DONE || phase == TASK_FAILED || phase == TASK_CANCELLED;
}

uint64_t taskNumber(const JobTask *task)
{
    return TASK_NUMBER(task->turn, task->step, task->at);
}

size_t taskIndex(const Job *job, uint64_t number)
{
    /* within the first step a number is the index; what else lies below PLACES was
     * written by a release that knew indices alone */
    if (number < TASK_NUMBER_PLACES)
        return number < job->tasksCount ? (size_t)number : job->tasksCount;
    const uint64_t at = number % TASK_NUMBER_PLACES, steps = number / TASK_NUMBER_PLACES;
    const uint64_t step = steps % JOB_STEPS_MAX, turn = steps / JOB_STEPS_MAX;
    const uint64_t turns = job->spec.turns > 0 ? job->spec.turns : 1;
    if (turn >= turns || step >= job->spec.stepsCount || at >= job->spec.steps[step].count)
        return job->tasksCount;
    uint64_t before = 0;
    for (size_t i = 0; i < step; i++)
        before += job->spec.steps[i].count;
    const size_t index = (size_t)(turn * (job->tasksCount / turns) + before + at);
    return index < job->tasksCount ? index : job->tasksCount;
}

size_t taskFirst(const Job *job, const JobTask *task)
{
    return (size_t)(task - job->tasks) - (size_t)task->at;
}

int64_t taskDueWallMs(const Job *job, const JobTask *task)
{
    if (job->spec.firstWallMs == 0)
        return 0;
    return job->spec.firstWallMs + (int64_t)task->turn * job->spec.periodMs;
}

const char *taskPhaseWord(uint64_t phase)
{
    return phase < TASK_PHASE_COUNT ? PHASES[phase].word : "unlisted";
}

const char *jobPhaseWord(uint64_t phase)
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

const char *protectionWord(uint64_t protection)
{
    return protection < PROTECTION_COUNT ? PROTECTIONS[protection] : "unlisted";
}

Protection protectionOfWord(const char *word)
{
    for (int i = 0; i < PROTECTION_COUNT; i++)
        if (strcmp(PROTECTIONS[i], word) == 0)
            return (Protection)i;
    return PROTECTION_COUNT;
}
