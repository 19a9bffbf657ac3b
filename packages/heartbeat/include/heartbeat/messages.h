#ifndef HEARTBEAT_MESSAGES_H
#define HEARTBEAT_MESSAGES_H

#include "state/change.h"
#include "replication/messages.h"

/* An attempt that runs and how far it has come, told when that has changed: the first
 * is also the word that it runs. ran_ms: for how long the agent has known it to. */
#define ATTEMPT_SAVED_FIELDS(X)                 \
    X(TXT, job, 0)                              \
    X(U64, task, 0)                             \
    X(U64, attempt, 0)                          \
    X(TXT, text, 0)                             \
    X(I64, ran_ms, 0)                           \
    X(U64, percent, 0)    /* of its work ... */ \
    X(I64, percent_ms, 0) /* ... when it had run so long; 0: not told */
SHAPE(AttemptSaved, ATTEMPT_SAVED_FIELDS)

/* An agent's heartbeat, which is also its question for orders. attempts: all it knows of that may run or whose end is
 * not yet known to the leader. settled: that list is complete (it has heard its worker, or the worker's lease has
 * lapsed, since it started). others: room that is in use there by what is not ours. */
#define HEARTBEAT_ASK_FIELDS(X)                                               \
    X(TXT, agent, 0)                                                          \
    X(U64, incarnation, 0)                                                    \
    X(U64, number, 0)                                                         \
    X(ONE, worker, Worker)                                                    \
    X(FLAG, worker_live, 0)                                                   \
    X(FLAG, leaving, 0)                                                       \
    X(FLAG, settled, 0)                                                       \
    X(LST, attempts, AttemptId)                                               \
    X(ONE, others, Room)                                                      \
    X(LST, saved, AttemptSaved)                                               \
    X(I64, leave_ms, 0) /* leaving: it stays at least so long; 0: not told */ \
    X(U64, have, 0)     /* version and term of the orders it has */           \
    X(U64, have_term, 0)                                                      \
    X(I64, wait_ms, 0) /* the answer may be held back for so long, for newer ones */
SHAPE(HeartbeatAsk, HEARTBEAT_ASK_FIELDS)

/* An order to start an attempt. It stands for timeout_ms from when the question that
 * brought it was sent. */
#define ORDER_FIELDS(X) \
    X(TXT, job, 0)      \
    X(U64, task, 0)     \
    X(U64, attempt, 0)  \
    X(ONE, room, Room)  \
    X(TXT, payload, 0)  \
    X(TXT, saved, 0)
SHAPE(Order, ORDER_FIELDS)

/* lease_ms counts from when the question was sent. orders: newer ones than the agent
 * has; starts are those of wanted that have not begun and that its question did not
 * name, wanted every round that is to be there. */
#define HEARTBEAT_ANSWER_FIELDS(X) \
    X(U64, term, 0)                \
    X(I64, lease_ms, 0)            \
    X(FLAG, orders, 0)             \
    X(U64, version, 0)             \
    X(I64, timeout_ms, 0)          \
    X(LST, starts, Order)          \
    X(LST, wanted, AttemptId)
SHAPE(HeartbeatAnswer, HEARTBEAT_ANSWER_FIELDS)

/* Rule 2's question: do you know a lock holder? Controllers tell the voters too. */
#define KNOW_ASK_FIELDS(X) X(U64, nothing, 0)
SHAPE(KnowAsk, KNOW_ASK_FIELDS)

#define KNOW_ANSWER_FIELDS(X) \
    X(FLAG, knows, 0)         \
    X(U64, term, 0)           \
    X(LST, voters, DiskId)
SHAPE(KnowAnswer, KNOW_ANSWER_FIELDS)

#define TELL_ASK_FIELDS(X) \
    X(TXT, agent, 0)       \
    X(U64, incarnation, 0) \
    X(U64, number, 0)      \
    X(LST, news, AttemptNews)
SHAPE(TellAsk, TELL_ASK_FIELDS)

#define TELL_ANSWER_FIELDS(X) X(U64, term, 0)
SHAPE(TellAnswer, TELL_ANSWER_FIELDS)

/* Orders alone, as agents of the first release ask for them. wanted: every round
 * that is to be on the worker. Whatever else the agent has is to be stopped. */
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
