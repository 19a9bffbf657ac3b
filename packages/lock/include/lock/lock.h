#ifndef LOCK_LOCK_H
#define LOCK_LOCK_H

#include "base/status.h"
#include "loop/loop.h"

/* The lock, in the two halves that never meet in one process's memory: what a
 * seat has granted, and what the holder may count on. All spans are on the
 * process's own clock; the two halves are never compared.
 *
 * Why at most one holder: a holder counts its hold from when it SENT the
 * question, a seat from when it ANSWERED, which is later. A holder needs the
 * holds of two of three seats; another needs promises of two of three, and a
 * seat promises nothing while a hold it granted runs. The two sets share a seat. */

#define SEAT_COUNT 3    /* count; one disk may be lost */
#define SEAT_MAJORITY 2 /* count */

/* A seat's half.
 * Invariants: promised never falls while the process lives, and is synced
 * before it is answered; holdUntilMs is the hold of holder under promised. */
typedef struct LockSeat {
    uint64_t promised;
    uint64_t holder; /* disk id */
    int64_t holdUntilMs;
    int64_t notBeforeMs; /* woken: what was granted may be forgotten, so nothing is promised before this */
} LockSeat;

/* Whether epoch may be promised to holder now. */
Status lockMayPromise(const LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t nowMs);
void lockPromise(LockSeat *seat, uint64_t epoch, uint64_t holder);
/* Lets the hold run on from now; OLD_EPOCH or OTHER_HOLDER when it is not the promised one. */
Status lockRenew(LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t nowMs);
void lockRelease(LockSeat *seat, uint64_t epoch, uint64_t holder, int64_t nowMs);
bool lockHeld(const LockSeat *seat, int64_t nowMs);

/* The holder's half.
 * Invariant: sentMs[i] is when the last question that seat i answered well was
 * sent, INT64_MIN when there is none under this epoch. */
typedef struct LockHold {
    int64_t sentMs[SEAT_COUNT];
} LockHold;

void lockHoldClear(LockHold *hold);
void lockHoldAnswered(LockHold *hold, int seat, int64_t sentMs);
/* Until when a majority's holds run; INT64_MIN: not held. */
int64_t lockHoldUntil(const LockHold *hold);

#endif
