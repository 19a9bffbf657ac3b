#ifndef AGENT_SRC_ATTEMPT_H
#define AGENT_SRC_ATTEMPT_H

#include "heartbeat/messages.h"
#include "loop/loop.h"

/* The way of one attempt on this worker. */
#define ATTEMPT_PHASE_LIST(X)                                             \
    X(OFFERED)  /* ordered by the leader, not given to the worker yet */  \
    X(SENT)     /* given in an answer; the worker has not spoken of it */ \
    X(RUNNING)  /* the worker runs it */                                  \
    X(STOPPING) /* the worker is told to stop it with each answer */      \
    X(ENDED)    /* over; the leader does not know it yet */               \
    X(KNOWN)    /* over, and committed: kept for repair and against old orders */
typedef enum AttemptPhase {
#define X(name) PHASE_##name,
    ATTEMPT_PHASE_LIST(X)
#undef X
} AttemptPhase;

struct AttemptChain;

/* Invariants: of one (job, task) at most one attempt is in a phase before ENDED;
 * phases only go forward, but for SENT back to OFFERED when the worker has
 * asked again without speaking of it, and KNOWN back to ENDED when the leader has
 * forgotten the end or the worker has a weightier word on it. */
typedef struct Attempt {
    struct Attempt *prev, *next;
    struct AttemptChain *chain; /* of its phase: lives, ended or known */
    Order order;                /* payload is empty for an adopted round, and once it is over */
    uint64_t term;
    AttemptPhase phase;
    int64_t timeout_ms; /* not started after this */
    int64_t changed_ms;
    int64_t given_ms;    /* given to the worker then; 0: not by this agent */
    int64_t runs_ms;     /* it runs, since then; 0: that is not known */
    const char *saved;   /* how far it has come, by the worker's last word */
    uint64_t saved_turn; /* grows with each such word */
    uint64_t percent;    /* of its work, as the worker last reported it ... */
    int64_t percent_ms;  /* ... when it had run so long */
    int64_t pace_ms;     /* that is told anew once it has run so long */
    uint64_t told_turn;  /* the last one that the leader of the present term has */
    uint64_t word;       /* ENDED, KNOWN: what it came to */
    bool guessed;        /* ... by the agent's own judgement, not by the worker's word */
    int64_t ran_ms;      /* ... and how long it ran */
    const char *text;
} Attempt;

typedef struct AttemptChain {
    Attempt *first, *last;
    size_t count;
} AttemptChain;

/* All attempts of an agent. Invariants: by_id holds every one; newest, by job and task,
 * the highest of each; known is in the order in which they became so. */
typedef struct Attempts {
    AttemptChain lives, ended, known;
    Map *by_id, *newest;
} Attempts;

#endif
