#ifndef LOCK_LOCK_H
#define LOCK_LOCK_H

/* The leader's lock: the master lock of the paper (XenServer HA design), which is on a shared disk there and
 * here is a lease granted by a majority of the voters. This package is its arithmetic only, without messages or
 * disk: what a voter has promised and granted, and how long the holder (the leader) may rely on it. Used by
 * packages/replication; nothing here waits or allocates.
 *
 * Why there is at most one holder (the paper's safety rule 1):
 * - A lease counts for its holder from when the holder SENT the request, for the voter from when it
 *   ANSWERED, which is later. The holder also relies on less than a voter grants (LOCK_LEASE_MS of
 *   LOCK_GRANT_MS, and the same part of a shorter grant), so that clocks may be CLOCK_SLOW_PERCENT slow or fast.
 *   Clocks of two processes are never compared.
 * - The holder says in each request how long a grant it wants. A voter grants no less, and never takes back what
 *   it has granted.
 * - A voter promises nothing to another while a lease that it granted runs.
 * - Both holders need a majority of the voters, and two majorities share a voter. They do so too
 *   while voters are added or removed one at a time: two majorities of lists that differ in one
 *   voter share one.
 *
 * A holder is identified by the id of its disk, a term by its number (base/term.h). All times are ms on the
 * process's own steady clock. */

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
    int64_t lease_until_ms; /* when the granted lease ends */
    uint64_t released;      /* the term whose holder gave its lease back: a late request does not renew it */
    int64_t not_before_ms;  /* after a restart: a lease granted before it may still run, so nothing is promised before
                               this ... */
    bool promise_certain;   /* ... except to holder, when promised and holder are certainly the last ones */
} LockVoter;

/* Whether the term may be promised to the holder now; changes nothing. OK, OLD_TERM (not above
 * what was promised), RESTARTED (the voter restarted less than a lease ago), OTHER_HOLDER (a lease
 * granted to another runs). */
Status lock_may_promise(const LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* Records a promise: one that lock_may_promise allowed, that the leader of a higher term shows to
 * exist, or that was read from the disk. term is never below promised. */
void lock_promise(LockVoter *voter, uint64_t term, uint64_t holder);
/* Grants a lease of grant_ms from now (LOCK_GRANT_MS at most, and where it is not above 0), or renews the one that
 * runs, which it never shortens. OLD_TERM (not the promised term, or one that was released) and OTHER_HOLDER change
 * nothing. */
Status lock_renew(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms, int64_t grant_ms);
/* The holder gives its lease back: another need not wait for its end. A request of another
 * holder or term changes nothing. */
void lock_release(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
/* Whether a lease that this voter granted runs. */
bool lock_held(const LockVoter *voter, int64_t now_ms);

/* The holder's part: how long it may rely on what the voters granted.
 * Invariants: until_ms[i] is the end of the lease that the voter at slot i granted, as the holder counts it;
 * INT64_MIN while it has granted none under this term, or nobody has the slot. Between two
 * lock_lease_clear it never falls. voters, the number of slots in use, is at most VOTER_MOST; the
 * owner sets it. */
typedef struct LockLease {
    size_t voters;
    int64_t until_ms[VOTER_MOST];
} LockLease;

/* Forgets all grants: a new term, or a lock that was lost. */
void lock_lease_clear(LockLease *lease);
/* What the holder relies on, in ms, of a grant. */
int64_t lock_lease_ms(int64_t grant_ms);
/* The voter at the slot granted the request for grant_ms that was sent at sent_ms; grants may come in any order. */
void lock_lease_granted(LockLease *lease, int voter, int64_t sent_ms, int64_t grant_ms);
/* Until when a majority's grants last (lock_lease_ms from sending); INT64_MIN: no majority has granted. */
int64_t lock_lease_until(const LockLease *lease);

#endif
