#ifndef STATE_CHANGE_H
#define STATE_CHANGE_H

/* The changes of the replicated state: the log's entries that packages/state delivers,
 * with the shape of each payload. The leader proposes them (packages/controller); a repair
 * proposes again those that the disks may have lost. So changes are idempotent: each names
 * what it changes by a job's id, an attempt's number, a version, or an order's name or
 * stamp.
 *
 * Numbers and fields are part of the journal's format: numbers are never reused, fields
 * are only added at the end. */

#include "state/worker.h"

/* Name, number in the journal, shape of the payload. Numbers below 16 are the log's own (REPLICATION_CHANGE_FIRST). */
#define CHANGE_LIST(X)                                                                           \
    X(JOB_ADD, 16, JobAdd)                                                                       \
    X(JOB_CANCEL, 17, JobCancel)                                                                 \
    X(PLACE, 18, PlaceList)                                                                      \
    X(ATTEMPTS, 19, AttemptList) /* agents' updates */                                           \
    X(STOP, 20, StopList)        /* attempts to stop and to plan again */                        \
    X(WORKER_SET, 21, Worker)                                                                    \
    X(WORKER_LOST, 22, WorkerLost)                                                               \
    X(WORKER_LEFT, 23, WorkerLeft)                                                               \
    X(CONFIG_SET, 24, ConfigSet)                                                                 \
    X(ZONE_DRAIN, 25, ZoneDrain)                                                                 \
    X(FORGET, 26, Forget)   /* drops jobs that ended before a time */                            \
    X(ASSURE, 27, StopList) /* attempts whose restart the plan for worker losses now includes */ \
    X(JOB_END, 28, JobEnd)  /* from a repair: a caller was shown that the job ended */

typedef enum ChangeKind {
#define X(name, number, shape) CHANGE_##name = number,
    CHANGE_LIST(X)
#undef X
} ChangeKind;

/* Accepts a job. For a known id: OK with the job's number when the body is the same, else OTHER_BODY. The job's number
 * is the result's number. */
#define JOB_ADD_FIELDS(X) \
    X(ONE, spec, JobSpec) \
    X(ONE, terms, JobTerms)
SHAPE(JobAdd, JOB_ADD_FIELDS)

/* Cancels a job. UNKNOWN_JOB; ALREADY_ENDED: it ended, but not by being cancelled. */
#define JOB_CANCEL_FIELDS(X) X(TXT, id, 0)
SHAPE(JobCancel, JOB_CANCEL_FIELDS)

/* The job had ended in this phase before the disks lost that; ignored for an unknown job or one that has ended. */
#define JOB_END_FIELDS(X) \
    X(TXT, id, 0)         \
    X(U64, phase, 0) /* a JobPhase */
SHAPE(JobEnd, JOB_END_FIELDS)

/* A task's next attempt goes to a worker. Ignored when the task no longer waits or has had that attempt. The members of
 * a gang follow one another in the list and have one attempt number. */
#define PLACEMENT_FIELDS(X) \
    X(TXT, job, 0)          \
    X(U64, task, 0)         \
    X(U64, attempt, 0)      \
    X(TXT, worker, 0)       \
    X(U64, incarnation, 0)  \
    X(FLAG, assured, 0)     \
    X(TXT, saved, 0) /* progress to resume from */
SHAPE(Placement, PLACEMENT_FIELDS)

/* The result's number: how many placements were applied. */
#define PLACE_LIST_FIELDS(X) X(LST, placements, Placement)
SHAPE(PlaceList, PLACE_LIST_FIELDS)

/* Agents' updates on attempts. The result's number: the length of the list. */
#define ATTEMPT_LIST_FIELDS(X) X(LST, updates, AttemptUpdate)
SHAPE(AttemptList, ATTEMPT_LIST_FIELDS)

/* One attempt of one task. */
#define ATTEMPT_ID_FIELDS(X) \
    X(TXT, job, 0)           \
    X(U64, task, 0)          \
    X(U64, attempt, 0)
SHAPE(AttemptId, ATTEMPT_ID_FIELDS)

/* The payload of STOP and of ASSURE. The result's number: how many attempts it applied to. */
#define STOP_LIST_FIELDS(X)     \
    X(LST, attempts, AttemptId) \
    X(TXT, why, 0) /* the message that the tasks show from then on */
SHAPE(StopList, STOP_LIST_FIELDS)

/* The worker's lease has run out: every attempt there that was ordered from that
 * incarnation of its agent, or an older one, is over. */
#define WORKER_LOST_FIELDS(X) \
    X(TXT, worker, 0)         \
    X(U64, incarnation, 0)
SHAPE(WorkerLost, WORKER_LOST_FIELDS)

/* The worker left cleanly, or is back. UNKNOWN_WORKER. */
#define WORKER_LEFT_FIELDS(X) \
    X(TXT, worker, 0)         \
    X(FLAG, left, 0)
SHAPE(WorkerLeft, WORKER_LEFT_FIELDS)

/* Limits on callers' HTTP requests, from the operators' configuration; 0: the default. */
#define CONFIG_LIMITS_FIELDS(X)                                               \
    X(U64, head_bytes, 0)                                                     \
    X(U64, body_bytes, 0)                                                     \
    X(I64, head_ms, 0) /* ms; deadline for a request's head to be complete */ \
    X(I64, idle_ms, 0) /* ms; a connection without a request is closed after this */
SHAPE(ConfigLimits, CONFIG_LIMITS_FIELDS)

/* A new version of the operators' configuration. base: the version it builds on. restored: proposed again in a repair,
 * where only a version above the present one counts. An operator's call that names its version has a digest, by which
 * a retry of the call is recognised. See deliver_config.h. */
#define CONFIG_SET_FIELDS(X)                                                           \
    X(U64, base, 0)                                                                    \
    X(U64, version, 0) /* 0: the one after base */                                     \
    X(TXT, text, 0)                                                                    \
    X(FLAG, restored, 0)                                                               \
    X(FLAG, patch, 0) /* the text is a merge patch on base, else the whole document */ \
    X(TXT, digest, 0)                                                                  \
    X(ONE, limits, ConfigLimits) /* of the resulting document */
SHAPE(ConfigSet, CONFIG_SET_FIELDS)

/* An order to drain a zone, or to take it back into use. move: what runs there is
 * restarted elsewhere while the plan for worker losses holds. stamp grows with each order
 * for a zone: an older one delivered again is ignored. order names the order wherever it
 * is sent again; "": it has no name. When based is set, the order counts only while no
 * stamp above base has been delivered, else it is refused: STALE_ORDER, or EXPIRED when it may have been delivered
 * before and is no longer remembered. */
#define ZONE_DRAIN_FIELDS(X) \
    X(TXT, zone, 0)          \
    X(FLAG, drained, 0)      \
    X(I64, stamp, 0)         \
    X(FLAG, move, 0)         \
    X(TXT, order, 0)         \
    X(FLAG, based, 0)        \
    X(I64, base, 0)
SHAPE(ZoneDrain, ZONE_DRAIN_FIELDS)

/* Drops jobs that ended, and orphaned attempts that were reported, before this log time. */
#define FORGET_FIELDS(X) X(I64, before_ms, 0)
SHAPE(Forget, FORGET_FIELDS)

#endif
