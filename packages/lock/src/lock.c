#include "lock/lock.h"

#include "base/constants.h"

Status lock_may_promise(const LockSeat *seat, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term <= seat->promised)
        return STATUS_OLD_TERM;
    if (now_ms < seat->not_before_ms && !(seat->sure && seat->holder == holder))
        return STATUS_WOKEN;
    if (seat->holder != holder && lock_held(seat, now_ms))
        return STATUS_OTHER_HOLDER;
    return STATUS_OK;
}

void lock_promise(LockSeat *seat, uint64_t term, uint64_t holder)
{
    seat->promised = term;
    seat->holder = holder;
}

Status lock_renew(LockSeat *seat, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term != seat->promised || term == seat->released)
        return STATUS_OLD_TERM;
    if (holder != seat->holder)
        return STATUS_OTHER_HOLDER;
    seat->lease_until_ms = now_ms + LOCK_GRANT_MS;
    return STATUS_OK;
}

void lock_release(LockSeat *seat, uint64_t term, uint64_t holder, int64_t now_ms)
{
    if (term != seat->promised || holder != seat->holder)
        return;
    seat->lease_until_ms = now_ms;
    seat->released = term;
    if (seat->sure && seat->not_before_ms > now_ms)
        seat->not_before_ms = now_ms;
}

bool lock_held(const LockSeat *seat, int64_t now_ms)
{
    return seat->holder != 0 && now_ms < seat->lease_until_ms;
}

void lock_lease_clear(LockLease *lease)
{
    for (int i = 0; i < SEAT_MOST; i++)
        lease->sent_ms[i] = INT64_MIN;
}

void lock_lease_answered(LockLease *lease, int seat, int64_t sent_ms)
{
    if (sent_ms > lease->sent_ms[seat])
        lease->sent_ms[seat] = sent_ms;
}

int64_t lock_lease_until(const LockLease *lease)
{
    /* the oldest of the best majority */
    int64_t newest[SEAT_MOST];
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        size_t at = count++;
        for (; at > 0 && newest[at - 1] < lease->sent_ms[i]; at--)
            newest[at] = newest[at - 1];
        newest[at] = lease->sent_ms[i];
    }
    const int64_t oldest = lease->seats > 0 ? newest[lock_majority(lease->seats) - 1] : INT64_MIN;
    return oldest == INT64_MIN ? INT64_MIN : oldest + LOCK_LEASE_MS;
}
