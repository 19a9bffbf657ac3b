#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

/* The queues of waiting work: why a task waits, when it is due, and what is cached between two passes of the scheduler.
 * Used by the leader's scheduler (packages/scheduler); the API shows the reasons. No function here suspends the
 * coroutine or changes the state. */

#include "base/map.h"
#include "config/config.h"
#include "policy/policy.h"
#include "queue/latency_target.h"

/* Why a task waits, with the API's word for it. */
#define WAIT_LIST(X)                                                  \
    X(READY, "room")   /* it could start: only capacity is missing */ \
    X(STEPS, "steps")  /* earlier steps are not done */               \
    X(DUE, "due-time") /* its due time has not come */                \
    X(REST, "rest")    /* its retry delay is not over */              \
    X(QUOTA, "quota")  /* its tenant's quota leaves too little */     \
    X(GANG, "gang")    /* other members are still being stopped */
typedef enum WaitReason {
#define X(name, word) WAIT_##name,
    WAIT_LIST(X)
#undef X
} WaitReason;

/* The API's word for the reason. */
const char *wait_word(WaitReason reason);

/* The time that decisions are based on. */
typedef struct QueueClock {
    int64_t log_ms;  /* log time */
    int64_t wall_ms; /* median of the voters' wall clocks */
} QueueClock;

/* The part of the quota of the job's tenant that is not in use, by the tasks that the table has on workers; UINT64_MAX:
 * no limit. */
Resources quota_left(const Table *table, const Config *config, const Job *job);
/* Why a waiting task does not start now. left: what the quota leaves. */
WaitReason queue_wait(const Job *job, size_t task, QueueClock clock, Resources left);
/* Whether the due time of that occurrence of the job (0 where it is not timed) has come and the job's delay has
 * passed. */
bool queue_due(const Job *job, uint64_t occurrence, QueueClock clock);
/* The log time, in ms, when queue_due becomes true: at the earliest, the job's acceptance plus its delay. */
int64_t queue_due_ms(const Job *job, uint64_t occurrence, QueueClock clock);
/* The kind of worker that the step requires: its own, otherwise its queue's; empty: any. */
const char *queue_kind(const Job *job, uint64_t step);

/* Returns the policy of a cell, never null. cell is null where the configuration does not have it. */
typedef const Policy *(*QueuePolicy)(void *arg, const ConfigCell *cell);

/* Everything that the order of work depends on, at one moment. */
typedef struct QueueContext {
    const Table *table;
    const Config *config;
    uint64_t config_stamp;  /* differs between different configurations */
    const Map *unconfirmed; /* "cell/tenant" to Resources: attempts that may still run though the table no longer has
                               them; null: none */
    Resources fleet;        /* total capacity of the workers that may be given work */
    QueueClock clock;
    QueuePolicy policy;
    void *arg;                                /* passed to policy */
    bool without_targets, without_priorities; /* the built-in policy ignores latency targets, or priorities */
} QueueContext;

/* What is cached of jobs between two passes, so that a pass costs little for each job: the job's cell and queue in the
 * configuration, and its chains of work. Invariant: it holds no data that can't be computed again. */
typedef struct Queue Queue;

/* Owned by mem. estimates must outlive it; null: the submitters' estimates are used. */
Queue *queue_new(void *mem, const Estimates *estimates);
/* The data that a policy gets about a task, waiting or running. */
PolicyContext queue_policy_context(Queue *queue, const QueueContext *context, const Job *job, size_t task);

#endif
