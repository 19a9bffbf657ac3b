/* What takes time to go wrong, and what must have come true in the end. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Nothing of it runs. */
static bool seen_idle(const SeenJob *job)
{
    void *mem = talloc_new(NULL);
    const char **tasks;
    const size_t count = map_keys(job->tasks, mem, &tasks);
    bool idle = true;
    for (size_t t = 0; t < count; t++)
        idle &= ((const SeenTask *)map_get(job->tasks, tasks[t]))->runs == NULL;
    talloc_free(mem);
    return idle;
}

static void stops_inspect(Checker *checker, const SeenJob *job)
{
    const int64_t now_ms = checker_now(checker);
    void *mem = talloc_new(NULL);
    const char **tasks;
    const size_t count = map_keys(job->tasks, mem, &tasks);
    for (size_t t = 0; t < count; t++) {
        const SeenTask *task = map_get(job->tasks, tasks[t]);
        for (const SeenRun *run = task->runs; run != NULL; run = run->next) {
            if (checker->settings.frozen(checker->settings.arg, run->worker))
                continue;
            if (job->cancelled_ms != 0 && checker_debt_ms(checker, job->cancelled_ms) > STOP_LATE_MS)
                checker_broke(checker, INVARIANT_STOPPED_RAN, "%s task %s on %s %" PRId64 " ms after it was cancelled",
                              job->id, tasks[t], run->worker, now_ms - job->cancelled_ms);
            if (run->notified_ms != 0 && now_ms - run->notified_ms > NOTIFIED_LATE_MS)
                checker_broke(checker, INVARIANT_STOPPED_RAN,
                              "%s task %s on %s %" PRId64 " ms after the worker was told", job->id, tasks[t],
                              run->worker, now_ms - run->notified_ms);
        }
    }
    talloc_free(mem);
}

static void gangs_inspect(Checker *checker, SeenJob *job)
{
    const Job *known = job->accepted && !job->ended ? checker->settings.job(checker->settings.arg, job->id) : NULL;
    if (known == NULL)
        return;
    /* a gang's tasks stand one after another, for each turn and step */
    for (size_t first = 0; first < known->tasks_count;) {
        const StepSpec *step = &known->spec.steps[known->tasks[first].step];
        const size_t end = first + (size_t)step->count;
        size_t running = 0, ever = 0;
        int64_t newest_ms = 0;
        for (size_t t = first; t < end && step->gang; t++) {
            const SeenTask *task = seen_task(job, task_number(&known->tasks[t]));
            running += task->runs != NULL;
            ever += task->runs != NULL || task->done;
            if (task->started_ms > newest_ms)
                newest_ms = task->started_ms;
        }
        if (running > 0 && ever < step->count && checker_debt_ms(checker, newest_ms) > GANG_LATE_MS)
            checker_broke(checker, INVARIANT_GANG_SPLIT, "%s step %s: %zu of %" PRIu64 " run", job->id, step->name,
                          running, step->count);
        first = end;
    }
}

void checker_inspect(Checker *checker)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        SeenJob *job = map_get(checker->jobs, ids[i]);
        stops_inspect(checker, job);
        gangs_inspect(checker, job);
        job->settled = job->ended && seen_idle(job);
        if (job->settled)
            map_remove(checker->unsettled, ids[i]);
    }
    talloc_free(mem);
}

void checker_end(Checker *checker)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->jobs, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        if (job->accepted && !job->ended)
            checker_broke(checker, INVARIANT_FORGOTTEN, "%s was accepted and has not ended", ids[i]);
    }
    talloc_free(mem);
}
