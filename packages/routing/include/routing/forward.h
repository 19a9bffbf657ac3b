#ifndef ROUTING_FORWARD_H
#define ROUTING_FORWARD_H

#include "routing/repair_buffer.h"
#include "routing/leader_paths.h"
#include "trace/trace.h"

/* The forwarder: carries a caller's request to the leader and its result back. Used by
 * entry points and by controllers that do not lead.
 *
 * 503: certainly not taken, with when to come back. 504: it may have been taken. A request
 * that has been given up is answered at once.
 *
 * What is idempotent (feed/routes.h) may be sent again after a lost answer, to the next
 * leader. A next hop from which nothing has come back for a while is asked whether it is
 * alive, by whoever waits for it first. A slow leader that is alive is waited for; one that
 * does not answer is given up by all requests at once, and so is one that a newer term is
 * heard after. */
typedef struct Forwarder Forwarder;

/* Answers a request in this process, which leads; the answer lives on mem. Waits. */
typedef void (*ForwardServe)(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);

/* The pointers outlive the forwarder. */
typedef struct ForwarderSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    RepairBuffer *repair_buffer; /* repair buffer for what was committed */
    Trace *trace;                /* null: nothing is traced */
    /* Controllers: whether this one leads, and how it answers then. Null elsewhere. */
    LeaderPathsLeads leads;
    ForwardServe serve;
    void *arg;              /* of leads and serve */
    int64_t leader_wait_ms; /* from the leader's loss, a request that nobody can have taken waits so long for another */
    int64_t outcome_wait_ms; /* from its arrival, one that a lost leader may have taken is sent again for so long */
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
LeaderPaths *forwarder_leader_paths(Forwarder *forwarder);

#endif
