#include "routing/forward.h"

#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "forwarding.h"
#include "order.h"

#define SECOND_MS 1000         /* ms */
#define FORWARD_BACK_MS 20     /* ms; the result's way back to the caller */
#define REPAIR_REST_MS 100     /* ms; a leader that is being told again is asked again after this */
#define FORWARD_ATTEMPTS_MAX 8 /* count; so many leaders or ways, one after the other, for one request */

/* Certainly nothing of it was taken: it was not sent, or whoever was asked refused it as
 * one that does not lead. Any other failure leaves the outcome open, also an answer that
 * can't be read. */
static bool untaken(Status status)
{
    switch (status) {
    case STATUS_UNREACHABLE:
    case STATUS_STRANGER:
    case STATUS_NOT_LEADER:
    case STATUS_NO_LEADER:
    case STATUS_REPAIRING:
    case STATUS_LEAVING:
    case STATUS_TOO_LARGE:
    case STATUS_OTHER_PEER:
    case STATUS_OTHER_LIFE:
    case STATUS_OTHER_VERSION:
    case STATUS_UNKNOWN_QUESTION:
        return true;
    default:
        return false;
    }
}

/* The one who answered has not led any more. */
static bool lost_on_the_way(const ForwardAnswer *answer, bool *maybe_taken)
{
    if (answer->code == UNKNOWN_HTTP && answer->status == STATUS_OUTCOME_UNKNOWN) {
        *maybe_taken = true;
        return true;
    }
    return answer->code == NOT_TAKEN_HTTP && (answer->status == STATUS_NOT_LEADER || answer->status == STATUS_LEAVING);
}

/* Waits until a way is known. */
static bool way_wait(Forwarder *forwarder, WaysTaken *taken, int64_t until_ms)
{
    while (!ways_take(forwarder->ways, taken))
        if (loop_now_ms(forwarder->settings.loop) >= until_ms ||
            !signal_wait(forwarder->settings.loop, ways_moved(forwarder->ways), until_ms))
            return ways_take(forwarder->ways, taken);
    return true;
}

/* Until when a request waits for a way. */
static int64_t ways_until_ms(const Forwarder *forwarder, bool maybe_taken, int64_t start_ms, int64_t until_ms)
{
    const int64_t lost_ms = ways_lost_ms(forwarder->ways);
    const int64_t from_ms = lost_ms != INT64_MAX ? lost_ms : loop_now_ms(forwarder->settings.loop);
    const int64_t wait_ms =
        maybe_taken ? start_ms + forwarder->settings.outcome_wait_ms : from_ms + forwarder->settings.leader_wait_ms;
    return wait_ms < until_ms ? wait_ms : until_ms;
}

/* Another leader is found some 3 s after the last one was lost. */
static int retry_s(const Forwarder *forwarder)
{
    const int64_t lost_ms = ways_lost_ms(forwarder->ways);
    if (lost_ms == INT64_MAX)
        return RETRY_AFTER_S;
    const int64_t left_ms = lost_ms + ELECTION_MS - loop_now_ms(forwarder->settings.loop);
    return left_ms <= SECOND_MS ? RETRY_AFTER_S : (int)((left_ms + SECOND_MS - 1) / SECOND_MS);
}

/* The next leader can't say yet whether an earlier one took it: it is being told again
 * what the disks lost. True: it is to be asked again, after a rest. */
static bool repair_awaited(const Forwarding *one, const ForwardAnswer *answer)
{
    Loop *loop = one->forwarder->settings.loop;
    if (answer->status != STATUS_REPAIRING || !one->maybe_taken || one->repeat == REPEAT_NEVER ||
        loop_now_ms(loop) + REPAIR_REST_MS >= ways_until_ms(one->forwarder, true, one->start_ms, one->until_ms))
        return false;
    loop_sleep(loop, REPAIR_REST_MS);
    return true;
}

/* Waits. Whether another attempt is to be made, and along which way. */
static bool attempt_next(const Forwarding *one, int attempt, WaysTaken *taken)
{
    if (attempt > 0 && (one->task->gone || (one->maybe_taken && one->repeat == REPEAT_NEVER)))
        return false;
    const int64_t until_ms = ways_until_ms(one->forwarder, one->maybe_taken, one->start_ms, one->until_ms);
    return way_wait(one->forwarder, taken, until_ms) && loop_now_ms(one->forwarder->settings.loop) < one->until_ms;
}

