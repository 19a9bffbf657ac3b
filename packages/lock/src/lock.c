/* The arithmetic of the leader's lock: promise, grant, renewal and release at a voter, and the end of a majority's
 * lease at the holder. */
#include "lock/lock.h"

#include "base/constants.h"
#include "base/invariant.h"

#define WHOLE_PERCENT 100

/* The lease must end earlier for a holder with a slow clock than for a voter with a fast one. */
_Static_assert(LOCK_LEASE_MS *(WHOLE_PERCENT + CLOCK_SLOW_PERCENT) <=
                   LOCK_GRANT_MS * (WHOLE_PERCENT - CLOCK_SLOW_PERCENT),
               "the holder relies on more of a lease than the clock drift allowance leaves");

/* --- the voter ------------------------------------------------------------------- */

Status lock_may_promise(const LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term <= voter->promised)
        return STATUS_OLD_TERM;
    if (now_ms < voter->not_before_ms && !(voter->promise_certain && voter->holder == holder))
        return STATUS_RESTARTED;
    if (voter->holder != holder && lock_held(voter, now_ms))
        return STATUS_OTHER_HOLDER;
    return STATUS_OK;
}

void lock_promise(LockVoter *voter, uint64_t term, uint64_t holder)
{
    INVARIANT(PROMISE_RISES, term >= voter->promised);
    voter->promised = term;
    voter->holder = holder;
}

Status lock_renew(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms, int64_t grant_ms)
{
    if (term != voter->promised || term == voter->released)
        return STATUS_OLD_TERM;
    if (holder != voter->holder)
        return STATUS_OTHER_HOLDER;
    const int64_t until_ms = now_ms + (grant_ms > 0 && grant_ms < LOCK_GRANT_MS ? grant_ms : LOCK_GRANT_MS);
    if (until_ms > voter->lease_until_ms)
        voter->lease_until_ms = until_ms;
    return STATUS_OK;
}

void lock_release(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term != voter->promised || holder != voter->holder)
        return;
    voter->lease_until_ms = now_ms;
    voter->released = term;
    /* the only grant that may have been forgotten in the restart was to this holder, which has now released it */
    if (voter->promise_certain && voter->not_before_ms > now_ms)
        voter->not_before_ms = now_ms;
}

bool lock_held(const LockVoter *voter, int64_t now_ms)
{
    return voter->holder != 0 && now_ms < voter->lease_until_ms;
}

/* --- the holder ------------------------------------------------------------------ */

void lock_lease_clear(LockLease *lease)
{
    for (int i = 0; i < VOTERS_MAX; i++)
        lease->until_ms[i] = INT64_MIN;
}

int64_t lock_lease_ms(int64_t grant_ms)
{
    return grant_ms * LOCK_LEASE_MS / LOCK_GRANT_MS;
}

void lock_lease_granted(LockLease *lease, int voter, int64_t sent_ms, int64_t grant_ms)
{
    INVARIANT(VOTER_PLACES, voter >= 0 && voter < VOTERS_MAX);
    const int64_t until_ms = sent_ms + lock_lease_ms(grant_ms);
    if (until_ms > lease->until_ms[voter])
        lease->until_ms[voter] = until_ms;
}

/* Returns the m-th latest end, where m is a majority: the grants of a majority last at least until then. */
int64_t lock_lease_until(const LockLease *lease)
{
    INVARIANT(VOTER_PLACES, lease->voters <= VOTERS_MAX);
    int64_t latest_ms[VOTERS_MAX];
    size_t count = 0;
    for (int i = 0; i < VOTERS_MAX; i++) { /* insertion sort, latest first */
        size_t at = count++;
        for (; at > 0 && latest_ms[at - 1] < lease->until_ms[i]; at--)
            latest_ms[at] = latest_ms[at - 1];
        latest_ms[at] = lease->until_ms[i];
    }
    return lease->voters > 0 ? latest_ms[lock_majority(lease->voters) - 1] : INT64_MIN;
}
