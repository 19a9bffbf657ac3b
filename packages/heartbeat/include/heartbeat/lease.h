#ifndef HEARTBEAT_LEASE_H
#define HEARTBEAT_LEASE_H

/* A worker's lease, which replaces the watchdog of XenServer's HA design: the agent's worker may run work only while
 * the lease is valid. The leader grants the lease to the agent, and the agent delegates a part of it to its worker. At
 * each of the two steps the grantee counts from when it SENT its heartbeat, and the grantor from when it ANSWERED and
 * with an allowance for a clock that is CLOCK_SLOW_PERCENT slow. The worker's lease therefore ends before the agent's,
 * and the agent's before the leader considers it expired: work is restarted elsewhere only when it runs nowhere (safety
 * rule 2 of XenServer's HA design).
 *
 * Used by the agent (its own lease, and the part for the worker) and by the leader (how long it must assume that a
 * lease is valid). Times are ms on the process's own steady clock; no function here suspends the coroutine or
 * allocates. */

#include <stdbool.h>
#include <stdint.h>

/* The lease of an agent. All zero: none.
 * Invariants: term and until_ms never decrease; until_ms is the time at which some answered heartbeat was sent plus the
 * duration that its answer granted. (Under survival rule 2 the agent extends the lease itself, see
 * packages/agent/src/isolated.c.) */
typedef struct Lease {
    uint64_t term;    /* the highest known term; orders of a lower term are refused */
    int64_t until_ms; /* the lease is valid before this time */
} Lease;

/* Processes the answer to the heartbeat that was sent at sent_ms, which grants lease_ms from that time on. Returns
 * false, and changes nothing, if the answer is of a lower term than an earlier one. */
bool lease_renewed(Lease *lease, uint64_t term, int64_t sent_ms, int64_t lease_ms);
/* Whether the lease is valid. */
bool lease_runs(const Lease *lease, int64_t now_ms);
/* The remaining duration of the lease, in ms; 0: it has expired. */
int64_t lease_left_ms(const Lease *lease, int64_t now_ms);
/* How long, in ms of its own clock, the grantor of a lease of lease_ms must assume that it is valid, since the
 * grantee's clock may be slow and its timers are coarse (LEASE_SLACK_MS). Always more than lease_ms. */
int64_t lease_claim_ms(int64_t lease_ms);
/* How much, in ms, of a lease that is valid for another lease_ms may be delegated, so that the delegated part ends on a
 * slow clock before the entire lease ends on this process's clock. */
int64_t lease_delegated_ms(int64_t lease_ms);

#endif
