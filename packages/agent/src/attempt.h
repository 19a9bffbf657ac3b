#ifndef AGENT_SRC_ATTEMPT_H
#define AGENT_SRC_ATTEMPT_H

/* One attempt as the agent knows it, and the table of all of them. */

#include "base/map.h"
#include "heartbeat/messages.h"
#include "loop/loop.h"

/* The phases of an attempt on this worker, in order. */
#define ATTEMPT_PHASE_LIST(X)                                                                \
    X(OFFERED)  /* ordered by the leader, not given to the worker yet */                     \
    X(SENT)     /* given in an answer; the worker has not reported it */                     \
    X(RUNNING)  /* the worker runs it */                                                     \
    X(STOPPING) /* each answer tells the worker to stop it */                                \
    X(ENDED)    /* over; the leader has not committed that yet */                            \
    X(KNOWN)    /* over, and the leader has committed that: kept for repair and to recognise \
                   old orders */
typedef enum AttemptPhase {
#define X(name) PHASE_##name,
    ATTEMPT_PHASE_LIST(X)
#undef X
} AttemptPhase;

struct AttemptChain;

/* Invariants: at most one attempt of a task is in a phase before ENDED; phases only advance, except from SENT
 * back to OFFERED when the worker reports again without naming it, and from KNOWN back to ENDED when the leader
 * has forgotten the end or the worker reports one that takes precedence. */
typedef struct Attempt {
    struct Attempt *prev, *next;
    struct AttemptChain *chain; /* of its phase: lives, ended or known */
    Order order;                /* payload is empty for an adopted attempt, and once it is over */
    uint64_t term;              /* the term it was ordered under */
    AttemptPhase phase;
    int64_t timeout_ms; /* it must not be started after this */
    int64_t changed_ms;
    int64_t given_ms;          /* when it was given to the worker; 0: not by this agent process */
    int64_t runs_ms;           /* since when it runs; 0: not known */
    const char *saved;         /* its checkpoint, as last reported */
    uint64_t progress_version; /* grows with each change of saved or percent that the leader is to learn of */
    uint64_t percent;          /* of its work done, as last reported ... */
    int64_t percent_ms;        /* ... after it had run for this long */
    int64_t progress_due_ms;   /* progress is reported again once it has run for this long */
    uint64_t leader_version;   /* the progress_version that the leader of agent->saved_term has */
    uint64_t word;             /* ENDED, KNOWN: its result (AttemptWord) ... */
    bool guessed;              /* ... inferred by the agent, not reported by the worker ... */
    int64_t ran_ms;            /* ... and how long it ran */
    const char *text;
} Attempt;

typedef struct AttemptChain {
    Attempt *first, *last;
    size_t count;
} AttemptChain;

/* All attempts of an agent. Invariants: by_id holds every one; newest holds, for each task, the attempt with the
 * highest number; known is in the order in which the ends became known. */
typedef struct Attempts {
    AttemptChain lives, ended, known;
    Map *by_id, *newest;
} Attempts;

#endif
