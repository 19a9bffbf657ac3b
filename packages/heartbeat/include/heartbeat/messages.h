#ifndef HEARTBEAT_MESSAGES_H
#define HEARTBEAT_MESSAGES_H

/* The messages between an agent and the leader: heartbeats, reports of attempts, orders, and the question of survival
 * rule 2. Fields are only ever added, and only at the end. Times are durations in ms, so that no two clocks are
 * compared. */

#include "state/change.h"
#include "replication/messages.h"
#include "wire/shape.h"

/* The progress of a running attempt, sent when it has changed; the first one also reports that the attempt runs. text:
 * the checkpoint; ran_ms: how long the agent has known the attempt to run; percent: the part of the work that is done;
 * percent_ms: how long the attempt had run at that point, 0: not known. */
#define ATTEMPT_SAVED_FIELDS(X) \
    X(TXT, job, 0)              \
    X(U64, task, 0)             \
    X(U64, attempt, 0)          \
    X(TXT, text, 0)             \
    X(I64, ran_ms, 0)           \
    X(U64, percent, 0)          \
    X(I64, percent_ms, 0)
SHAPE(AttemptSaved, ATTEMPT_SAVED_FIELDS)

/* An agent's heartbeat, which also renews its lease and requests orders. attempts: all attempts known to the agent that
 * may run, or whose end the leader has not confirmed. settled: that list is complete (since the agent started, its
 * worker has contacted it or the worker's lease has expired). others: capacity in use on the worker by others than this
 * system's attempts. number increases with each heartbeat and report. */
#define HEARTBEAT_ASK_FIELDS(X)                                                         \
    X(TXT, agent, 0)                                                                    \
    X(U64, incarnation, 0)                                                              \
    X(U64, number, 0)                                                                   \
    X(ONE, worker, Worker)                                                              \
    X(FLAG, worker_live, 0)                                                             \
    X(FLAG, leaving, 0)                                                                 \
    X(FLAG, settled, 0)                                                                 \
    X(LST, attempts, AttemptId)                                                         \
    X(ONE, others, Resources)                                                           \
    X(LST, saved, AttemptSaved)                                                         \
    X(I64, leave_ms, 0) /* if leaving: how long it still runs at least; 0: not known */ \
    X(U64, have, 0)     /* with have_term: version and term of the agent's orders */    \
    X(U64, have_term, 0)                                                                \
    X(I64, wait_ms, 0) /* time for which the answer may be delayed until there are newer orders */
SHAPE(HeartbeatAsk, HEARTBEAT_ASK_FIELDS)

/* An order to start an attempt. saved: the checkpoint from which the attempt resumes. The order is valid for the
 * timeout_ms of the answer that carries it, counted from when the request was sent. */
#define ORDER_FIELDS(X)          \
    X(TXT, job, 0)               \
    X(U64, task, 0)              \
    X(U64, attempt, 0)           \
    X(ONE, resources, Resources) \
    X(TXT, payload, 0)           \
    X(TXT, saved, 0)
SHAPE(Order, ORDER_FIELDS)

/* The answer to a heartbeat. lease_ms: the lease, counted from when the heartbeat was sent. orders: the answer contains
 * newer orders than the agent has, by (term, version). wanted: every attempt that shall be on the worker; starts: those
 * of them that have not begun and that the heartbeat did not list. All other attempts shall be stopped. starts_cut:
 * there are more starts than fit (ORDERS_BYTES_MAX); the agent asks for the same version again. */
#define HEARTBEAT_ANSWER_FIELDS(X) \
    X(U64, term, 0)                \
    X(I64, lease_ms, 0)            \
    X(FLAG, orders, 0)             \
    X(U64, version, 0)             \
    X(I64, timeout_ms, 0)          \
    X(LST, starts, Order)          \
    X(LST, wanted, AttemptId)      \
    X(FLAG, starts_cut, 0)
SHAPE(HeartbeatAnswer, HEARTBEAT_ANSWER_FIELDS)

/* The question of survival rule 2 (XenServer's HA design: "all have lost the statefile"): whether the recipient knows a
 * holder of the lock. */
#define KNOW_ASK_FIELDS(X) X(U64, nothing, 0)
SHAPE(KnowAsk, KNOW_ASK_FIELDS)

/* The answer to KnowAsk. term: the highest known term; voters: the voters' disks, sent by controllers only. */
#define KNOW_ANSWER_FIELDS(X) \
    X(FLAG, knows, 0)         \
    X(U64, term, 0)           \
    X(LST, voters, DiskId)
SHAPE(KnowAnswer, KNOW_ANSWER_FIELDS)

/* An agent's report of attempts that began or ended, repeated until it is answered. The leader answers once the updates
 * are committed. */
#define NOTIFY_ASK_FIELDS(X) \
    X(TXT, agent, 0)         \
    X(U64, incarnation, 0)   \
    X(U64, number, 0)        \
    X(LST, updates, AttemptUpdate)
SHAPE(NotifyAsk, NOTIFY_ASK_FIELDS)

/* The answer to NotifyAsk; term: the leader's term. */
#define NOTIFY_ANSWER_FIELDS(X) X(U64, term, 0)
SHAPE(NotifyAnswer, NOTIFY_ANSWER_FIELDS)

/* A request for orders without a heartbeat, as sent by agents of the first release. The fields of the answer are as in
 * HeartbeatAnswer. */
#define FETCH_ASK_FIELDS(X) \
    X(TXT, agent, 0)        \
    X(U64, incarnation, 0)  \
    X(U64, have, 0)         \
    X(U64, have_term, 0)
SHAPE(FetchAsk, FETCH_ASK_FIELDS)

#define FETCH_ANSWER_FIELDS(X) \
    X(U64, term, 0)            \
    X(U64, version, 0)         \
    X(I64, timeout_ms, 0)      \
    X(LST, starts, Order)      \
    X(LST, wanted, AttemptId)
SHAPE(FetchAnswer, FETCH_ANSWER_FIELDS)

#endif
