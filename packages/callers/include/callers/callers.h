#ifndef CALLERS_CALLERS_H
#define CALLERS_CALLERS_H

#include "routing/forward.h"
#include "inforce/in_force.h"
#include "scheduler/scheduler.h"
#include "replication/replication.h"

/* The callers' service: answers callers' requests in the leader (jobs, the configuration, zones, the queue, status). A
 * request passes the guards, is served by its route, and its answer is sent only with the proof that the route
 * requires: the lease, or an exchange of messages with a majority since the request arrived (a read index, as in Raft).
 *
 * Used by the controller for the requests that any node forwards to it, its own included. Invariants: while the state
 * is being repaired, only the status is answered; an answer to a request that committed nothing, and that was proven by
 * contact with a majority, was true at some time after the request arrived. */
typedef struct CallerService CallerService;

/* The functions of the controller that the callers' service calls. None of them suspends the coroutine. */
typedef struct CallerServiceCallbacks {
    void *arg; /* passed to each function */
    /* Whether a repair is in progress (controller/src/repair.c). */
    bool (*repairing)(void *arg);
    /* Return the bodies of /v1/status and /v1/alerts; the caller owns the result. */
    json_object *(*status)(void *arg);
    json_object *(*alerts)(void *arg);
} CallerServiceCallbacks;

/* The objects pointed to must outlive the service. */
typedef struct CallerServiceSettings {
    Loop *loop;
    Replication *replication;
    const Table *table;
    Members *members;
    Rpc *rpc;
    InForce *in_force;
    Scheduler *scheduler;
    const ClusterSettings *cluster_settings;
    CallerServiceCallbacks callbacks;
} CallerServiceSettings;

/* Counters of requests since the start of the process; X(name). refused: refused because of faults in the request;
 * crowded: refused because too many tasks waited in the cell, too many requests were in progress, or the state was
 * full; unproven: the proof of the answer failed; unknown_keys: requests to a queue's entry without a known key. */
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

/* Allocated on mem; settings is copied. */
CallerService *caller_service_new(void *mem, const CallerServiceSettings *settings);
/* Suspends the coroutine. Answers a request that was forwarded, or that arrived at this node's own address. The answer
 * contains the committed changes, for the node that returns it to the caller. If disks may lose what they acknowledged,
 * REPAIR_COPIES entry points hold the changes too before the function returns, provided that they answer; an entry
 * point that forwarded the request counts as one of them. Everything is allocated on mem. The node must lead when the
 * function is called. */
void caller_service_answer(CallerService *service, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
const CallerServiceCounts *caller_service_counts(const CallerService *service);

#endif
