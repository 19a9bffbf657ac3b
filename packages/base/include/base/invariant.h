#ifndef BASE_INVARIANT_H
#define BASE_INVARIANT_H

#include <stdbool.h>

/* Invariants of the replicated state that are checked in every build: terms, votes, the log, leases, counts. A process
 * that breaks one stops before it can answer by a wrong state; it is started again and reads its disk. Only what is
 * cheap and certainly true is checked so (docs/design.md, "Checks in the installed program"); assert() remains for the
 * rest. */

/* X(name, word, what holds). A word never changes its meaning: operators search for it. */
#define INVARIANT_LIST(X)                                                                           \
    X(PROMISE_RISES, "promise-rises", "a promised term is never below the last one")                \
    X(VOTER_PLACES, "voter-places", "a voter's place is within the list of voters")                 \
    X(LEASE_CLAIM, "lease-claim", "a lease ends at its holder before it ends at who granted it")    \
    X(LOG_ORDER, "log-order", "entries of the log follow each other by one, and terms never fall")  \
    X(COMMIT_IN_LOG, "commit-in-log", "what is committed is in the log")                            \
    X(DELIVER_COMMITTED, "deliver-committed", "only what is committed is delivered")                \
    X(STATE_LOADS, "state-loads", "a state that was saved or loaded here can be loaded again")      \
    X(LEADS_COMMITTED, "leads-committed", "a leader has committed the first entry of its term")     \
    X(INCARNATION_RISES, "incarnation-rises", "a member's incarnation is never below the last one") \
    X(ENDED_STAYS, "ended-stays", "a task that has ended stays as it ended")                        \
    X(TASK_COUNTS, "task-counts", "counts of waiting and of undone tasks are those of the tasks")   \
    X(WORKER_COUNTS, "worker-counts", "what is in use on a worker is what the tasks on it need")

typedef enum Invariant {
#define X(name, word, what) INVARIANT_##name,
    INVARIANT_LIST(X)
#undef X
        INVARIANT_COUNT
} Invariant;

/* The invariant's word, as it is logged. */
const char *invariant_word(Invariant invariant);
/* Writes the invariant and the place to standard error, and ends the process with SIGABRT. */
_Noreturn void invariant_broken(Invariant invariant, const char *file, int line);

/* Stops the process when the condition, by which the invariant is checked here, does not hold. */
#define INVARIANT(name, condition)                                  \
    do {                                                            \
        if (__builtin_expect(!(condition), false))                  \
            invariant_broken(INVARIANT_##name, __FILE__, __LINE__); \
    } while (false)

#endif
