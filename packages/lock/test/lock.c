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
#define TERM 3
#define VOTERS 3

/* A steady clock that runs at so many percent, in milliseconds. */
static int64_t clock_at(int64_t true_ms, int64_t percent)
{
    return true_ms * percent / 100;
}

/* While the holder counts on its lease, no majority may promise anything to another. */
static void lease_ends_first(int64_t holder_percent, int64_t voter_percent)
{
    for (int64_t sent_ms = 100; sent_ms < 200; sent_ms++) {
        LockLease lease = {.voters = VOTERS};
        LockVoter voters[VOTERS] = {{0}};
        lock_lease_clear(&lease);
        for (int i = 0; i < VOTERS - 1; i++) { /* answered at once, which is the worst */
            lock_promise(&voters[i], TERM, HOLDER);
            assert_int_equal(lock_renew(&voters[i], TERM, HOLDER, clock_at(sent_ms, voter_percent)), STATUS_OK);
            lock_lease_answered(&lease, i, clock_at(sent_ms, holder_percent));
        }
        int64_t true_ms = sent_ms;
        for (; clock_at(true_ms, holder_percent) < lock_lease_until(&lease); true_ms++)
            for (int i = 0; i < VOTERS - 1; i++)
                assert_int_equal(lock_may_promise(&voters[i], TERM + 1, RIVAL, clock_at(true_ms, voter_percent)),
                                 STATUS_OTHER_HOLDER);
        assert_true(true_ms > sent_ms + 4 * LOCK_RENEW_MS); /* four renewals still fit in it */
    }
}

static void same_clocks(void **state)
{
    (void)state;
    lease_ends_first(100, 100);
}

static void clocks_apart(void **state)
{
    (void)state;
    lease_ends_first(100 - CLOCK_SLOW_PERCENT, 100);
    lease_ends_first(100, 100 + CLOCK_SLOW_PERCENT);
    lease_ends_first(100 - CLOCK_SLOW_PERCENT, 100 + CLOCK_SLOW_PERCENT);
    lease_ends_first(100 - CLOCK_SLOW_PERCENT, 100 - CLOCK_SLOW_PERCENT);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(same_clocks),
        cmocka_unit_test(clocks_apart),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
