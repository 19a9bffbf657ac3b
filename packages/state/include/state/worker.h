#ifndef STATE_WORKER_H
#define STATE_WORKER_H

/* Workers in the replicated state, and the status updates of agents on attempts. Whether the lease of a worker is valid
 * is not part of this state: the leader tracks that in memory (packages/heartbeat). */

#include "state/job.h"

/* The durable properties of a worker; whether it is alive is not among them.
 *
 *     state     flag         changes to the other state on
 *     in use    excluded=0   WORKER_LEFT with left: it left cleanly
 *     excluded  excluded=1   WORKER_LEFT without left; WORKER_SET, when it returns
 *
 * A known worker is never dropped. */
#define WORKER_FIELDS(X)         \
    X(TXT, name, 0)              \
    X(TXT, zone, 0)              \
    X(TXT, rack, 0)              \
    X(TXT, kind, 0)              \
    X(TXS, labels, 0)            \
    X(ONE, resources, Resources) \
    X(FLAG, excluded, 0)
SHAPE(Worker, WORKER_FIELDS)

/* The status of an attempt as its agent reports it, and its name in the API. All but RUNNING are final; src/attempt.c
 * decides the effect of each on the task. */
#define ATTEMPT_STATUS_LIST(X)                                                              \
    X(RUNNING, "running")                                                                   \
    X(DONE, "done")                                                                         \
    X(FAILED, "failed")                                                                     \
    X(STOPPED, "stopped") /* ended because it was ordered to stop */                        \
    X(REFUSED, "refused") /* never started: deadline passed, no capacity or unknown kind */ \
    X(LOST, "lost")       /* no longer running: the worker lost it */                       \
    X(LAPSED, "lapsed")   /* no longer running: the lease had expired */                    \
    X(BROKEN, "broken")   /* no longer running: another member of its gang ended */         \
    X(ISOLATED, "alone")  /* no longer running: waited too long for the other members of its gang */
typedef enum AttemptStatus {
#define X(name, word) ATTEMPT_##name,
    ATTEMPT_STATUS_LIST(X)
#undef X
        ATTEMPT_STATUS_COUNT
} AttemptStatus;

/* Returns the name in the API; "unlisted" for an unknown number, which a later release may have sent. */
const char *attempt_status_name(uint64_t word);
/* Returns the status with this name; ATTEMPT_STATUS_COUNT when there is none. */
AttemptStatus attempt_status_of_name(const char *word);

/* An agent's update on one attempt. Invariant kept by the senders: worker is not empty. */
#define ATTEMPT_UPDATE_FIELDS(X)                                                           \
    X(TXT, job, 0)                                                                         \
    X(U64, task, 0)    /* task number, see TASK_NUMBER */                                  \
    X(U64, attempt, 0) /* number of the attempt */                                         \
    X(TXT, worker, 0)                                                                      \
    X(U64, word, 0)           /* an AttemptStatus */                                       \
    X(TXT, text, 0)           /* message of the worker */                                  \
    X(TXT, saved, 0)          /* checkpoint; empty: none */                                \
    X(I64, ran_ms, 0)         /* run time observed by the agent, in ms; 0: not reported */ \
    X(RAM, percent, uint64_t) /* progress of the work as the worker reports it, in percent; 0: not reported */
SHAPE(AttemptUpdate, ATTEMPT_UPDATE_FIELDS)

#endif
