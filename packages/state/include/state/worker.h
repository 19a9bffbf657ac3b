#ifndef STATE_WORKER_H
#define STATE_WORKER_H

#include "state/job.h"

/* What is known of a worker for good: what it is, not how it does. Invariant:
 * excluded is set by a clean departure and cleared by the worker's return. */
#define WORKER_FIELDS(X) \
    X(TXT, name, 0)      \
    X(TXT, zone, 0)      \
    X(TXT, rack, 0)      \
    X(TXT, kind, 0)      \
    X(TXS, labels, 0)    \
    X(ONE, room, Room)   \
    X(FLAG, excluded, 0)
SHAPE(Worker, WORKER_FIELDS)

/* What an attempt came to, told by an agent. */
#define ATTEMPT_WORD_LIST(X)                                                  \
    X(RUNNING, "running")                                                     \
    X(DONE, "done")                                                           \
    X(FAILED, "failed")                                                       \
    X(STOPPED, "stopped") /* it runs no more because it was told to stop */   \
    X(REFUSED, "refused") /* never started: expired, no room, unknown kind */ \
    X(LOST, "lost")       /* it runs no more: the worker lost it */           \
    X(LAPSED, "lapsed")   /* ... its lease was over */                        \
    X(BROKEN, "broken")   /* ... another member of its gang ended */          \
    X(ALONE, "alone")     /* ... it waited too long for the others of its gang */
typedef enum AttemptWord {
#define X(name, word) ATTEMPT_##name,
    ATTEMPT_WORD_LIST(X)
#undef X
        ATTEMPT_WORD_COUNT
} AttemptWord;

const char *attempt_word(uint64_t word);
AttemptWord attempt_of_word(const char *word);

#define ATTEMPT_NEWS_FIELDS(X)                                                         \
    X(TXT, job, 0)                                                                     \
    X(U64, task, 0)                                                                    \
    X(U64, attempt, 0)                                                                 \
    X(TXT, worker, 0)                                                                  \
    X(U64, word, 0)                                                                    \
    X(TXT, text, 0)                                                                    \
    X(TXT, saved, 0)          /* how far it had come; empty: nothing is kept */        \
    X(I64, ran_ms, 0)         /* for how long its agent knew it to run; 0: not told */ \
    X(RAM, percent, uint64_t) /* of its work, as the worker reports it; 0: not told */
SHAPE(AttemptNews, ATTEMPT_NEWS_FIELDS)

#endif
