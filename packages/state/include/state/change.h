#ifndef STATE_CHANGE_H
#define STATE_CHANGE_H

/* The changes of the replicated state: the log entries that packages/state delivers, with the shape of each payload.
 * The leader proposes them (packages/controller). A repair proposes those again that the disks may have lost, so every
 * change is idempotent: it identifies its target by a job id, an attempt number, a configuration version, or the name
 * or stamp of an order.
 *
 * Change numbers and fields are part of the journal format: numbers are never reused, and fields are only appended. */

#include "state/worker.h"

/* Name, number in the journal, and shape of the payload. Numbers below 16 are reserved for the log itself
 * (REPLICATION_CHANGE_FIRST). */
#define CHANGE_LIST(X)                                                                         \
    X(JOB_ADD, 16, JobAdd)                                                                     \
    X(JOB_CANCEL, 17, JobCancel)                                                               \
    X(PLACE, 18, PlaceList)                                                                    \
    X(ATTEMPTS, 19, AttemptList) /* status updates from agents */                              \
    X(STOP, 20, StopList)        /* attempts to stop; their tasks are placed again */          \
    X(WORKER_SET, 21, Worker)                                                                  \
    X(WORKER_LOST, 22, WorkerLost)                                                             \
    X(WORKER_LEFT, 23, WorkerLeft)                                                             \
    X(CONFIG_SET, 24, ConfigSet)                                                               \
    X(ZONE_DRAIN, 25, ZoneDrain)                                                               \
    X(FORGET, 26, Forget)   /* drops jobs that ended before a given time */                    \
    X(ASSURE, 27, StopList) /* attempts whose restart the plan for worker losses now covers */ \
    X(JOB_END, 28, JobEnd)  /* proposed by a repair: a caller has already seen the job's end */

typedef enum ChangeKind {
#define X(name, number, shape) CHANGE_##name = number,
    CHANGE_LIST(X)
#undef X
} ChangeKind;

/* Accepts a job; the result's number is the job's number. A job with a known id is not added again: the status is OK
 * when the body is the same, otherwise OTHER_BODY. A job that was cancelled before it was accepted (JOB_CANCEL) is
 * cancelled at once. */
#define JOB_ADD_FIELDS(X) \
    X(ONE, spec, JobSpec) \
    X(ONE, terms, JobTerms)
SHAPE(JobAdd, JOB_ADD_FIELDS)

/* Cancels a job. Status ALREADY_ENDED when the job ended other than by a cancellation.
 *
 * A submission may be held up on its way and arrive after the cancellation of its job was answered. Therefore the
 * cancellation of an unknown job is recorded when early is set, and applies to a job with this id, cell and tenant that
 * is accepted later. It is dropped by FORGET, as ended jobs are. Status STATE_FULL when EARLY_CANCELS_MAX are recorded,
 * OTHER_TENANT when a job with this id is known, but of another cell or tenant; UNKNOWN_JOB without early.
 *
 * cell, tenant: scope of the cancellation; an empty cell: any cell and tenant. Earlier releases sent neither. */
#define JOB_CANCEL_FIELDS(X) \
    X(TXT, id, 0)            \
    X(FLAG, early, 0)        \
    X(TXT, cell, 0)          \
    X(TXT, tenant, 0)
SHAPE(JobCancel, JOB_CANCEL_FIELDS)

/* Ends a job in the phase in which it had ended before the disks lost that end. Ignored when the job is unknown or has
 * ended. */
#define JOB_END_FIELDS(X) \
    X(TXT, id, 0)         \
    X(U64, phase, 0) /* a JobPhase */
SHAPE(JobEnd, JOB_END_FIELDS)

/* Places the next attempt of a task on a worker. Ignored when the task is no longer waiting or already had an attempt
 * with this number or a higher one. The members of a gang are consecutive in the list and share one attempt number. */
#define PLACEMENT_FIELDS(X) \
    X(TXT, job, 0)          \
    X(U64, task, 0)         \
    X(U64, attempt, 0)      \
    X(TXT, worker, 0)       \
    X(U64, incarnation, 0)  \
    X(FLAG, assured, 0)     \
    X(TXT, saved, 0) /* checkpoint to resume from; empty: none */
