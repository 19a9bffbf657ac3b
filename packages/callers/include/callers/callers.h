#ifndef CALLERS_CALLERS_H
#define CALLERS_CALLERS_H

#include "routing/forward.h"
#include "inforce/in_force.h"
#include "scheduler/scheduler.h"
#include "replication/replication.h"

/* Answers callers' requests as leader: jobs, the configuration, zones, the queue, status. A request passes
 * guards, goes to its route, and its answer goes out only with the proof that its route asks for: the lease,
 * or a round of contact with a majority since the request came (a read index, as in Raft).
 *
 * Used by the controller for requests that any node forwards to it, its own included. Invariants: while the state
 * is being repaired nothing but the status is answered; an answer to a request that committed nothing, and that was
 * proven by contact, was true at some time after the request came. */
typedef struct CallerService CallerService;

/* What the callers' service calls of the controller. None waits. */
typedef struct CallerServiceLeader {
    void *arg; /* handed to each of them */
    /* Whether a repair is under way (controller/src/repair.c). */
    bool (*repairing)(void *arg);
    /* The bodies of /v1/status and /v1/alerts; owned by the caller. */
    json_object *(*status)(void *arg);
    json_object *(*alerts)(void *arg);
} CallerServiceLeader;

/* Every pointer outlives the callers. */
typedef struct CallerServiceSettings {
    Loop *loop;
    Replication *replication;
    const Table *table;
    Members *members;
    Rpc *rpc;
    InForce *in_force;
    Scheduler *scheduler;
    const Bounds *bounds;
    CallerServiceLeader leader;
} CallerServiceSettings;

/* Requests since the process began; X(name). refused: with faults; crowded: too much waited in the cell, or the state
 * was full; unproven: the proof of the answer failed; unknown_keys: calls of an entry without a known key. */
#define CALLER_SERVICE_COUNT_LIST(X) \
    X(refused)                       \
    X(crowded)                       \
    X(unproven)                      \
    X(unknown_keys)

typedef struct CallerServiceCounts {
#define X(name) uint64_t name;
    CALLER_SERVICE_COUNT_LIST(X)
#undef X
} CallerServiceCounts;

/* On mem. Copies the settings. */
CallerService *caller_service_new(void *mem, const CallerServiceSettings *settings);
/* Waits. Answers a request that was forwarded, or came to this node's own address; what it committed is in the answer,
 * for the node that brings it to the caller. Where disks may lose what they acknowledged, REPAIR_COPIES entry points
 * keep it as well before this returns, as far as they answer; one that carries the request is one of them. All on mem.
 * The node must lead when it is called. */
void caller_service_answer(CallerService *callers, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
const CallerServiceCounts *caller_service_counts(const CallerService *callers);

#endif
