#include "queue/queue.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

const char *waitWord(WaitReason reason)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        WAIT_LIST(X)
#undef X
    };
    return WORDS[reason];
}

static bool stepDone(const Job *job, const char *name)
{
    for (size_t i = 0; i < job->tasksCount; i++)
        if (strcmp(job->spec.steps[job->tasks[i].step].name, name) == 0 && job->tasks[i].phase != TASK_DONE)
            return false;
    return true;
}

static bool stepsBefore(const Job *job, const StepSpec *step)
{
    for (size_t i = 0; i < step->afterCount; i++)
        if (!stepDone(job, step->after[i]))
            return false;
    return true;
}

static bool dueCame(const Job *job, QueueClock clock)
{
    return (job->spec.dueWallMs == 0 || clock.wallMs >= job->spec.dueWallMs) &&
           clock.logMs >= job->acceptedMs + job->spec.delayMs;
}

WaitReason queueWait(const Job *job, size_t task, QueueClock clock)
{
    const JobTask *one = &job->tasks[task];
    const StepSpec *step = &job->spec.steps[one->step];
    if (!dueCame(job, clock))
        return WAIT_DUE;
    if (!stepsBefore(job, step))
        return WAIT_STEPS;
    if (clock.logMs < one->restUntilMs)
        return WAIT_REST;
    if (step->gang)
        for (size_t i = 0; i < job->tasksCount; i++)
            if (job->tasks[i].step == one->step && job->tasks[i].phase != TASK_WAITING)
                return WAIT_GANG;
    return WAIT_READY;
}

static int candidateOrder(const void *a, const void *b)
{
    const Candidate *x = a, *y = b;
    if (x->restart != y->restart)
        return x->restart ? -1 : 1;
    if (x->rank != y->rank)
        return x->rank > y->rank ? -1 : 1;
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

size_t queueBuild(void *mem, const Table *table, const Config *config, QueueClock clock, QueuePolicy policy, void *arg,
                  Candidate **out)
{
    Job *const *jobs;
    const size_t jobCount = tableActive(table, &jobs);
    Candidate *candidates = NULL;
    size_t count = 0, room = 0;
    for (size_t j = 0; j < jobCount; j++) {
        const Job *job = jobs[j];
        if (job->ending != JOB_ACTIVE || !dueCame(job, clock))
            continue;
        const ConfigCell *cell = configCell(config, job->spec.cell);
        const ConfigQueue *queue = cell != NULL ? configQueue(cell, job->spec.queue) : NULL;
        const Policy *order = policy(arg, cell);
        size_t first = 0;
        for (size_t s = 0; s < job->spec.stepsCount; first += (size_t)job->spec.steps[s].count, s++) {
            const StepSpec *step = &job->spec.steps[s];
            const size_t end = first + (size_t)step->count;
            size_t at = first;
            while (at < end && job->tasks[at].phase != TASK_WAITING)
                at++;
            if (at == end || !stepsBefore(job, step))
                continue;
            const PolicySight sight = {.job = job,
                                       .step = step,
                                       .queuePriority = queue != NULL ? queue->priority : 0,
                                       .waitedMs = clock.logMs - job->tasks[at].changedMs};
            const double rank = order->rank(order->arg, &sight);
            for (; at < end; at++) {
                if (job->tasks[at].phase != TASK_WAITING || clock.logMs < job->tasks[at].restUntilMs)
                    continue;
                if (step->gang && (at != first || queueWait(job, at, clock) != WAIT_READY))
                    break; /* a gang goes by its first member */
                if (count == room) {
                    room = room ? room * 2 : 64;
                    candidates = talloc_realloc(mem, candidates, Candidate, (unsigned)room);
                }
                const JobTask *task = &job->tasks[at];
                candidates[count++] = (Candidate){
                    .job = job,
                    .first = at,
                    .count = step->gang ? (size_t)step->count : 1,
                    .restart = task->losses > 0 && job->spec.protection == PROTECTION_PROTECTED,
                    .rank = rank,
                    .sinceMs = task->changedMs > task->restUntilMs ? task->changedMs : task->restUntilMs,
                };
            }
        }
    }
    if (count > 0)
        qsort(candidates, count, sizeof(*candidates), candidateOrder);
    *out = candidates;
    return count;
}
