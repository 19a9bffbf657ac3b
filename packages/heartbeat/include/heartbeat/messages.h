#ifndef HEARTBEAT_MESSAGES_H
#define HEARTBEAT_MESSAGES_H

/* The messages between an agent and the leader: heartbeats, reports of attempts, orders, and
 * survival rule 2's question. Fields are only ever added, at the end.
 * Times are spans in ms: no two clocks are compared. */

#include "state/change.h"
#include "replication/messages.h"
#include "wire/shape.h"

/* How far an attempt that runs has come, sent when that has changed; the first also says that it
 * runs. text: its checkpoint; ran_ms: for how long the agent has known it to run. */
#define ATTEMPT_SAVED_FIELDS(X)                 \
    X(TXT, job, 0)                              \
    X(U64, task, 0)                             \
    X(U64, attempt, 0)                          \
    X(TXT, text, 0)                             \
    X(I64, ran_ms, 0)                           \
    X(U64, percent, 0)    /* of its work ... */ \
    X(I64, percent_ms, 0) /* ... when it had run so long; 0: not known */
SHAPE(AttemptSaved, ATTEMPT_SAVED_FIELDS)

/* An agent's heartbeat, which also renews its lease and asks for orders. attempts: all attempts that it
 * knows of and that may run, or whose end the leader has not confirmed. settled: that list is
 * complete (since the agent started it has heard its worker, or the worker's lease has lapsed).
 * others: capacity in use there by others than our attempts. number grows with each heartbeat and report. */
#define HEARTBEAT_ASK_FIELDS(X)                                                \
    X(TXT, agent, 0)                                                           \
    X(U64, incarnation, 0)                                                     \
    X(U64, number, 0)                                                          \
    X(ONE, worker, Worker)                                                     \
    X(FLAG, worker_live, 0)                                                    \
    X(FLAG, leaving, 0)                                                        \
    X(FLAG, settled, 0)                                                        \
    X(LST, attempts, AttemptId)                                                \
    X(ONE, others, Resources)                                                  \
    X(LST, saved, AttemptSaved)                                                \
    X(I64, leave_ms, 0) /* leaving: it stays at least so long; 0: not known */ \
    X(U64, have, 0)     /* version and term of the orders it has */            \
    X(U64, have_term, 0)                                                       \
    X(I64, wait_ms, 0) /* the answer may be delayed for so long, for newer ones */
SHAPE(HeartbeatAsk, HEARTBEAT_ASK_FIELDS)

/* An order to start an attempt; saved: the checkpoint that it goes on from. It is valid for timeout_ms
 * of its answer, counted from when the request was sent. */
#define ORDER_FIELDS(X)          \
    X(TXT, job, 0)               \
    X(U64, task, 0)              \
    X(U64, attempt, 0)           \
    X(ONE, resources, Resources) \
    X(TXT, payload, 0)           \
    X(TXT, saved, 0)
SHAPE(Order, ORDER_FIELDS)

/* lease_ms: the lease, counted from when the heartbeat was sent. orders: it brings newer orders than
 * the agent has, by (term, version). wanted: every attempt that is to be on the worker; starts: those of
 * them that have not begun and that the heartbeat did not name. What is not wanted is to be stopped. */
#define HEARTBEAT_ANSWER_FIELDS(X) \
    X(U64, term, 0)                \
    X(I64, lease_ms, 0)            \
    X(FLAG, orders, 0)             \
    X(U64, version, 0)             \
    X(I64, timeout_ms, 0)          \
    X(LST, starts, Order)          \
    X(LST, wanted, AttemptId)
SHAPE(HeartbeatAnswer, HEARTBEAT_ANSWER_FIELDS)

/* Survival rule 2's question (the paper's "all have lost the statefile"): do you know a holder of
 * the lock? */
#define KNOW_ASK_FIELDS(X) X(U64, nothing, 0)
SHAPE(KnowAsk, KNOW_ASK_FIELDS)

/* term: the highest term known; voters: the voters' disks, from controllers only. */
#define KNOW_ANSWER_FIELDS(X) \
    X(FLAG, knows, 0)         \
    X(U64, term, 0)           \
    X(LST, voters, DiskId)
SHAPE(KnowAnswer, KNOW_ANSWER_FIELDS)

/* An agent's report of attempts that began or ended, repeated until it is answered: the leader
 * answers once they are committed. */
#define NOTIFY_ASK_FIELDS(X) \
    X(TXT, agent, 0)         \
    X(U64, incarnation, 0)   \
    X(U64, number, 0)        \
    X(LST, updates, AttemptUpdate)
SHAPE(NotifyAsk, NOTIFY_ASK_FIELDS)

#define NOTIFY_ANSWER_FIELDS(X) X(U64, term, 0)
SHAPE(NotifyAnswer, NOTIFY_ANSWER_FIELDS)

/* Orders without a heartbeat, as agents of the first release ask for them. The answer's fields are
 * those of the heartbeat's. */
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
