#ifndef BASE_INVARIANT_H
#define BASE_INVARIANT_H

#include <stdbool.h>

/* Invariants of the replicated state that are checked in every build: terms, votes, the log, leases and counts. A
 * process that violates one aborts before it can respond with a wrong state; it is restarted and reads its disk. Only
 * conditions that are cheap and certainly true are checked in this way (docs/design.md, "Checks in the installed
 * program"); assert() is used for the rest. */

/* X(name, word, condition). The meaning of a word never changes, since operators search for it. */
#define INVARIANT_LIST(X)                                                                                         \
    X(PROMISE_RISES, "promise-rises", "a promised term is never below the previous one")                          \
    X(VOTER_PLACES, "voter-places", "a voter's position is within the list of voters")                            \
    X(LEASE_CLAIM, "lease-claim", "a lease expires at its holder before it expires at the voter that granted it") \
    X(LOG_ORDER, "log-order", "indexes of log entries are consecutive, and terms never decrease")                 \
    X(COMMIT_IN_LOG, "commit-in-log", "every committed entry is in the log")                                      \
    X(DELIVER_COMMITTED, "deliver-committed", "only committed entries are delivered")                             \
    X(STATE_LOADS, "state-loads", "a state that was saved or loaded in this process can be loaded again")         \
    X(LEADS_COMMITTED, "leads-committed", "a leader has committed the first entry of its term")                   \
    X(INCARNATION_RISES, "incarnation-rises", "a member's incarnation is never below the previous one")           \
    X(ENDED_STAYS, "ended-stays", "the outcome of an ended task never changes")                                   \
    X(TASK_COUNTS, "task-counts", "the counts of waiting and of unfinished tasks match the tasks")                \
    X(WORKER_COUNTS, "worker-counts", "the capacity in use on a worker equals the needs of its tasks")

typedef enum Invariant {
#define X(name, word, what) INVARIANT_##name,
    INVARIANT_LIST(X)
#undef X
        INVARIANT_COUNT
} Invariant;

/* Returns the invariant's word, as it is logged; "unlisted" for an unknown number. */
const char *invariant_word(Invariant invariant);
/* Writes the invariant and the source location to standard error, and aborts the process with SIGABRT. */
_Noreturn void invariant_broken(Invariant invariant, const char *file, int line);

/* Aborts the process when the condition is false; name is the invariant that the condition checks. */
#define INVARIANT(name, condition)                                  \
    do {                                                            \
        if (__builtin_expect(!(condition), false))                  \
            invariant_broken(INVARIANT_##name, __FILE__, __LINE__); \
    } while (false)

#endif
