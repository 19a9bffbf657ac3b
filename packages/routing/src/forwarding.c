/* The attempts of one forwarded request: routes, retries, and the result when it is given up. */
#include "forwarding.h"

#include "api/show.h"
#include "outcome.h"

#define SECOND_MS 1000         /* ms */
#define REPAIR_REST_MS 100     /* ms; back-off before a leader in repair is asked again */
#define FORWARD_ATTEMPTS_MAX 8 /* count; attempts for one request, one after the other */

/* --- the next attempt ------------------------------------------------------------------- */

/* Waits. Whether a route is known before until_ms. */
static bool route_wait(Forwarder *forwarder, LeaderHop *taken, int64_t until_ms)
{
    while (!leader_route_take(forwarder->leader_route, taken))
        if (loop_now_ms(forwarder->settings.loop) >= until_ms ||
            !signal_wait(forwarder->settings.loop, leader_route_moved(forwarder->leader_route), until_ms))
            return leader_route_take(forwarder->leader_route, taken);
    return true;
}

/* Until when a request waits for a route: leader_wait_ms from the leader's loss when nobody can have taken it,
 * outcome_wait_ms from its arrival when a lost leader may have. */
static int64_t route_until_ms(const Forwarder *forwarder, bool maybe_taken, int64_t start_ms, int64_t until_ms)
{
    const int64_t lost_ms = leader_route_lost_ms(forwarder->leader_route);
    const int64_t from_ms = lost_ms != INT64_MAX ? lost_ms : loop_now_ms(forwarder->settings.loop);
    const int64_t wait_ms =
        maybe_taken ? start_ms + forwarder->settings.outcome_wait_ms : from_ms + forwarder->settings.leader_wait_ms;
    return wait_ms < until_ms ? wait_ms : until_ms;
}

/* Waits. Whether another attempt is to be made, and along which route. */
static bool attempt_next(const Forwarding *one, int attempt, LeaderHop *taken)
{
    if (attempt > 0 && (one->task->gone || (one->maybe_taken && one->repeat == REPEAT_NEVER)))
        return false;
    const int64_t until_ms = route_until_ms(one->forwarder, one->maybe_taken, one->start_ms, one->until_ms);
    return route_wait(one->forwarder, taken, until_ms) && loop_now_ms(one->forwarder->settings.loop) < one->until_ms;
}

/* Waits. The next leader can't say yet whether an earlier one took the request: it is in
 * repair, being sent again what the disks lost. True: it is to be asked again, now that the
 * back-off has passed. */
static bool repair_awaited(const Forwarding *one, const ForwardAnswer *answer)
{
    Loop *loop = one->forwarder->settings.loop;
    if (answer->status != STATUS_REPAIRING || !one->maybe_taken || one->repeat == REPEAT_NEVER ||
        loop_now_ms(loop) + REPAIR_REST_MS >= route_until_ms(one->forwarder, true, one->start_ms, one->until_ms))
        return false;
    loop_sleep(loop, REPAIR_REST_MS);
    return true;
}

bool forward_attempts(Forwarding *one, ForwardAsk *ask, ForwardAnswer *answer)
{
    Forwarder *forwarder = one->forwarder;
    Loop *loop = forwarder->settings.loop;
    const bool changes = one->repeat != REPEAT_READ;
    LeaderHop taken;
    for (int attempt = 0; attempt < FORWARD_ATTEMPTS_MAX && attempt_next(one, attempt, &taken);) {
        bool unknown = false;
        ask->again = one->maybe_taken;
        const Status status = attempt_forward(forwarder->attempts, one->task, &taken, ask, one->until_ms, answer);
        if (status == STATUS_OK && !outcome_leader_lost(answer, &unknown)) {
            if (repair_awaited(one, answer))
                continue;
            /* that this leader did not take it does not mean that an earlier one did not */
            return answer->code != NOT_TAKEN_HTTP || !one->maybe_taken;
        }
        attempt++;
        unknown |= status != STATUS_OK && !outcome_untaken(status);
        one->maybe_taken |= changes && unknown;
        /* a request that reached its own deadline does not mean that the route has failed */
        if (loop_now_ms(loop) < one->until_ms || (status != STATUS_EXPIRED && status != STATUS_UNREACHABLE))
            leader_route_failed(forwarder->leader_route, &taken);
    }
    return false;
}

/* --- the result --------------------------------------------------------------------------- */

void forward_take(HttpTask *task, const ForwardAnswer *answer)
{
    task->code = (int)answer->code;
    task->status = (Status)answer->status;
    task->kind = answer->kind;
    task->result = answer->body;
    task->retry_after_s = (int)answer->retry_after_s;
}

/* For Retry-After, in seconds, to the nearest: when the route should be found again. */
static int retry_s(const Forwarder *forwarder)
{
    const int64_t left_ms = leader_route_found_ms(forwarder->leader_route) - loop_now_ms(forwarder->settings.loop);
    const int64_t nearest_s = (left_ms + SECOND_MS / 2) / SECOND_MS;
    return nearest_s > RETRY_AFTER_S ? (int)nearest_s : RETRY_AFTER_S;
}

void forward_give_up(const Forwarding *one)
{
    if (one->maybe_taken)
        show_refusal(one->task, STATUS_OUTCOME_UNKNOWN, "the leader was lost on the way: ask, or send the same again",
                     NULL);
    else
        show_refusal(one->task, STATUS_NO_LEADER, "no leader answers now; nothing was taken: come back", NULL);
    one->task->retry_after_s = retry_s(one->forwarder);
}
