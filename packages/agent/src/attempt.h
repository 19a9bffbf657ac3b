#ifndef AGENT_SRC_ATTEMPT_H
#define AGENT_SRC_ATTEMPT_H

/* An attempt as the agent knows it, and the table of all attempts. */

#include "base/map.h"
#include "heartbeat/messages.h"
#include "loop/loop.h"

/* The phases of an attempt on this worker, in order. */
#define ATTEMPT_PHASE_LIST(X)                                                 \
    X(ORDERED)   /* Ordered by the leader, not given to the worker yet */     \
    X(SENT)      /* Given to the worker, which has not reported it yet */     \
    X(RUNNING)   /* Running on the worker */                                  \
    X(STOPPING)  /* To be stopped: each answer lists it */                    \
    X(ENDED)     /* Ended; the leader has not committed the end yet */        \
    X(COMMITTED) /* The leader has committed the end: the attempt is kept for \
                    repair and to recognize old orders */
typedef enum AttemptPhase {
#define X(name) PHASE_##name,
    ATTEMPT_PHASE_LIST(X)
#undef X
} AttemptPhase;

struct AttemptChain;

/* An attempt on this worker. Invariants: at most one attempt of a task is in a phase before ENDED. Phases only advance,
 * with two exceptions: from SENT back to ORDERED when the worker reports again without listing the attempt, and from
 * COMMITTED back to ENDED when the leader has forgotten the end or the worker reports one that takes precedence. */
typedef struct Attempt {
    struct Attempt *prev, *next;
    struct AttemptChain *chain; /* The chain of its phase: live, ended or committed */
    Order order;                /* The payload is empty for an adopted attempt and after the end */
    uint64_t term;              /* The term in which it was ordered */
    AttemptPhase phase;
    int64_t timeout_ms; /* Deadline: it must not be started after this time */
    int64_t changed_ms;
    int64_t given_ms;          /* When it was given to the worker; 0: not by this agent process */
    int64_t running_since_ms;  /* When it started to run; 0: not known */
    uint64_t listed_in;        /* Number of the last report that listed it as running; 0: none did */
    const char *saved;         /* Its checkpoint, as last reported */
    uint64_t progress_version; /* Grows with each change of saved or percent that the leader must learn */
    uint64_t percent;          /* Percentage of its work that is done, as last reported */
    int64_t percent_ms;        /* Run time at that report, in ms */
    int64_t progress_due_ms;   /* Run time at which the progress is reported again, in ms */
    uint64_t leader_version;   /* The progress_version that the leader of agent->saved_term has */
    uint64_t word;             /* ENDED, COMMITTED: its result (AttemptStatus) */
    bool inferred;             /* The agent inferred the result; the worker did not report it */
    int64_t ran_ms;            /* How long it ran, in ms */
    const char *text;
} Attempt;

/* A doubly linked list of attempts. */
typedef struct AttemptChain {
    Attempt *first, *last;
    size_t count;
} AttemptChain;

/* All attempts of an agent. Invariants: by_id holds every attempt; newest holds, for each task, the attempt with the
 * highest number; committed is ordered by when the commit of the end became known. */
typedef struct Attempts {
    AttemptChain live, ended, committed;
    Map *by_id, *newest;
} Attempts;

#endif
