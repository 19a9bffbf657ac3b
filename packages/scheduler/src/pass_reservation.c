/* Room that falls free is kept, within one pass, for what ranks above all that could
 * take it. Without this a task that needs more than any one end gives back is overtaken
 * for as long as smaller ones wait: each takes the gap as soon as it opens.
 *
 * Nothing is remembered: the next pass finds the same again, since the worker that is
 * nearest to having room becomes nearer. What is far from its target, and what has missed
 * it, is given nothing this way. */
#include "pass_reservation.h"

#include <talloc.h>

/* The parts of the room that are free, in thousandths of what is needed: the least of them. */
static uint64_t near_to(Room need, Room free)
{
    const uint64_t most = room_share(need, free);
    return free.cpu_milli == 0 && free.mem_mb == 0 ? 0 : most == 0 ? UINT64_MAX : 1000000 / most;
}

static int nearest(const Pass *pass, const PlanNeed *need, const bool *excluded, const bool *taken)
{
    int best = -1;
    uint64_t best_near = 0;
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        if (excluded[i] || taken[i] || !plan_able(worker, need) || !room_fits(need->room, worker->room))
            continue;
        const uint64_t near = near_to(need->room, worker->free);
        if (best < 0 || near > best_near) {
            best = (int)i;
            best_near = near;
        }
    }
    return best;
}

void reserve_for(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded)
{
    if (candidate->slack_ms >= RESERVE_SLACK_MS || candidate->slack_ms < -candidate->estimate_ms ||
        candidate->count > pass->input.worker_count)
        return;
    Room all = pass->reserved;
    for (size_t i = 0; i < candidate->count; i++)
        all = room_more(all, need->room);
    if (room_share(all, pass->fleet) > 1000 / RESERVE_SHARE)
        return;
    pass->reserved = all;
    bool *taken = talloc_zero_array(pass->mem, bool, (unsigned)pass->input.worker_count);
    for (size_t i = 0; i < candidate->count; i++) {
        const int at = nearest(pass, need, excluded, taken);
        if (at < 0)
            break;
        taken[at] = true; /* another member looks elsewhere: two seldom find room in one place */
        pass->input.workers[at].free = room_less(pass->input.workers[at].free, need->room);
    }
    talloc_free(taken);
}