bool forward_attempts(Forwarding *one, ForwardAsk *ask, ForwardAnswer *answer)
{
    Forwarder *forwarder = one->forwarder;
    Loop *loop = forwarder->settings.loop;
    const bool changes = one->repeat != REPEAT_READ;
    WaysTaken taken;
    for (int attempt = 0; attempt < FORWARD_ATTEMPTS_MAX && attempt_next(one, attempt, &taken);) {
        bool unknown = false;
        ask->again = one->maybe_taken;
        const Status status = attempt_forward(forwarder, one->task, &taken, ask, one->until_ms, answer);
        if (status == STATUS_OK && !lost_on_the_way(answer, &unknown)) {
            if (repair_awaited(one, answer))
                continue;
            /* one that did not take it says nothing of an earlier one, which may have */
            return answer->code != NOT_TAKEN_HTTP || !one->maybe_taken;
        }
        attempt++;
        unknown |= status != STATUS_OK && !untaken(status);
        one->maybe_taken |= changes && unknown;
        if (loop_now_ms(loop) < one->until_ms || (status != STATUS_EXPIRED && status != STATUS_UNREACHABLE))
            ways_failed(forwarder->ways, &taken);
    }
    return false;
}

void forward_take(HttpTask *task, const ForwardAnswer *answer)
{
    task->code = (int)answer->code;
    task->status = (Status)answer->status;
    task->kind = answer->kind;
    task->result = answer->body;
    task->retry_after_s = (int)answer->retry_after_s;
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

void forward_request(Forwarder *forwarder, HttpTask *task)
{
    const int64_t start_ms = loop_now_ms(forwarder->settings.loop);
    Forwarding one = {.forwarder = forwarder,
                      .task = task,
                      .repeat = forward_repeat(task->method, task->path, task->query),
                      .start_ms = start_ms,
                      .until_ms = start_ms + FORWARD_DEADLINE_MS};
    if (task->timeout_ms != 0 && task->timeout_ms - FORWARD_BACK_MS < one.until_ms)
        one.until_ms = task->timeout_ms - FORWARD_BACK_MS;
    ForwardAsk ask = {
        .method = task->method, .path = task->path, .query = task->query, .body = task->body, .host = task->host};
    ForwardAnswer answer = {0};
    if (one.repeat == REPEAT_ORDERED && !order_named(&one, &ask))
        return;
    if (!forward_attempts(&one, &ask, &answer))
        forward_give_up(&one);
    else if (answer.status == STATUS_STALE_ORDER && one.based)
        order_overtaken(task);
    else
        forward_take(task, &answer);
}

Status forward_relay(Forwarder *forwarder, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    WaysTaken taken;
    if (!ways_take(forwarder->ways, &taken) || taken.own || taken.relay)
        return STATUS_NOT_LEADER;
    ForwardAsk onward = *ask;
    onward.relay = false;
    /* before the asker's own patience ends, so that it hears that this end lives */
    const int64_t wait_ms =
        ask->wait_ms > 0 && ask->wait_ms < FORWARD_DEADLINE_MS ? (int64_t)ask->wait_ms * 3 / 4 : FORWARD_DEADLINE_MS;
    const Status status =
        rpc_ask_peer(forwarder->settings.rpc, mem, &(RpcTarget){taken.address, taken.peer, NULL}, MESSAGE_FORWARD,
                     &ForwardAsk_shape, &onward, wait_ms, &ForwardAnswer_shape, answer);
    if (status == STATUS_UNREACHABLE || status == STATUS_NOT_LEADER)
        ways_failed(forwarder->ways, &taken);
    return status;
}

Ways *forwarder_ways(Forwarder *forwarder)
{
    return forwarder->ways;
}

/* Those who wait on a way hear at once that it is none any more. */
static void moved_main(void *arg)
{
    Forwarder *forwarder = arg;
    while (!loop_stopping(forwarder->settings.loop)) {
        signal_wait(forwarder->settings.loop, ways_moved(forwarder->ways), INT64_MAX);
        attempts_wake(forwarder);
    }
}

Forwarder *forwarder_new(void *mem, const ForwarderSettings *settings)
{
    Forwarder *forwarder = talloc_zero(mem, Forwarder);
    forwarder->settings = *settings;
    forwarder->ways =
        ways_new(forwarder, settings->loop, settings->rpc, settings->members, settings->leads, settings->arg);
    return forwarder;
}

void forwarder_start(Forwarder *forwarder)
{
    ways_start(forwarder->ways);
    loop_spawn(forwarder->settings.loop, "moved", moved_main, forwarder);
}
