#ifndef ROUTING_FORWARD_H
#define ROUTING_FORWARD_H

#include "routing/leader_route.h"
#include "routing/repair_buffer.h"
#include "trace/trace.h"

/* The forwarder: sends a caller's request to the leader and returns the result. Used by entry points and by controllers
 * that do not lead.
 *
 * The forwarder itself answers 503, with Retry-After, if the request was certainly not accepted, and 504 if it may have
 * been. A request that is abandoned gets one of these immediately.
 *
 * An idempotent request (retry_rules.h) may be sent to the next leader after its answer was lost. If a next hop has
 * been silent for a while, the first request that waits for it checks whether it still answers. Requests wait for a
 * leader that is slow but answers; they all abandon one that does not answer, or that the leader of a newer term has
 * replaced. */
typedef struct Forwarder Forwarder;

/* Serves a request in this process, which leads. The answer is allocated on mem. May suspend the coroutine. */
typedef void (*ForwardServe)(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);

/* The objects pointed to must outlive the forwarder. */
typedef struct ForwarderSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    RepairBuffer *repair_buffer; /* receives the committed changes of each answer */
    Trace *trace;                /* null: no tracing */
    /* For controllers: whether this process leads, and how it serves requests while it does. Null in other roles. */
    LeaderRouteLeads leads;
    ForwardServe serve;
    void *arg; /* passed to leads and serve */
    /* How long after the loss of the leader a request that was certainly not accepted waits for the next one, in ms */
    int64_t leader_wait_ms;
    /* How long after its arrival a request that a lost leader may have accepted is sent again, in ms */
    int64_t outcome_wait_ms;
} ForwarderSettings;

/* Allocated on mem; settings is copied. */
Forwarder *forwarder_new(void *mem, const ForwarderSettings *settings);
/* Starts to track the route to the leader. Until then every request waits for a route. */
void forwarder_start(Forwarder *forwarder);
/* Suspends the coroutine, until the task's deadline or for FORWARD_DEADLINE_MS at most. Always fills in the task's
 * result, and adds the changes that were committed to the repair buffer. */
void forward_request(Forwarder *forwarder, HttpExchange *task);
/* Suspends the coroutine. Relays the request of a process that cannot reach the leader itself. The answer is allocated
 * on mem. Returns STATUS_NOT_LEADER if this process has no direct route to the leader either. */
Status forward_relay(Forwarder *forwarder, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
/* For a shutdown: from now on no request waits beyond until_ms (the loop's clock), those in progress included. Each
 * then gets its refusal, and later ones at once. Does not suspend the coroutine. */
void forwarder_end_by(Forwarder *forwarder, int64_t until_ms);
/* The route that the forwarder uses; owned by the forwarder. */
LeaderRoute *forwarder_leader_route(Forwarder *forwarder);

#endif
