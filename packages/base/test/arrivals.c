/* The time after which a peer is suspected follows how long it usually takes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/arrivals.h"

#define LEAST_MS 100
#define MOST_MS 1500

#define START_MS 1000000

/* The peer's next question comes so long after the answer to its last one. */
static void ask_after(Arrivals *arrivals, int64_t gap_ms)
{
    const int64_t now_ms = (arrivals->answered_ms != 0 ? arrivals->answered_ms : START_MS) + gap_ms;
    arrivals_asked(arrivals, now_ms);
    arrivals_answered(arrivals, now_ms);
}

/* How long it may take until its question is late. */
static int64_t limit_of(const Arrivals *arrivals)
{
    return arrivals_late_ms(arrivals, LEAST_MS, MOST_MS) - arrivals->answered_ms;
}

static int64_t limit_after(const int64_t *gaps_ms, size_t count, size_t times)
{
    Arrivals arrivals = {0};
    ask_after(&arrivals, 0); /* the first question follows no answer */
    for (size_t i = 0; i < count * times; i++)
        ask_after(&arrivals, gaps_ms[i % count]);
    return limit_of(&arrivals);
}

static void owes_nothing_while_it_waits(void **state)
{
    (void)state;
    Arrivals arrivals = {0};
    assert_true(arrivals_late_ms(&arrivals, LEAST_MS, MOST_MS) == INT64_MAX); /* it has never asked */
    arrivals_asked(&arrivals, START_MS);
    arrivals_asked(&arrivals, START_MS + 1);
    arrivals_answered(&arrivals, START_MS + 2);
    assert_true(arrivals_late_ms(&arrivals, LEAST_MS, MOST_MS) == INT64_MAX);
    arrivals_answered(&arrivals, START_MS + 3);
    assert_true(arrivals_late_ms(&arrivals, LEAST_MS, MOST_MS) == START_MS + 3 + MOST_MS);
    arrivals_answered(&arrivals, START_MS + 4); /* one from before all was forgotten */
    assert_true(arrivals_late_ms(&arrivals, LEAST_MS, MOST_MS) == START_MS + 4 + MOST_MS);
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
    Arrivals arrivals = {0};
    for (int i = 0; i < 20; i++)
        ask_after(&arrivals, 800);
    for (int i = 0; i < 100; i++)
        ask_after(&arrivals, 2);
    assert_int_equal(limit_of(&arrivals), LEAST_MS);
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
        cmocka_unit_test(owes_nothing_while_it_waits),
        cmocka_unit_test(nothing_observed_suspects_late),
        cmocka_unit_test(follows_what_it_sees),
        cmocka_unit_test(forgets_a_slow_time),
        cmocka_unit_test(is_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
