#ifndef ROUTING_FORWARD_H
#define ROUTING_FORWARD_H

#include "routing/leader_route.h"
#include "routing/repair_buffer.h"
#include "trace/trace.h"

/* The forwarder: carries a caller's request to the leader and its result back. Used by
 * entry points and by controllers that do not lead.
 *
 * Results of its own: 503, certainly not taken, with Retry-After; 504, it may have been taken. A request that is
 * given up gets one of them at once.
 *
 * An idempotent request (retry_rules.h) may be sent again after a lost answer, to the next
 * leader. A next hop from which nothing has come back for a while is asked whether it is
 * alive, by the first request that waits for it. A slow leader that is alive is waited for; one that
 * does not answer is given up by all requests at once, and so is one that has been succeeded by the leader of a
 * newer term. */
typedef struct Forwarder Forwarder;

/* Answers a request in this process, which leads; the answer lives on mem. Waits. */
typedef void (*ForwardServe)(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);

/* The pointers outlive the forwarder. */
typedef struct ForwarderSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    RepairBuffer *repair_buffer; /* gets the committed changes */
    Trace *trace;                /* null: nothing is traced */
    /* Controllers: whether this one leads, and how it answers then. Null elsewhere. */
    LeaderRouteLeads leads;
    ForwardServe serve;
    void *arg;              /* of leads and serve */
    int64_t leader_wait_ms; /* from the leader's loss, how long a request that nobody can have taken waits for the next
                               leader */
    int64_t
        outcome_wait_ms; /* from its arrival, for how long a request that a lost leader may have taken is sent again */
} ForwarderSettings;

/* Lives on mem; settings is copied. */
Forwarder *forwarder_new(void *mem, const ForwarderSettings *settings);
/* Starts to follow the route to the leader. Before, every request waits for one. */
void forwarder_start(Forwarder *forwarder);
/* Waits, until the task's deadline or FORWARD_DEADLINE_MS at most. Fills in the task's
 * result, always, and adds what was committed to the repair buffer. */
void forward_request(Forwarder *forwarder, HttpTask *task);
/* Waits. Relays to the leader what another process could not bring there itself. The answer
 * lives on mem. NOT_LEADER: this process has no direct route either. */
Status forward_relay(Forwarder *forwarder, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
/* The route that the forwarder uses; it lives as long. */
LeaderRoute *forwarder_leader_route(Forwarder *forwarder);

#endif
