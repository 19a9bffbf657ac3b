/* Events at workers other than starts: the end of an attempt, the end or thaw of a process, a drain. */
#include "checker.h"

#include <inttypes.h>
#include <talloc.h>

void checker_worker_described(Checker *checker, const Worker *worker)
{
    SeenWorker *seen = seen_worker(checker, worker->name);
    const char *name = seen->worker.name;
    shape_copy(&Worker_shape, worker, seen, &seen->worker);
    seen->worker.name = name; /* runs and claims hold this pointer and compare it */
}

size_t checker_starts_on(Checker *checker, const char *worker)
{
    return seen_worker(checker, worker)->starts;
}

int64_t checker_last_start_age_ms(Checker *checker, const char *worker)
{
    return checker_now(checker) - seen_worker(checker, worker)->started_ms;
}

void checker_ended(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt,
                   AttemptStatus word)
{
    SeenTask *seen = seen_task(seen_job(checker, id), task);
    seen_run_remove(seen_worker(checker, worker), seen, attempt);
    claim_remove(seen, seen_worker(checker, worker)->worker.name, attempt);
    if (word == ATTEMPT_DONE)
        seen->done = true;
}

void checker_end_acknowledged(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt,
                              AttemptStatus word)
{
    (void)worker;
    (void)attempt;
    if (word == ATTEMPT_DONE)
        seen_task(seen_job(checker, id), task)->done_known = true;
}

typedef void (*RunFn)(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run);

/* Calls fn for each run on the worker; fn may remove the run. */
static void each_run(Checker *checker, const char *worker, RunFn fn)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    const SeenWorker *host = seen_worker(checker, worker);
    for (size_t i = 0; i < count; i++) {
        SeenJob *job = map_get(checker->jobs, ids[i]);
        const char **tasks;
        const size_t task_count = map_keys(job->tasks, mem, &tasks);
        for (size_t t = 0; t < task_count; t++) {
            SeenTask *task = map_get(job->tasks, tasks[t]);
            for (SeenRun *run = task->runs, *next; run != NULL; run = next) {
                next = run->next;
                if (run->worker == host->worker.name)
                    fn(checker, job, task, run);
            }
        }
    }
    talloc_free(mem);
}

static void run_end(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run)
{
    (void)job;
    seen_run_remove(seen_worker(checker, run->worker), task, run->attempt);
}

void checker_worker_ended(Checker *checker, const char *worker)
{
    each_run(checker, worker, run_end);
    claims_worker_ended(checker, seen_worker(checker, worker));
}

static void run_check_thawed(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run)
{
    (void)task;
    if (run->restarted_while_frozen)
        checker_violated(checker, INVARIANT_TWICE,
                         "%s still runs attempt %" PRIu64 " on %s after that machine was frozen", job->id, run->attempt,
                         run->worker);
}

void checker_worker_thawed(Checker *checker, const char *worker)
{
    each_run(checker, worker, run_check_thawed);
}

void checker_worker_leaving(Checker *checker, const char *worker, bool leaving)
{
    seen_worker(checker, worker)->leaving_ms = leaving ? checker_now(checker) : 0;
}

void checker_zone_drained(Checker *checker, const char *name, bool drained)
{
    SeenZone *zone = map_get(checker->zones, name);
    if (zone == NULL) {
        zone = talloc_zero(checker, SeenZone);
        map_set(checker->zones, name, zone);
    }
    zone->drained_ms = drained ? checker_now(checker) : 0;
}

void checker_stop_ordered(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt)
{
    const SeenWorker *host = seen_worker(checker, worker);
    for (SeenRun *run = seen_task(seen_job(checker, id), task)->runs; run != NULL; run = run->next)
        if (run->worker == host->worker.name && run->attempt == attempt && run->notified_ms == 0)
            run->notified_ms = checker_now(checker);
}
