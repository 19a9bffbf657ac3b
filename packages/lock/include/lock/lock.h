#ifndef LOCK_LOCK_H
#define LOCK_LOCK_H

/* The leader's lock: the paper's master lock, which stands on a shared disk there and here on a
 * majority of the voters. This is its arithmetic alone, without messages or disk: what a voter has
 * promised and granted, and how long a holder may count on what it was granted. packages/replication
 * uses it; nothing here waits or allocates.
 *
 * Why there is at most one holder (the paper's safety rule 1):
 * - A lease is counted by its holder from when it SENT the request, by the voter from when it
 *   ANSWERED, which is later. The holder also counts on less than a voter grants, by so much that
 *   clocks may run CLOCK_SLOW_PERCENT apart. Clocks of two processes are never compared.
 * - A voter promises nothing to another while a lease that it granted runs.
 * - Both holders need a majority of the voters, and two majorities share a voter. They do so too
 *   while voters are added or removed one at a time: two majorities of lists that differ in one
 *   voter share one.
 *
 * Terms: a holder is named by its disk's id; term is the term it holds the lock under. All times
 * are ms on the own process's steady clock. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#define VOTER_MOST 9  /* count; voters, so that four disks may be lost at once */
#define VOTER_FIRST 3 /* count; voters where one disk may be lost */

/* How many of so many voters are a majority (a quorum). */
static inline size_t lock_majority(size_t voters)
{
    return voters / 2 + 1;
}

/* A voter's part: its promise, and the lease it granted. Zeroed: it has promised nothing.
 * Invariants: promised never falls while the process lives, and its owner syncs it to disk before
 * it answers under it; lease_until_ms is the lease of holder under promised. */
typedef struct LockVoter {
    uint64_t promised;      /* the highest term promised; 0: none */
    uint64_t holder;        /* to whom; 0: to nobody */
    int64_t lease_until_ms; /* the lease granted ends then */
    uint64_t released;      /* term whose holder gave its lease back: no late message renews it */
    int64_t not_before_ms;  /* restarted: a lease that it forgot may run, so nothing is promised before ... */
    bool promise_certain;   /* ... but promised and holder are certainly the last: holder alone may be promised */
} LockVoter;

/* Whether the term may be promised to the holder now; changes nothing. OK, OLD_TERM (not above
 * what was promised), RESTARTED (the voter restarted less than a lease ago), OTHER_HOLDER (a lease
 * granted to another runs). */
Status lock_may_promise(const LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* Records a promise: one that lock_may_promise allowed, that the leader of a higher term shows to
 * exist, or that was read from the disk. term is never below promised. */
void lock_promise(LockVoter *voter, uint64_t term, uint64_t holder);
/* Grants a lease of LOCK_GRANT_MS from now, or lets the one that runs go on. OLD_TERM (not the
 * promised term, or one that was released) and OTHER_HOLDER change nothing. */
Status lock_renew(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* The holder gives its lease back: another need not wait for its end. A request of another
 * holder or term changes nothing. */
void lock_release(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* Whether a lease that this voter granted runs. */
bool lock_held(const LockVoter *voter, int64_t now_ms);

/* The holder's part: when it sent the requests by which the voters granted it the lease.
 * Invariants: sent_ms[i] is when the newest request that the voter at slot i granted was sent;
 * INT64_MIN while it has granted none under this term, or nobody has the slot. Between two
 * lock_lease_clear it never falls. voters, the number of slots in use, is at most VOTER_MOST; the
 * owner sets it. */
typedef struct LockLease {
    size_t voters;
    int64_t sent_ms[VOTER_MOST];
} LockLease;

/* Forgets all grants: a new term, or a lock that was lost. */
void lock_lease_clear(LockLease *lease);
/* The voter at the slot granted the request that was sent at sent_ms; grants may come in any order. */
void lock_lease_answered(LockLease *lease, int voter, int64_t sent_ms);
/* Until when the lease of a majority runs (LOCK_LEASE_MS from sending); INT64_MIN: it is not held. */
int64_t lock_lease_until(const LockLease *lease);

#endif
