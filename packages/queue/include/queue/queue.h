#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

#include "config/config.h"
#include "policy/policy.h"
#include "queue/latency_target.h"

/* Why a task waits, for those who ask. */
#define WAIT_LIST(X)                                              \
    X(READY, "room")   /* it could start: only room is missing */ \
    X(STEPS, "steps")  /* earlier steps are not done */           \
    X(DUE, "due-time") /* its due time has not come */            \
    X(REST, "rest")    /* it failed and rests */                  \
    X(GANG, "gang")    /* other members are still being stopped */
typedef enum WaitReason {
#define X(name, word) WAIT_##name,
    WAIT_LIST(X)
#undef X
} WaitReason;

const char *wait_word(WaitReason reason);

typedef struct QueueClock {
    int64_t log_ms;  /* the log's time */
    int64_t wall_ms; /* the median of the voters' wall clocks */
} QueueClock;

/* Why a waiting task does not start now. */
WaitReason queue_wait(const Job *job, size_t task, QueueClock clock);
/* Whether the turn's time has come. */
bool queue_due(const Job *job, uint64_t turn, QueueClock clock);
/* The log time of that; of what is due at once, of the job's acceptance. */
int64_t queue_due_ms(const Job *job, uint64_t turn, QueueClock clock);
/* The kind of worker that the step needs; empty: any. */
const char *queue_kind(const Job *job, uint64_t step);

/* Finds the policy of a cell. */
typedef const Policy *(*QueuePolicy)(void *arg, const ConfigCell *cell);

/* One moment of all that decides on an order. */
typedef struct QueueSight {
    const Table *table;
    const Config *config;
    uint64_t config_stamp; /* another with each other config */
    Room fleet;            /* of all workers that may be given work */
    QueueClock clock;
    QueuePolicy policy;
    void *arg;
} QueueSight;

/* What is remembered of jobs between two looks, so that a look costs little for each:
 * where the configuration has them, and their chains of work.
 * Invariant: nothing in it is the only copy; dropped whole, it is found again. */
typedef struct Queue Queue;

/* estimates may be null. */
Queue *queue_new(void *mem, const Estimates *estimates);
/* What a policy sees of a task. */
PolicySight queue_see(Queue *queue, const QueueSight *sight, const Job *job, size_t task);

#endif
