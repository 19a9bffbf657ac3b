/* A caller's request in this process, from its arrival to its result, and the relay of requests for processes that
 * cannot reach the leader themselves. */
#include "routing/forward.h"

#include <talloc.h>

#include "forwarding.h"
#include "hop.h"
#include "order.h"

#define RESULT_RETURN_MS 20 /* time reserved for sending the result to the caller, in ms */

/* Id of the process that holds the committed changes for repair in addition to the disks: an entry point, which has no
 * disk itself; empty in a controller. */
static const char *carrier_of(const Forwarder *forwarder)
{
    const MemberRecord *self = members_self(forwarder->settings.members);
    return self->role == ROLE_ENTRY_POINT ? self->id : "";
}

/* The request's deadline: the caller's own less RESULT_RETURN_MS, and at most FORWARD_DEADLINE_MS after its arrival. */
static int64_t request_until_ms(const HttpExchange *task, int64_t start_ms)
{
    const int64_t until_ms = start_ms + FORWARD_DEADLINE_MS;
    if (task->timeout_ms != 0 && task->timeout_ms - RESULT_RETURN_MS < until_ms)
        return task->timeout_ms - RESULT_RETURN_MS;
    return until_ms;
}

void forward_request(Forwarder *forwarder, HttpExchange *task)
{
    const int64_t start_ms = loop_now_ms(forwarder->settings.loop);
    Forwarding forwarding = {.forwarder = forwarder,
                             .task = task,
                             .repeat = retry_policy_of(task->method, task->path, task->query),
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
    if (pause_recent(&forwarder->pause))
        loop_yield(forwarder->settings.loop); /* so that a disconnect that arrived with the request is detected first */
    if (forwarding.repeat == RETRY_BY_STAMP && !order_add_identity(&forwarding, &ask))
        return;
    if (!forward_attempts(&forwarding, &ask, &answer))
        forward_set_refusal(&forwarding);
    else if (answer.status == STATUS_STALE_ORDER && forwarding.base_added)
        order_refuse_superseded(task);
    else
        forward_set_result(task, &answer);
}

Status forward_relay(Forwarder *forwarder, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    LeaderHop hop;
    if (!leader_route_next_hop(forwarder->leader_route, &hop) || hop.self || hop.relay)
        return STATUS_NOT_LEADER;
    ForwardAsk relayed = *ask;
    relayed.relay = false;
    /* less than the sender's timeout, so that the sender gets an answer and knows that this process works */
    const int64_t wait_ms =
        ask->wait_ms > 0 && ask->wait_ms < FORWARD_DEADLINE_MS ? (int64_t)ask->wait_ms * 3 / 4 : FORWARD_DEADLINE_MS;
    const Status status = hop_request(forwarder->settings.rpc, mem, &hop, NULL, &relayed, wait_ms, answer);
    if (status == STATUS_UNREACHABLE || status == STATUS_NOT_LEADER)
        leader_route_report_failure(forwarder->leader_route, &hop);
    return status;
}

void forwarder_end_by(Forwarder *forwarder, int64_t until_ms)
{
    forwarder->end_ms = until_ms;
    attempts_end_by(forwarder->attempts, until_ms);
    signal_raise(forwarder->settings.loop, leader_route_changed_signal(forwarder->leader_route));
}

LeaderRoute *forwarder_leader_route(Forwarder *forwarder)
{
    return forwarder->leader_route;
}

/* Wakes all coroutines that wait for an answer whenever the route has been replaced. */
static void route_changed_main(void *arg)
{
    Forwarder *forwarder = arg;
    while (!loop_stopping(forwarder->settings.loop)) {
        signal_wait(forwarder->settings.loop, leader_route_changed_signal(forwarder->leader_route), INT64_MAX);
        attempts_wake(forwarder->attempts);
    }
}

Forwarder *forwarder_new(void *mem, const ForwarderSettings *settings)
{
    Forwarder *forwarder = talloc_zero(mem, Forwarder);
    forwarder->settings = *settings;
    forwarder->end_ms = INT64_MAX;
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
    loop_spawn(forwarder->settings.loop, "route-changed", route_changed_main, forwarder);
}
