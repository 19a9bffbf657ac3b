/* Reservation within one pass: free capacity that is too small for a candidate is left unused rather than given to
 * candidates that rank below it. Without this, a task that needs the capacity of more than one ended attempt would wait
 * as long as there are smaller tasks, since these take each gap as soon as it opens.
 *
 * Nothing is remembered between passes: the next pass reserves the same worker again, since the worker that is closest
 * to enough free capacity gets closer. A candidate gets no reservation when its latency target is far off, or is missed
 * already. */
#include "pass_reservation.h"

#include <talloc.h>

#include "settings/features.h"
#include "withheld.h"

/* How much of the need the free capacity covers, in thousandths, by the scarcest resource. */
static uint64_t coverage(Resources need, Resources free)
{
    const uint64_t most = resources_share(need, free);
    return free.cpu_milli == 0 && free.mem_mb == 0 ? 0 : most == 0 ? UINT64_MAX : 1000000 / most;
}

/* The index of the worker whose free capacity covers most of the need; -1: no worker is large enough. */
static int closest_worker(const Pass *pass, const PlanNeed *need, const bool *excluded, const bool *taken)
{
    int best = -1;
    uint64_t best_covered = 0;
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        if (excluded[i] || taken[i] || !plan_meets_constraints(worker, need) ||
            !resources_fits(need->resources, worker->resources))
            continue;
        const uint64_t covered = coverage(need->resources, worker->free);
        if (best < 0 || covered > best_covered) {
            best = (int)i;
            best_covered = covered;
        }
    }
    return best;
}

void pass_reserve(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded)
{
    if (!feature_enabled(pass->scheduler->cluster_settings, FEATURE_RESERVATIONS) ||
        candidate->slack_ms >= CAPACITY_RESERVE_SLACK_MS || candidate->slack_ms < -candidate->estimate_ms ||
        candidate->count > pass->input.worker_count)
        return;
    Resources all = pass->reserved;
    for (size_t i = 0; i < candidate->count; i++)
        all = resources_add(all, need->resources);
    if (resources_share(all, pass->fleet) > 1000 / CAPACITY_RESERVE_DIVISOR)
        return;
    pass->reserved = all;
    bool *taken = talloc_zero_array(pass->mem, bool, (unsigned)pass->input.worker_count);
    for (size_t i = 0; i < candidate->count; i++) {
        const int worker = closest_worker(pass, need, excluded, taken);
        if (worker < 0)
            break;
        taken[worker] = true; /* another member takes another worker: a worker seldom has capacity for two */
        withheld_reserve(pass, (size_t)worker, need->resources);
    }
    talloc_free(taken);
}
