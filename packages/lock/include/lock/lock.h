#ifndef LOCK_LOCK_H
#define LOCK_LOCK_H

/* The leader's lock: the master lock of XenServer's HA design. There it is on a shared disk; here it is a lease granted
 * by a majority of the voters. This package contains only the arithmetic, without messages or disk access: what a voter
 * has promised and granted, and how long the holder (the leader) may rely on it. Used by packages/replication; no
 * function here suspends the coroutine or allocates.
 *
 * Why there is at most one holder (safety rule 1 of XenServer's HA design):
 * - The holder counts its lease from when it SENT the request, the voter from when it ANSWERED, which is later. The
 *   holder also relies on less than a voter grants (LOCK_LEASE_MS of LOCK_GRANT_MS, and the same fraction of a shorter
 *   grant), so that clocks may run CLOCK_SLOW_PERCENT slow or fast. Clocks of two processes are never compared.
 * - The holder requests a duration for each grant. A voter grants no less, and never shortens a grant.
 * - A voter promises no term to another node before the lease that it granted has expired.
 * - Each holder needs a majority of the voters, and two majorities share a voter. This also holds while voters are
 *   added or removed one at a time: majorities of two lists that differ in one voter share a voter.
 *
 * A holder is identified by the id of its disk, a term by its number (base/term.h). All times are ms on the process's
 * own steady clock. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#define VOTERS_MAX 9     /* maximum number of voters: four disks may be lost at the same time */
#define VOTERS_INITIAL 3 /* number of voters with which one disk may be lost */

/* The number of voters that is a majority (a quorum) of so many voters. */
static inline size_t lock_majority(size_t voters)
{
    return voters / 2 + 1;
}

/* The voter's state: its promise and the lease that it granted. All zero: it has promised nothing.
 * Invariants: promised never decreases while the process runs, and the owner syncs it to disk before it answers any
 * request in that term; lease_until_ms is the end of the lease granted to holder in term promised. */
typedef struct LockVoter {
    uint64_t promised;      /* the highest promised term; 0: none */
    uint64_t holder;        /* the disk that it was promised to; 0: none */
    int64_t lease_until_ms; /* when the granted lease expires */
    uint64_t released;      /* the term whose holder released its lease; a late request does not renew it */
    int64_t not_before_ms;  /* after a restart, a lease granted before it may still be valid: nothing is promised before
                               this time, except to holder if promise_certain */
    bool promise_certain;   /* promised and holder are certainly the newest ones */
} LockVoter;

/* Whether the term may be promised to the holder now; changes nothing. OLD_TERM: the term is not higher than the
 * promised one; RESTARTED: the voter restarted less than a lease ago; OTHER_HOLDER: a lease granted to another node is
 * still valid. */
Status lock_may_promise(const LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* Records a promise: one that lock_may_promise allowed, one implied by a request of the leader of a higher term, or one
 * read from disk. term must not be lower than promised. */
void lock_promise(LockVoter *voter, uint64_t term, uint64_t holder);
/* Grants a lease of grant_ms from now (at most LOCK_GRANT_MS, which is also used if grant_ms is not positive), or
 * renews a valid one, which is never shortened. OLD_TERM (not the promised term, or a released one) and OTHER_HOLDER:
 * nothing was changed. */
Status lock_renew(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms, int64_t grant_ms);
/* Releases the lease, so that another node need not wait until it expires. A request of another holder or term changes
 * nothing. */
void lock_release(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* Whether a lease that this voter granted is still valid. */
bool lock_held(const LockVoter *voter, int64_t now_ms);

/* The holder's state: how long it may rely on the voters' grants.
 * Invariants: until_ms[i] is the end of the lease granted by the voter at slot i, as the holder counts it; INT64_MIN if
 * that voter has granted none in this term or the slot is vacant. It never decreases between two calls of
 * lock_lease_clear. voters is the number of slots in use, at most VOTERS_MAX; the owner sets it. */
typedef struct LockLease {
    size_t voters;
    int64_t until_ms[VOTERS_MAX];
} LockLease;

/* Drops all grants, because of a new term or because the lock was lost. */
void lock_lease_clear(LockLease *lease);
/* The part of a grant that the holder may rely on, in ms. */
int64_t lock_lease_ms(int64_t grant_ms);
/* Records that the voter at the slot granted the request for grant_ms that was sent at sent_ms. Grants may be recorded
 * in any order. */
void lock_lease_granted(LockLease *lease, int voter, int64_t sent_ms, int64_t grant_ms);
/* Until when the grants of a majority last, each counted as lock_lease_ms from sending; INT64_MIN: no majority has
 * granted. */
int64_t lock_lease_until(const LockLease *lease);

#endif
