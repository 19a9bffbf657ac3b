/* Reservation within one pass: free capacity that is too small for a candidate is left to it, rather than to those
 * that rank below it. Without this a task that needs more than one ended attempt gives back would wait for as long
 * as smaller tasks do, since these take each gap as soon as it opens.
 *
 * Nothing is remembered: the next pass reserves the same again, since the worker that is nearest to having
 * enough gets nearer. A candidate that is far from its latency target, or has missed it, gets no reservation. */
#include "pass_reservation.h"

#include <talloc.h>

#include "settings/features.h"

/* How near the free capacity is to what is needed, in thousandths, by the scarcest resource. */
static uint64_t near_to(Resources need, Resources free)
{
    const uint64_t most = resources_share(need, free);
    return free.cpu_milli == 0 && free.mem_mb == 0 ? 0 : most == 0 ? UINT64_MAX : 1000000 / most;
}

/* The index of the worker that is nearest to having enough; -1: none could have. */
static int nearest(const Pass *pass, const PlanNeed *need, const bool *excluded, const bool *taken)
{
    int best = -1;
    uint64_t best_near = 0;
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        if (excluded[i] || taken[i] || !plan_able(worker, need) || !resources_fits(need->resources, worker->resources))
            continue;
        const uint64_t near = near_to(need->resources, worker->free);
        if (best < 0 || near > best_near) {
            best = (int)i;
            best_near = near;
        }
    }
    return best;
}

void reserve_for(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded)
{
    if (!feature_on(pass->scheduler->bounds, FEATURE_RESERVATIONS) || candidate->slack_ms >= RESERVE_SLACK_MS ||
        candidate->slack_ms < -candidate->estimate_ms || candidate->count > pass->input.worker_count)
        return;
    Resources all = pass->reserved;
    for (size_t i = 0; i < candidate->count; i++)
        all = resources_more(all, need->resources);
    if (resources_share(all, pass->fleet) > 1000 / RESERVE_SHARE)
        return;
    pass->reserved = all;
    bool *taken = talloc_zero_array(pass->mem, bool, (unsigned)pass->input.worker_count);
    for (size_t i = 0; i < candidate->count; i++) {
        const int at = nearest(pass, need, excluded, taken);
        if (at < 0)
            break;
        taken[at] = true; /* another member takes another worker: two seldom find capacity on one */
        pass->input.workers[at].free = resources_less(pass->input.workers[at].free, need->resources);
    }
    talloc_free(taken);
}
