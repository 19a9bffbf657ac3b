/* The attempts of one forwarded request: routes, retries, and the result of an abandoned request. */
#include "forwarding.h"

#include "api/show.h"
#include "outcome.h"

#define SECOND_MS 1000
#define REPAIR_BACKOFF_MS 100  /* delay before a request is sent again to a leader in repair, in ms */
#define FORWARD_ATTEMPTS_MAX 8 /* maximum number of successive attempts for one request */

/* --- the next attempt ------------------------------------------------------------------- */

/* The request's deadline, which a shutdown may bring forward while the request waits. */
static int64_t deadline_ms(const Forwarding *forwarding)
{
    const int64_t end_ms = forwarding->forwarder->end_ms;
    return forwarding->until_ms < end_ms ? forwarding->until_ms : end_ms;
}

/* Suspends the coroutine until a next hop is known, or until until_ms or the request's deadline. Returns whether one is
 * known. */
static bool route_wait(const Forwarding *forwarding, LeaderHop *hop, int64_t until_ms)
{
    const Forwarder *forwarder = forwarding->forwarder;
    Loop *loop = forwarder->settings.loop;
    while (!leader_route_next_hop(forwarder->leader_route, hop)) {
        const int64_t wake_ms = until_ms < deadline_ms(forwarding) ? until_ms : deadline_ms(forwarding);
        if (loop_now_ms(loop) >= wake_ms ||
            !signal_wait(loop, leader_route_changed_signal(forwarder->leader_route), wake_ms))
            return leader_route_next_hop(forwarder->leader_route, hop);
    }
    return true;
}

/* Time until which a request waits for a route: leader_wait_ms after the loss of the leader if no leader can have
 * accepted the request, outcome_wait_ms after its arrival if a lost leader may have. Never later than until_ms. */
static int64_t route_until_ms(const Forwarder *forwarder, bool maybe_accepted, int64_t start_ms, int64_t until_ms)
{
    const int64_t lost_since_ms = leader_route_lost_since_ms(forwarder->leader_route);
    const int64_t from_ms = lost_since_ms != INT64_MAX ? lost_since_ms : loop_now_ms(forwarder->settings.loop);
    const int64_t wait_ms =
        maybe_accepted ? start_ms + forwarder->settings.outcome_wait_ms : from_ms + forwarder->settings.leader_wait_ms;
    return wait_ms < until_ms ? wait_ms : until_ms;
}

/* Suspends the coroutine until the next hop is known. Returns whether to make another attempt, through *hop: not for a
 * caller that has disconnected, who may have turned to another process since. */
static bool attempt_next(const Forwarding *forwarding, LeaderHop *hop)
{
    if (forwarding->task->caller_disconnected || (forwarding->maybe_accepted && forwarding->repeat == RETRY_NEVER))
        return false;
    const int64_t until_ms =
        route_until_ms(forwarding->forwarder, forwarding->maybe_accepted, forwarding->start_ms, forwarding->until_ms);
    return route_wait(forwarding, hop, until_ms) &&
           loop_now_ms(forwarding->forwarder->settings.loop) < deadline_ms(forwarding);
}

/* Handles an answer from a leader in repair: it does not know yet whether an earlier leader accepted the request,
 * because the changes that the disks lost are still being sent to it. Suspends the coroutine for REPAIR_BACKOFF_MS and
 * returns true if the request is then to be sent to it again; returns false immediately otherwise. */
static bool repair_wait(const Forwarding *forwarding, const ForwardAnswer *answer)
{
    Loop *loop = forwarding->forwarder->settings.loop;
    if (answer->status != STATUS_REPAIRING || !forwarding->maybe_accepted || forwarding->repeat == RETRY_NEVER ||
        loop_now_ms(loop) + REPAIR_BACKOFF_MS >=
            route_until_ms(forwarding->forwarder, true, forwarding->start_ms, deadline_ms(forwarding)))
        return false;
    loop_sleep(loop, REPAIR_BACKOFF_MS);
    return true;
}

bool forward_attempts(Forwarding *forwarding, ForwardAsk *ask, ForwardAnswer *answer)
{
    Forwarder *forwarder = forwarding->forwarder;
    Loop *loop = forwarder->settings.loop;
    const bool changes = forwarding->repeat != RETRY_READ_ONLY;
    LeaderHop hop;
    for (int attempt = 0; attempt < FORWARD_ATTEMPTS_MAX && attempt_next(forwarding, &hop);) {
        bool unknown = false;
        ask->again = forwarding->maybe_accepted;
        const Status status =
            attempt_forward(forwarder->attempts, forwarding->task, &hop, ask, forwarding->until_ms, answer);
        if (status == STATUS_OK && !outcome_leader_lost(answer, &unknown)) {
            if (repair_wait(forwarding, answer))
                continue;
            /* this leader did not accept the request, but an earlier one may have */
            return answer->code != HTTP_NOT_ACCEPTED || !forwarding->maybe_accepted;
        }
        attempt++;
        unknown |= status != STATUS_OK && !outcome_not_accepted(status);
        forwarding->maybe_accepted |= changes && unknown;
        /* a request that only reached its own deadline is no sign that the route has failed */
        if (loop_now_ms(loop) < deadline_ms(forwarding) || (status != STATUS_EXPIRED && status != STATUS_UNREACHABLE))
            leader_route_report_failure(forwarder->leader_route, &hop);
    }
    return false;
}

/* --- the result --------------------------------------------------------------------------- */

void forward_set_result(HttpExchange *task, const ForwardAnswer *answer)
{
    task->code = (int)answer->code;
    task->status = (Status)answer->status;
    task->content_type = answer->kind;
    task->response_body = answer->body;
    task->retry_after_s = (int)answer->retry_after_s;
}

/* The value of Retry-After, in s: the time until a next hop is expected to be known, rounded to the nearest second, and
 * at least RETRY_AFTER_S. */
static int retry_delay_s(const Forwarder *forwarder)
{
    const int64_t left_ms = leader_route_expected_ms(forwarder->leader_route) - loop_now_ms(forwarder->settings.loop);
    const int64_t nearest_s = (left_ms + SECOND_MS / 2) / SECOND_MS;
    return nearest_s > RETRY_AFTER_S ? (int)nearest_s : RETRY_AFTER_S;
}

void forward_set_refusal(const Forwarding *forwarding)
{
    if (forwarding->maybe_accepted)
        show_refusal(
            forwarding->task, STATUS_OUTCOME_UNKNOWN,
            "the leader was lost and may have accepted the request: query the result, or send the same request again",
            NULL);
    else
        show_refusal(forwarding->task, STATUS_NO_LEADER,
                     "no leader is reachable; the request was not accepted: retry later", NULL);
    forwarding->task->retry_after_s = retry_delay_s(forwarding->forwarder);
}
