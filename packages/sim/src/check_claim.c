/* Claims of lost workers: the time until which a worker may run its attempts. It is computed from the time at which the
 * worker sent its last answered report, and from the lease in that answer. */
#include "checker.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

typedef void (*ClaimFn)(SeenTask *task, const SeenWorker *worker);

/* Calls fn for each task of the unsettled jobs. */
static void each_task(Checker *checker, const SeenWorker *worker, ClaimFn fn)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        const char **tasks;
        const size_t task_count = map_keys(job->tasks, mem, &tasks);
        for (size_t t = 0; t < task_count; t++)
            fn(map_get(job->tasks, tasks[t]), worker);
    }
    talloc_free(mem);
}

/* Fixes the end of the worker's claims on the task, because its process has ended. */
static void claims_fix_end(SeenTask *task, const SeenWorker *worker)
{
    for (SeenClaim *claim = task->claims; claim != NULL; claim = claim->next)
        if (claim->worker == worker->worker.name && claim->until_ms == 0)
            claim->until_ms = worker->claim_until_ms > 0 ? worker->claim_until_ms : 1;
}

/* Removes the claims of the worker's former process: a new process has reported, so nothing of the former one runs. */
static void claims_remove_ended(SeenTask *task, const SeenWorker *worker)
{
    for (SeenClaim **at = &task->claims; *at != NULL;) {
        SeenClaim *claim = *at;
        if (claim->worker != worker->worker.name || claim->until_ms == 0) {
            at = &claim->next;
            continue;
        }
        *at = claim->next;
        talloc_free(claim);
    }
}

void checker_lease_granted(Checker *checker, const char *worker, int64_t until_ms)
{
    SeenWorker *host = seen_worker(checker, worker);
    if (until_ms - checker_now(checker) > CLAIM_MOST_MS)
        checker_violated(checker, INVARIANT_EARLY_RESTART, "%s may run its attempts for another %" PRId64 " ms", worker,
                         until_ms - checker_now(checker));
    if (until_ms > host->claim_until_ms)
        host->claim_until_ms = until_ms;
}

void checker_worker_booted(Checker *checker, const char *worker)
{
    each_task(checker, seen_worker(checker, worker), claims_remove_ended);
}

void claim_check_start(Checker *checker, const SeenJob *job, SeenTask *task, uint64_t number, const char *worker,
                       uint64_t attempt, bool copies)
{
    const int64_t now_ms = checker_now(checker);
    for (SeenClaim **at = &task->claims; *at != NULL;) {
        SeenClaim *claim = *at;
        const int64_t until_ms =
            claim->until_ms != 0 ? claim->until_ms : seen_worker(checker, claim->worker)->claim_until_ms;
        if (now_ms < until_ms && !copies)
            checker_violated(checker, INVARIANT_EARLY_RESTART,
                             "%s task %" PRIu64 " attempt %" PRIu64 " on %s, %" PRId64
                             " ms before the claim of %s on attempt %" PRIu64 " lapses",
                             job->id, number, attempt, worker, until_ms - now_ms, claim->worker, claim->attempt);
        *at = claim->next;
        talloc_free(claim);
    }
    SeenClaim *mine = talloc_zero(task, SeenClaim);
    *mine = (SeenClaim){NULL, worker, attempt, 0};
    task->claims = mine;
}

void claims_worker_ended(Checker *checker, SeenWorker *worker)
{
    each_task(checker, worker, claims_fix_end);
    worker->claim_until_ms = 0;
}

void claim_remove(SeenTask *task, const char *worker, uint64_t attempt)
{
    for (SeenClaim **at = &task->claims; *at != NULL; at = &(*at)->next)
        if ((*at)->attempt == attempt && (*at)->worker == worker) {
            SeenClaim *claim = *at;
            *at = claim->next;
            talloc_free(claim);
            return;
        }
}
