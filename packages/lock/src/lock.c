#include "lock/lock.h"

#include "base/constants.h"

Status lock_may_promise(const LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term <= voter->promised)
        return STATUS_OLD_TERM;
    if (now_ms < voter->not_before_ms && !(voter->sure && voter->holder == holder))
        return STATUS_WOKEN;
    if (voter->holder != holder && lock_held(voter, now_ms))
        return STATUS_OTHER_HOLDER;
    return STATUS_OK;
}

void lock_promise(LockVoter *voter, uint64_t term, uint64_t holder)
{
    voter->promised = term;
    voter->holder = holder;
}

Status lock_renew(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term != voter->promised || term == voter->released)
        return STATUS_OLD_TERM;
    if (holder != voter->holder)
        return STATUS_OTHER_HOLDER;
    voter->lease_until_ms = now_ms + LOCK_GRANT_MS;
    return STATUS_OK;
}

void lock_release(LockVoter *voter, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term != voter->promised || holder != voter->holder)
        return;
    voter->lease_until_ms = now_ms;
    voter->released = term;
    if (voter->sure && voter->not_before_ms > now_ms)
        voter->not_before_ms = now_ms;
}

bool lock_held(const LockVoter *voter, int64_t now_ms)
{
    return voter->holder != 0 && now_ms < voter->lease_until_ms;
}

void lock_lease_clear(LockLease *lease)
{
    for (int i = 0; i < VOTER_MOST; i++)
        lease->sent_ms[i] = INT64_MIN;
}

void lock_lease_answered(LockLease *lease, int voter, int64_t sent_ms)
{
    if (sent_ms > lease->sent_ms[voter])
        lease->sent_ms[voter] = sent_ms;
}

int64_t lock_lease_until(const LockLease *lease)
{
    /* the oldest of the best majority */
    int64_t newest[VOTER_MOST];
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        size_t at = count++;
        for (; at > 0 && newest[at - 1] < lease->sent_ms[i]; at--)
            newest[at] = newest[at - 1];
        newest[at] = lease->sent_ms[i];
    }
    const int64_t oldest = lease->voters > 0 ? newest[lock_majority(lease->voters) - 1] : INT64_MIN;
    return oldest == INT64_MIN ? INT64_MIN : oldest + LOCK_LEASE_MS;
}