SHAPE(Placement, PLACEMENT_FIELDS)

/* The payload of PLACE. The result's number is the number of placements applied. */
#define PLACE_LIST_FIELDS(X) X(LST, placements, Placement)
SHAPE(PlaceList, PLACE_LIST_FIELDS)

/* The payload of ATTEMPTS: updates from agents. The result's number is the length of the list. */
#define ATTEMPT_LIST_FIELDS(X) X(LST, updates, AttemptUpdate)
SHAPE(AttemptList, ATTEMPT_LIST_FIELDS)

/* Identifies one attempt of one task. */
#define ATTEMPT_ID_FIELDS(X) \
    X(TXT, job, 0)           \
    X(U64, task, 0)          \
    X(U64, attempt, 0)
SHAPE(AttemptId, ATTEMPT_ID_FIELDS)

/* The payload of STOP and of ASSURE. The result's number is the number of attempts that it applied to. */
#define STOP_LIST_FIELDS(X)     \
    X(LST, attempts, AttemptId) \
    X(TXT, why, 0) /* message shown for the tasks from then on */
SHAPE(StopList, STOP_LIST_FIELDS)

/* The worker's lease has expired: every attempt on it that was assigned to this incarnation of its agent, or to an
 * older one, is over. */
#define WORKER_LOST_FIELDS(X) \
    X(TXT, worker, 0)         \
    X(U64, incarnation, 0)
SHAPE(WorkerLost, WORKER_LOST_FIELDS)

/* The worker left cleanly, or returned. Status UNKNOWN_WORKER when there is no such worker. */
#define WORKER_LEFT_FIELDS(X) \
    X(TXT, worker, 0)         \
    X(FLAG, left, 0)
SHAPE(WorkerLeft, WORKER_LEFT_FIELDS)

/* Limits on HTTP requests of callers, from the operators' configuration; 0: the default. */
#define CONFIG_LIMITS_FIELDS(X)                                            \
    X(U64, head_bytes, 0)                                                  \
    X(U64, body_bytes, 0)                                                  \
    X(I64, head_ms, 0) /* deadline for the complete request head, in ms */ \
    X(I64, idle_ms, 0) /* an idle connection is closed after this time, in ms */
SHAPE(ConfigLimits, CONFIG_LIMITS_FIELDS)

/* Sets a new version of the operators' configuration; see deliver_config.h.
 *
 * base: the version that this one is based on.
 * restored: proposed again by a repair; applied only when the version is above the current one.
 * digest: identifies the operator's call when the call names its version, so that a retry is recognised. */
#define CONFIG_SET_FIELDS(X)                                                               \
    X(U64, base, 0)                                                                        \
    X(U64, version, 0) /* 0: base + 1 */                                                   \
    X(TXT, text, 0)                                                                        \
    X(FLAG, restored, 0)                                                                   \
    X(FLAG, patch, 0) /* text is a merge patch on base; otherwise the complete document */ \
    X(TXT, digest, 0)                                                                      \
    X(ONE, limits, ConfigLimits) /* of the resulting document */
SHAPE(ConfigSet, CONFIG_SET_FIELDS)

/* Drains a zone, or returns it to service.
 *
 * move: running tasks are restarted in other zones, as long as the plan for worker losses stays feasible.
 * stamp: grows with each order for a zone; an order with an older stamp is ignored.
 * order: the name that identifies a retried order; empty: none.
 * based, base: when based is set, the order is applied only if no stamp above base has been delivered. Otherwise it is
 * refused, with EXPIRED when it may be one that was delivered but is no longer remembered, else with STALE_ORDER. */
#define ZONE_DRAIN_FIELDS(X) \
    X(TXT, zone, 0)          \
    X(FLAG, drained, 0)      \
    X(I64, stamp, 0)         \
    X(FLAG, move, 0)         \
    X(TXT, order, 0)         \
    X(FLAG, based, 0)        \
    X(I64, base, 0)
SHAPE(ZoneDrain, ZONE_DRAIN_FIELDS)

/* Drops jobs that ended, orphaned attempts that were reported, and early cancellations that were recorded, before this
 * log time (ms). */
#define FORGET_FIELDS(X) X(I64, before_ms, 0)
SHAPE(Forget, FORGET_FIELDS)

#endif
