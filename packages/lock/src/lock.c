#include "lock/lock.h"

#include "base/constants.h"

Status lockMayPromise(const LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t nowMs)
{
    if (epoch <= seat->promised)
        return STATUS_OLD_EPOCH;
    if (nowMs < seat->notBeforeMs)
        return STATUS_WOKEN;
    if (seat->holder != holder && lockHeld(seat, nowMs))
        return STATUS_OTHER_HOLDER;
    return STATUS_OK;
}

void lockPromise(LockSeat *seat, uint64_t epoch, uint64_t holder)
{
    seat->promised = epoch;
    seat->holder = holder;
}

Status lockRenew(LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t nowMs)
{
    if (epoch != seat->promised)
        return STATUS_OLD_EPOCH;
    if (holder != seat->holder)
        return STATUS_OTHER_HOLDER;
    seat->holdUntilMs = nowMs + LOCK_HOLD_MS;
    return STATUS_OK;
}

void lockRelease(LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t nowMs)
{
    if (epoch == seat->promised && holder == seat->holder)
        seat->holdUntilMs = nowMs;
}

bool lockHeld(const LockSeat *seat, int64_t nowMs)
{
    return seat->holder != 0 && nowMs < seat->holdUntilMs;
}

void lockHoldClear(LockHold *hold)
{
    for (int i = 0; i < SEAT_COUNT; i++)
        hold->sentMs[i] = INT64_MIN;
}

void lockHoldAnswered(LockHold *hold, int seat, int64_t sentMs)
{
    if (sentMs > hold->sentMs[seat])
        hold->sentMs[seat] = sentMs;
}

int64_t lockHoldUntil(const LockHold *hold)
{
    /* the oldest of the best majority: with three seats, the second newest */
    int64_t best = INT64_MIN, second = INT64_MIN;
    for (int i = 0; i < SEAT_COUNT; i++) {
        if (hold->sentMs[i] > best) {
            second = best;
            best = hold->sentMs[i];
        } else if (hold->sentMs[i] > second) {
            second = hold->sentMs[i];
        }
    }
    return second == INT64_MIN ? INT64_MIN : second + LOCK_HOLD_MS;
}
