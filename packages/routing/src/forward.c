/* A caller's request in this process, from its arrival to its result, and the
 * relay of requests for processes that can't reach the leader themselves. */
#include "routing/forward.h"

#include <talloc.h>

#include "forwarding.h"
#include "hop.h"
#include "order.h"

#define FORWARD_BACK_MS 20 /* ms; for the transport of the result to the caller */

/* Who keeps what is committed for the request beside the disks: this process, where it has no disk itself. */
static const char *carrier_of(const Forwarder *forwarder)
{
    const MemberRecord *self = members_self(forwarder->settings.members);
    return self->role == ROLE_ENTRY_POINT ? self->id : "";
}

/* The request's deadline: the caller's own, less the way back to it, at most FORWARD_DEADLINE_MS. */
static int64_t request_until_ms(const HttpTask *task, int64_t start_ms)
{
    const int64_t until_ms = start_ms + FORWARD_DEADLINE_MS;
    if (task->timeout_ms != 0 && task->timeout_ms - FORWARD_BACK_MS < until_ms)
        return task->timeout_ms - FORWARD_BACK_MS;
    return until_ms;
}

void forward_request(Forwarder *forwarder, HttpTask *task)
{
    const int64_t start_ms = loop_now_ms(forwarder->settings.loop);
    Forwarding one = {.forwarder = forwarder,
                      .task = task,
                      .repeat = retry_rule_of(task->method, task->path, task->query),
                      .start_ms = start_ms,
                      .until_ms = request_until_ms(task, start_ms)};
    ForwardAsk ask = {.method = task->method,
                      .path = task->path,
                      .query = task->query,
                      .body = task->body,
                      .host = task->host,
                      .carrier = carrier_of(forwarder),
                      .key_digest = task->key_digest};
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
    LeaderHop taken;
    if (!leader_route_take(forwarder->leader_route, &taken) || taken.own || taken.relay)
        return STATUS_NOT_LEADER;
    ForwardAsk onward = *ask;
    onward.relay = false;
    /* less than the asker waits, so that it gets an answer and knows that this process is alive */
    const int64_t wait_ms =
        ask->wait_ms > 0 && ask->wait_ms < FORWARD_DEADLINE_MS ? (int64_t)ask->wait_ms * 3 / 4 : FORWARD_DEADLINE_MS;
    const Status status = hop_ask(forwarder->settings.rpc, mem, &taken, NULL, &onward, wait_ms, answer);
    if (status == STATUS_UNREACHABLE || status == STATUS_NOT_LEADER)
        leader_route_failed(forwarder->leader_route, &taken);
    return status;
}

LeaderRoute *forwarder_leader_route(Forwarder *forwarder)
{
    return forwarder->leader_route;
}

/* Wakes all who wait for an answer when the route has been replaced. */
static void moved_main(void *arg)
{
    Forwarder *forwarder = arg;
    while (!loop_stopping(forwarder->settings.loop)) {
        signal_wait(forwarder->settings.loop, leader_route_moved(forwarder->leader_route), INT64_MAX);
        attempts_wake(forwarder->attempts);
    }
}

Forwarder *forwarder_new(void *mem, const ForwarderSettings *settings)
{
    Forwarder *forwarder = talloc_zero(mem, Forwarder);
    forwarder->settings = *settings;
    forwarder->leader_route =
        leader_route_new(forwarder, settings->loop, settings->rpc, settings->members, settings->leads, settings->arg);
    forwarder->attempts = attempts_new(forwarder, &(AttemptSettings){.loop = settings->loop,
                                                                     .rpc = settings->rpc,
                                                                     .leader_route = forwarder->leader_route,
                                                                     .repair_buffer = settings->repair_buffer,
                                                                     .trace = settings->trace,
                                                                     .serve = settings->serve,
                                                                     .arg = settings->arg});
    return forwarder;
}

void forwarder_start(Forwarder *forwarder)
{
    leader_route_start(forwarder->leader_route);
    pause_watch(&forwarder->pause, forwarder->settings.loop);
    loop_spawn(forwarder->settings.loop, "moved", moved_main, forwarder);
}
