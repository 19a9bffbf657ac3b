/* The time after which a peer is suspected follows how long it usually takes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/gap.h"

#define LEAST_MS 100
#define MOST_MS 1500

static int64_t limit_after(const int64_t *gaps_ms, size_t count, size_t times)
{
    Gap gap = {0};
    for (size_t i = 0; i < count * times; i++)
        gap_take(&gap, gaps_ms[i % count]);
    return gap_limit_ms(&gap, LEAST_MS, MOST_MS);
}

static void nothing_observed_suspects_late(void **state)
{
    (void)state;
    const int64_t quick_ms = 1;
    assert_int_equal(limit_after(&quick_ms, 1, 0), MOST_MS);
    assert_int_equal(limit_after(&quick_ms, 1, 7), MOST_MS);
    assert_int_equal(limit_after(&quick_ms, 1, 8), LEAST_MS);
}

static void follows_what_it_sees(void **state)
{
    (void)state;
    const int64_t steady_ms = 400, uneven_ms[] = {10, 10, 10, 300};
    assert_in_range(limit_after(&steady_ms, 1, 100), 400, 420);
    /* the slow ones of an uneven peer are no reason for suspicion */
    assert_in_range(limit_after(uneven_ms, 4, 100), 300, MOST_MS);
}

static void forgets_a_slow_time(void **state)
{
    (void)state;
    Gap gap = {0};
    for (int i = 0; i < 20; i++)
        gap_take(&gap, 800);
    for (int i = 0; i < 100; i++)
        gap_take(&gap, 2);
    assert_int_equal(gap_limit_ms(&gap, LEAST_MS, MOST_MS), LEAST_MS);
}

static void is_bounded(void **state)
{
    (void)state;
    const int64_t wild_ms[] = {0, 90000}, backwards_ms = -5;
    assert_int_equal(limit_after(wild_ms, 2, 10), MOST_MS);
    assert_int_equal(limit_after(&backwards_ms, 1, 10), LEAST_MS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nothing_observed_suspects_late),
        cmocka_unit_test(follows_what_it_sees),
        cmocka_unit_test(forgets_a_slow_time),
        cmocka_unit_test(is_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
