#ifndef HEARTBEAT_LEASE_H
#define HEARTBEAT_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* An agent's claim to run work, on the agent's own clock.
 * Invariant: until_ms is the sending time of some answered heartbeat plus the lease it
 * was answered with, so it lapses before the leader's count of it does. */
typedef struct Lease {
    uint64_t term; /* the highest seen; orders of older ones are refused */
    int64_t until_ms;
} Lease;

/* False: an answer of an older term, which counts for nothing. */
bool lease_answered(Lease *lease, uint64_t term, int64_t sent_ms, int64_t lease_ms);
bool lease_runs(const Lease *lease, int64_t now_ms);
int64_t lease_left_ms(const Lease *lease, int64_t now_ms);
/* How long whoever grants a lease must take it to run, by the own clock: the
 * holder's may be slow, and timers are coarse. */
int64_t lease_claim_ms(int64_t lease_ms);
/* What of a lease is passed on, so that it has ended on a slow clock when the whole
 * has on the own. */
int64_t lease_passed_ms(int64_t lease_ms);

#endif
