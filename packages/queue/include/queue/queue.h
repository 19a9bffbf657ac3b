#ifndef QUEUE_QUEUE_H
#define QUEUE_QUEUE_H

#include "config/config.h"
#include "policy/policy.h"
#include "queue/aim.h"

/* Something to place: one task, or a whole gang. */
typedef struct Candidate {
    const Job *job;
    size_t first; /* index of its first task */
    size_t count; /* 1, or the members of a gang that have not finished */
    bool restart; /* protected work that was lost: goes before all else */
    double rank;     /* by its cell's policy: counts within the cell only */
    int64_t sinceMs; /* log time since when it could have started */
    int64_t slackMs; /* time left before it must be under way; INT64_MAX: it has no aim */
    int64_t guessMs; /* what a task of it should take; 0: not known */
    /* what its tenant, and its cell by its share, will use once this and all
     * before it run: the next room goes to whoever has least */
    uint64_t tenantTurn, cellTurn;
} Candidate;

/* Why a task waits, for those who ask. */
#define WAIT_LIST(X)                                        \
    X(READY, "room")       /* it could start: only room is missing */ \
    X(STEPS, "steps")      /* earlier steps are not done */   \
    X(DUE, "due-time")     /* its due time has not come */    \
    X(REST, "rest")        /* it failed and rests */          \
    X(GANG, "gang")        /* other members are still being stopped */
typedef enum WaitReason {
#define X(name, word) WAIT_##name,
    WAIT_LIST(X)
#undef X
} WaitReason;

const char *waitWord(WaitReason reason);

typedef struct QueueClock {
    int64_t logMs;  /* the log's time */
    int64_t wallMs; /* the median of the seats' wall clocks */
} QueueClock;

/* The index of its nth task: a gang's members that have finished are left out. */
size_t candidateTask(const Candidate *candidate, size_t member);

/* Why a waiting task does not start now. */
WaitReason queueWait(const Job *job, size_t task, QueueClock clock);
/* The tasks of the task's step in its turn: the first, and one after the last. */
void queueStep(const Job *job, size_t task, size_t *first, size_t *end);
/* The kind of worker that the task needs; empty: any. */
const char *queueKind(const Job *job, uint64_t step);

/* Finds the policy of a cell. */
typedef const Policy *(*QueuePolicy)(void *arg, const ConfigCell *cell);

/* What a policy sees of a task; used are the rooms in use by cell and tenant. */
typedef struct QueueUse QueueUse;
QueueUse *queueUse(void *mem, const Table *table, const Config *config, Room fleet);
PolicySight queueSight(const QueueUse *use, const Config *config, const Job *job, size_t task, QueueClock clock);

/* All that could start now, in the order in which it is to be placed: restarts of
 * what has no aim, then cells by what they use of their share; within a cell by
 * its policy's rank, to which the built-in one adds how near the job's aim is;
 * then tenants by what they use, then the order of acceptance. guesses may be
 * null. On mem. nextMs: the log time when more can start by itself, a rest being
 * over or a turn being due; INT64_MAX: never. */
size_t queueBuild(void *mem, const Table *table, const Config *config, const QueueUse *use, QueueClock clock,
                  const Guesses *guesses, QueuePolicy policy, void *arg, Candidate **candidates, int64_t *nextMs);

#endif
