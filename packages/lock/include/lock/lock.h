#ifndef LOCK_LOCK_H
#define LOCK_LOCK_H

#include "base/status.h"
#include "loop/loop.h"

/* The lock, in the two halves that never meet in one process's memory: what a
 * voter has granted, and what the holder may count on. All spans are on the
 * process's own clock; the two halves are never compared. The holder counts on a
 * little less than a voter grants, so that clocks may run apart.
 *
 * Why at most one holder: a holder counts its lease from when it SENT the
 * question, a voter from when it ANSWERED, which is later. A holder needs the
 * holds of a majority of the voters; another needs promises of a majority, and a
 * voter promises nothing while a lease it granted runs. The two sets share a voter;
 * so they do while voters are added or removed one at a time, for any two
 * majorities of lists that differ in one voter share one. */

#define VOTER_MOST 9  /* count; four disks may be lost at once */
#define VOTER_FIRST 3 /* count; voters where one disk may be lost */

/* So many of the voters decide. */
static inline size_t lock_majority(size_t voters)
{
    return voters / 2 + 1;
}

/* A voter's half.
 * Invariants: promised never falls while the process lives, and is synced
 * before it is answered; lease_until_ms is the lease of holder under promised. */
typedef struct LockVoter {
    uint64_t promised;
    uint64_t holder; /* disk id */
    int64_t lease_until_ms;
    uint64_t released;     /* term: given back by its holder, so that nothing late renews it */
    int64_t not_before_ms; /* woken: what was granted may be forgotten, so nothing is promised before this ... */
    bool sure;             /* ... but promised and holder are known to be the last: only holder may hold anything */
} LockVoter;

/* Whether term may be promised to holder now. */
Status lock_may_promise(const LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
void lock_promise(LockVoter *voter, uint64_t term, uint64_t holder);
/* Lets the lease run on from now; OLD_TERM or OTHER_HOLDER when it is not the promised one. */
Status lock_renew(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
void lock_release(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms);
bool lock_held(const LockVoter *voter, int64_t now_ms);

/* The holder's half.
 * Invariants: sent_ms[i] is when the last question that the voter at place i answered
 * well was sent, INT64_MIN when there is none under this term or nobody has the
 * place; voters is the number of places that somebody has. */
typedef struct LockLease {
    size_t voters;
    int64_t sent_ms[VOTER_MOST];
} LockLease;

void lock_lease_clear(LockLease *lease);
void lock_lease_answered(LockLease *lease, int voter, int64_t sent_ms);
/* Until when a majority's holds run; INT64_MIN: not held. */
int64_t lock_lease_until(const LockLease *lease);

#endif
