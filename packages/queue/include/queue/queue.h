#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

/* The queues of waiting work: why a task waits, when it is due, and what is remembered from
 * one pass of the scheduler to the next. The leader's scheduler (packages/scheduler) uses it; the API shows
 * the reasons. Nothing here waits or changes the state. */

#include "base/map.h"
#include "config/config.h"
#include "policy/policy.h"
#include "queue/latency_target.h"

/* Why a task waits, and the API's word for it. */
#define WAIT_LIST(X)                                                  \
    X(READY, "room")   /* it could start: only capacity is missing */ \
    X(STEPS, "steps")  /* earlier steps are not done */               \
    X(DUE, "due-time") /* its due time has not come */                \
    X(REST, "rest")    /* it failed and rests */                      \
    X(QUOTA, "quota")  /* its tenant's quota leaves too little */     \
    X(GANG, "gang")    /* other members are still being stopped */
typedef enum WaitReason {
#define X(name, word) WAIT_##name,
    WAIT_LIST(X)
#undef X
} WaitReason;

const char *wait_word(WaitReason reason);

typedef struct QueueClock {
    int64_t log_ms;  /* ms; the log's time */
    int64_t wall_ms; /* ms; the median of the voters' wall clocks */
} QueueClock;

/* What the quota of the job's tenant leaves of each resource, by what the table has on workers; UINT64_MAX: without
 * bound. */
Resources quota_left(const Table *table, const Config *config, const Job *job);
/* Why a waiting task does not start now; left: what the quota leaves. */
WaitReason queue_wait(const Job *job, size_t task, QueueClock clock, Resources left);
/* Whether the due time of that occurrence of the job (0 where it is not timed) and the job's delay have passed. */
bool queue_due(const Job *job, uint64_t occurrence, QueueClock clock);
/* The log time, in ms, when that is so; what is due at once is due at the job's acceptance. */
int64_t queue_due_ms(const Job *job, uint64_t occurrence, QueueClock clock);
/* The kind of worker that the step needs, its own or else its queue's; empty: any. */
const char *queue_kind(const Job *job, uint64_t step);

/* The policy of a cell, never null; cell is null where the configuration has none. */
typedef const Policy *(*QueuePolicy)(void *arg, const ConfigCell *cell);

/* All that the order of work depends on, at one moment. */
typedef struct QueueContext {
    const Table *table;
    const Config *config;
    uint64_t config_stamp;  /* differs with each other config */
    const Map *unconfirmed; /* "cell/tenant" to the Resources of attempts that may still run though the table has them
                               no more; null: none */
    Resources fleet;        /* capacity of all workers that may be given work */
    QueueClock clock;
    QueuePolicy policy;
    void *arg;                      /* policy's */
    bool no_targets, no_priorities; /* have no part in the built-in policy's order */
} QueueContext;

/* What is remembered of jobs between two passes, so that a pass costs little for each:
 * where the configuration has them, and their chains of work.
 * Invariant: nothing in it is the only copy; dropped as a whole, it is computed again. */
typedef struct Queue Queue;

/* Owned by mem. estimates (may be null: the submitters' estimates count) must outlive it. */
Queue *queue_new(void *mem, const Estimates *estimates);
/* What a policy is given of a task, waiting or running. */
PolicyContext queue_policy_context(Queue *queue, const QueueContext *context, const Job *job, size_t task);

#endif
