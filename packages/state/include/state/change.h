#ifndef STATE_CHANGE_H
#define STATE_CHANGE_H

#include "state/worker.h"

/* Every change of the state. Numbers are part of the journal's format. Each may
 * be told twice without harm: what it names has an identity of its own. */
#define CHANGE_LIST(X)                                                          \
    X(JOB_ADD, 16, JobAdd)                                                      \
    X(JOB_CANCEL, 17, JobCancel)                                                \
    X(PLACE, 18, PlaceList)                                                     \
    X(ATTEMPTS, 19, AttemptList) /* what agents tell */                         \
    X(STOP, 20, StopList)        /* attempts to be stopped and planned again */ \
    X(WORKER_SET, 21, Worker)                                                   \
    X(WORKER_LOST, 22, WorkerLost)                                              \
    X(WORKER_LEFT, 23, WorkerLeft)                                              \
    X(CONFIG_SET, 24, ConfigSet)                                                \
    X(ZONE_DRAIN, 25, ZoneDrain)                                                \
    X(FORGET, 26, Forget)   /* ended jobs older than the stated span */         \
    X(ASSURE, 27, StopList) /* attempts that a plan now includes */             \
    X(JOB_END, 28, JobEnd)  /* told again: a caller was shown that it ended */

typedef enum ChangeKind {
#define X(name, number, shape) CHANGE_##name = number,
    CHANGE_LIST(X)
#undef X
} ChangeKind;

#define JOB_ADD_FIELDS(X) \
    X(ONE, spec, JobSpec) \
    X(ONE, terms, JobTerms)
SHAPE(JobAdd, JOB_ADD_FIELDS)

#define JOB_CANCEL_FIELDS(X) X(TXT, id, 0)
SHAPE(JobCancel, JOB_CANCEL_FIELDS)

#define JOB_END_FIELDS(X) \
    X(TXT, id, 0)         \
    X(U64, phase, 0)
SHAPE(JobEnd, JOB_END_FIELDS)

#define PLACEMENT_FIELDS(X) \
    X(TXT, job, 0)          \
    X(U64, task, 0)         \
    X(U64, attempt, 0)      \
    X(TXT, worker, 0)       \
    X(U64, incarnation, 0)  \
    X(FLAG, assured, 0)     \
    X(TXT, saved, 0) /* from where the attempt goes on */
SHAPE(Placement, PLACEMENT_FIELDS)

#define PLACE_LIST_FIELDS(X) X(LST, placements, Placement)
SHAPE(PlaceList, PLACE_LIST_FIELDS)

#define ATTEMPT_LIST_FIELDS(X) X(LST, news, AttemptNews)
SHAPE(AttemptList, ATTEMPT_LIST_FIELDS)

#define ATTEMPT_ID_FIELDS(X) \
    X(TXT, job, 0)           \
    X(U64, task, 0)          \
    X(U64, attempt, 0)
SHAPE(AttemptId, ATTEMPT_ID_FIELDS)

#define STOP_LIST_FIELDS(X)     \
    X(LST, attempts, AttemptId) \
    X(TXT, why, 0)
SHAPE(StopList, STOP_LIST_FIELDS)

/* Every round on the worker given to that incarnation or an older one is over. */
#define WORKER_LOST_FIELDS(X) \
    X(TXT, worker, 0)         \
    X(U64, incarnation, 0)
SHAPE(WorkerLost, WORKER_LOST_FIELDS)

#define WORKER_LEFT_FIELDS(X) \
    X(TXT, worker, 0)         \
    X(FLAG, left, 0)
SHAPE(WorkerLeft, WORKER_LEFT_FIELDS)

/* Bounds of callers' requests; 0: the process's own. */
#define CONFIG_LIMITS_FIELDS(X)                                    \
    X(U64, head_bytes, 0)                                          \
    X(U64, body_bytes, 0)                                          \
    X(I64, head_ms, 0) /* for a request's head to come in whole */ \
    X(I64, idle_ms, 0) /* a connection without a request is closed after this */
SHAPE(ConfigLimits, CONFIG_LIMITS_FIELDS)

/* base: the version it builds on. restored: told again in a repair, where only
 * a higher version counts. A call that names its version has a digest, by which
 * the same call sent again is known. */
#define CONFIG_SET_FIELDS(X)                                                    \
    X(U64, base, 0)                                                             \
    X(U64, version, 0) /* 0: the one after base */                              \
    X(TXT, text, 0)                                                             \
    X(FLAG, restored, 0)                                                        \
    X(FLAG, patch, 0) /* the text is a merge patch upon base, else the whole */ \
    X(TXT, digest, 0)                                                           \
    X(ONE, limits, ConfigLimits) /* of the whole */
SHAPE(ConfigSet, CONFIG_SET_FIELDS)

/* move: what runs there is to be started elsewhere while the plan holds.
 * stamp grows with each order for a zone: an older one told again counts for nothing.
 * order names the order wherever it is sent again; "": it has no name. When based is
 * set, the order counts only while no stamp above base has been delivered. */
#define ZONE_DRAIN_FIELDS(X) \
    X(TXT, zone, 0)          \
    X(FLAG, drained, 0)      \
    X(I64, stamp, 0)         \
    X(FLAG, move, 0)         \
    X(TXT, order, 0)         \
    X(FLAG, based, 0)        \
    X(I64, base, 0)
SHAPE(ZoneDrain, ZONE_DRAIN_FIELDS)

#define FORGET_FIELDS(X) X(I64, before_ms, 0)
SHAPE(Forget, FORGET_FIELDS)

#endif
