/* The lock's two halves, on clocks that run apart. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/constants.h"
#include "lock/lock.h"

#define HOLDER 7
#define RIVAL 8
#define EPOCH 3
#define VOTERS 3

/* A steady clock that runs at so many percent, in milliseconds. */
static int64_t clockAt(int64_t trueMs, int64_t percent)
{
    return trueMs * percent / 100;
}

/* While the holder counts on its lease, no majority may promise anything to another. */
static void leaseEndsFirst(int64_t holderPercent, int64_t voterPercent)
{
    for (int64_t sent_ms = 100; sent_ms < 200; sent_ms++) {
        LockHold hold = {.seats = VOTERS};
        LockSeat voters[VOTERS] = {{0}};
        lockHoldClear(&hold);
        for (int i = 0; i < VOTERS - 1; i++) { /* answered at once, which is the worst */
            lockPromise(&voters[i], EPOCH, HOLDER);
            assert_int_equal(lockRenew(&voters[i], EPOCH, HOLDER, clockAt(sent_ms, voterPercent)), STATUS_OK);
            lockHoldAnswered(&hold, i, clockAt(sent_ms, holderPercent));
        }
        int64_t trueMs = sent_ms;
        for (; clockAt(trueMs, holderPercent) < lockHoldUntil(&hold); trueMs++)
            for (int i = 0; i < VOTERS - 1; i++)
                assert_int_equal(lockMayPromise(&voters[i], EPOCH + 1, RIVAL, clockAt(trueMs, voterPercent)),
                                 STATUS_OTHER_HOLDER);
        assert_true(trueMs > sent_ms + 4 * LOCK_RENEW_MS); /* four renewals still fit in it */
    }
}

static void sameClocks(void **state)
{
    (void)state;
    leaseEndsFirst(100, 100);
}

static void clocksApart(void **state)
{
    (void)state;
    leaseEndsFirst(100 - CLOCK_SLOW_PERCENT, 100);
    leaseEndsFirst(100, 100 + CLOCK_SLOW_PERCENT);
    leaseEndsFirst(100 - CLOCK_SLOW_PERCENT, 100 + CLOCK_SLOW_PERCENT);
    leaseEndsFirst(100 - CLOCK_SLOW_PERCENT, 100 - CLOCK_SLOW_PERCENT);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(sameClocks),
        cmocka_unit_test(clocksApart),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
