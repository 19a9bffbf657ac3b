#ifndef AGENT_SRC_ROUND_H
#define AGENT_SRC_ROUND_H

#include "beat/messages.h"
#include "loop/loop.h"

/* The way of one round on this worker. */
#define ROUND_PHASE_LIST(X)                                              \
    X(OFFERED)  /* ordered by the leader, not given to the worker yet */   \
    X(SENT)     /* given in an answer; the worker has not spoken of it */  \
    X(RUNNING)  /* the worker runs it */                                   \
    X(STOPPING) /* the worker is told to stop it with each answer */       \
    X(ENDED)    /* over; the leader does not know it yet */                \
    X(KNOWN)    /* over, and committed: kept for repair and against old orders */
typedef enum RoundPhase {
#define X(name) PHASE_##name,
    ROUND_PHASE_LIST(X)
#undef X
} RoundPhase;

/* Invariants: of one (job, task) at most one round is in a phase before ENDED;
 * phases only go forward, but for SENT back to OFFERED when the worker has
 * asked again without speaking of it. */
typedef struct Round {
    struct Round *next;
    Order order; /* payload is empty for an adopted round */
    uint64_t epoch;
    RoundPhase phase;
    int64_t expiryMs;   /* not started after this */
    int64_t changedMs;
    bool runningUntold; /* the leader is to be told that it runs */
    bool workerKnows;   /* the worker has been told that its end is known */
    uint64_t word;      /* ENDED, KNOWN: what it came to */
    const char *text;
} Round;

#endif
