#ifndef HEARTBEAT_LEASE_H
#define HEARTBEAT_LEASE_H

/* A worker's lease, in the place of the paper's watchdog: while it runs, and no longer, the agent's
 * worker may run work. The leader grants it to the agent, the agent passes a part on to its worker;
 * at each of the two steps the grantee counts from when it SENT its heartbeat and the grantor from
 * when it ANSWERED, and allows for a clock that is CLOCK_SLOW_PERCENT slow. So the worker's lease
 * ends before the agent's, and the agent's before the leader's count of it: work is restarted
 * elsewhere only when it runs nowhere (the paper's safety rule 2).
 *
 * Used by the agent (its own lease, the part for the worker) and the leader (its claim). Times are
 * ms on the own process's steady clock; nothing here waits or allocates. */

#include <stdbool.h>
#include <stdint.h>

/* The lease that an agent has. Zeroed: none.
 * Invariants: term and until_ms never fall; until_ms is when some answered heartbeat was sent plus
 * the length that its answer granted. (Under survival rule 2 the agent itself lets it run on, see
 * packages/agent/src/isolated.c.) */
typedef struct Lease {
    uint64_t term;    /* the highest term seen; orders of a lower one are refused */
    int64_t until_ms; /* the lease runs before this */
} Lease;

/* Takes the answer to the heartbeat that was sent at sent_ms, which grants lease_ms from then on.
 * False: it is of a lower term than one seen before, and changes nothing. */
bool lease_answered(Lease *lease, uint64_t term, int64_t sent_ms, int64_t lease_ms);
/* Whether the lease runs. */
bool lease_runs(const Lease *lease, int64_t now_ms);
/* How long it still runs, ms; 0: it has lapsed. */
int64_t lease_left_ms(const Lease *lease, int64_t now_ms);
/* How long, by its own clock, the grantor of a lease of lease_ms has to assume that it runs: the grantee's
 * clock may be slow, and its timers are coarse (LEASE_SLACK_MS). Always more than lease_ms. */
int64_t lease_claim_ms(int64_t lease_ms);
/* How much of a lease that runs for lease_ms more may be passed on, so that it ends on a slow clock
 * before the whole does on the own one. */
int64_t lease_passed_ms(int64_t lease_ms);

#endif
