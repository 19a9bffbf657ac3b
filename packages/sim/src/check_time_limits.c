/* Checks of properties that break only after a time limit, and of what must hold at the end of a run. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Whether no attempt of the job runs. */
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

/* Checks that no attempt of the job still runs long after its cancellation or an order to stop it. */
static void inspect_stops(Checker *checker, const SeenJob *job)
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
            if (job->cancelled_ms != 0 && checker_overdue_ms(checker, job->cancelled_ms) > CANCELLED_RUN_LATE_MS)
                checker_violated(checker, INVARIANT_STOPPED_RAN,
                                 "%s task %s runs on %s %" PRId64 " ms after the job was cancelled", job->id, tasks[t],
                                 run->worker, now_ms - job->cancelled_ms);
            if (run->notified_ms != 0 && now_ms - run->notified_ms > STOP_ORDER_LATE_MS)
                checker_violated(checker, INVARIANT_STOPPED_RAN,
                                 "%s task %s runs on %s %" PRId64 " ms after the worker was told to stop it", job->id,
                                 tasks[t], run->worker, now_ms - run->notified_ms);
        }
    }
    talloc_free(mem);
}

/* Checks that no gang of the job runs for long with only some of its members. */
static void inspect_gangs(Checker *checker, SeenJob *job)
{
    const Job *known = job->accepted && !job->ended ? checker->settings.job(checker->settings.arg, job->id) : NULL;
    if (known == NULL)
        return;
    /* the tasks of a gang are adjacent, in each turn and step */
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
        if (running > 0 && ever < step->count && checker_overdue_ms(checker, newest_ms) > GANG_LATE_MS)
            checker_violated(checker, INVARIANT_GANG_SPLIT, "%s step %s: %zu of %" PRIu64 " gang members run", job->id,
                             step->name, running, step->count);
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
        inspect_stops(checker, job);
        inspect_gangs(checker, job);
        job->settled = job->ended && seen_idle(job);
        if (job->settled)
            map_remove(checker->unsettled, ids[i]);
    }
    talloc_free(mem);
}

void checker_check_all_ended(Checker *checker)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->jobs, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        if (job->accepted && !job->ended)
            checker_violated(checker, INVARIANT_FORGOTTEN, "job %s was accepted and has not ended", ids[i]);
    }
    talloc_free(mem);
}
