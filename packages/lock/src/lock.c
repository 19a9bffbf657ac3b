#include "lock/lock.h"

#include "base/constants.h"

Status lockMayPromise(const LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t now_ms)
{
    if (epoch <= seat->promised)
        return STATUS_OLD_EPOCH;
    if (now_ms < seat->notBeforeMs && !(seat->sure && seat->holder == holder))
        return STATUS_WOKEN;
    if (seat->holder != holder && lockHeld(seat, now_ms))
        return STATUS_OTHER_HOLDER;
    return STATUS_OK;
}

void lockPromise(LockSeat *seat, uint64_t epoch, uint64_t holder)
{
    seat->promised = epoch;
    seat->holder = holder;
}

Status lockRenew(LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t now_ms)
{
    if (epoch != seat->promised || epoch == seat->released)
        return STATUS_OLD_EPOCH;
    if (holder != seat->holder)
        return STATUS_OTHER_HOLDER;
    seat->holdUntilMs = now_ms + LOCK_HOLD_MS;
    return STATUS_OK;
}

void lockRelease(LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t now_ms)
{
    if (epoch != seat->promised || holder != seat->holder)
        return;
    seat->holdUntilMs = now_ms;
    seat->released = epoch;
    if (seat->sure && seat->notBeforeMs > now_ms)
        seat->notBeforeMs = now_ms;
}

bool lockHeld(const LockSeat *seat, int64_t now_ms)
{
    return seat->holder != 0 && now_ms < seat->holdUntilMs;
}

void lockHoldClear(LockHold *hold)
{
    for (int i = 0; i < SEAT_MOST; i++)
        hold->sent_ms[i] = INT64_MIN;
}

void lockHoldAnswered(LockHold *hold, int seat, int64_t sent_ms)
{
    if (sent_ms > hold->sent_ms[seat])
        hold->sent_ms[seat] = sent_ms;
}

int64_t lockHoldUntil(const LockHold *hold)
{
    /* the oldest of the best majority */
    int64_t newest[SEAT_MOST];
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        size_t at = count++;
        for (; at > 0 && newest[at - 1] < hold->sent_ms[i]; at--)
            newest[at] = newest[at - 1];
        newest[at] = hold->sent_ms[i];
    }
    const int64_t oldest = hold->seats > 0 ? newest[lockMajority(hold->seats) - 1] : INT64_MIN;
    return oldest == INT64_MIN ? INT64_MIN : oldest + LOCK_LEASE_MS;
}
