/* Tests of the arrival estimator: the time after which a peer is suspected follows its usual gaps. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/arrivals.h"

#define LEAST_MS 100
#define MOST_MS 1500

#define START_MS 1000000

/* Records a request that comes gap_ms after the last response, and its immediate response. */
static void request_after(Arrivals *arrivals, int64_t gap_ms)
{
    const int64_t now_ms = (arrivals->answered_ms != 0 ? arrivals->answered_ms : START_MS) + gap_ms;
    arrivals_request(arrivals, now_ms);
    arrivals_response(arrivals, now_ms);
}

/* Returns the gap after which the next request is overdue, in ms. */
static int64_t overdue_gap_ms(const Arrivals *arrivals)
{
    return arrivals_overdue_ms(arrivals, LEAST_MS, MOST_MS) - arrivals->answered_ms;
}

/* The same, after the gaps were observed so many times in turn. */
static int64_t overdue_gap_ms_after(const int64_t *gaps_ms, size_t count, size_t times)
{
    Arrivals arrivals = {0};
    request_after(&arrivals, 0); /* no response precedes the first request */
    for (size_t i = 0; i < count * times; i++)
        request_after(&arrivals, gaps_ms[i % count]);
    return overdue_gap_ms(&arrivals);
}

static void owes_nothing_while_it_waits(void **state)
{
    (void)state;
    Arrivals arrivals = {0};
    assert_true(arrivals_overdue_ms(&arrivals, LEAST_MS, MOST_MS) == INT64_MAX); /* no request was received yet */
    arrivals_request(&arrivals, START_MS);
    arrivals_request(&arrivals, START_MS + 1);
    arrivals_response(&arrivals, START_MS + 2);
    assert_true(arrivals_overdue_ms(&arrivals, LEAST_MS, MOST_MS) == INT64_MAX);
    arrivals_response(&arrivals, START_MS + 3);
    assert_true(arrivals_overdue_ms(&arrivals, LEAST_MS, MOST_MS) == START_MS + 3 + MOST_MS);
    arrivals_response(&arrivals, START_MS + 4); /* a request from before the state was reset */
    assert_true(arrivals_overdue_ms(&arrivals, LEAST_MS, MOST_MS) == START_MS + 4 + MOST_MS);
}

static void nothing_observed_suspects_late(void **state)
{
    (void)state;
    const int64_t quick_ms = 1;
    assert_int_equal(overdue_gap_ms_after(&quick_ms, 1, 0), MOST_MS);
    assert_int_equal(overdue_gap_ms_after(&quick_ms, 1, 7), MOST_MS);
    assert_int_equal(overdue_gap_ms_after(&quick_ms, 1, 8), LEAST_MS);
}

static void follows_what_it_sees(void **state)
{
    (void)state;
    const int64_t steady_ms = 400, uneven_ms[] = {10, 10, 10, 300};
    assert_in_range(overdue_gap_ms_after(&steady_ms, 1, 100), 400, 420);
    /* the slow requests of an irregular peer are not suspicious */
    assert_in_range(overdue_gap_ms_after(uneven_ms, 4, 100), 300, MOST_MS);
}

static void forgets_a_slow_time(void **state)
{
    (void)state;
    Arrivals arrivals = {0};
    for (int i = 0; i < 20; i++)
        request_after(&arrivals, 800);
    for (int i = 0; i < 100; i++)
        request_after(&arrivals, 2);
    assert_int_equal(overdue_gap_ms(&arrivals), LEAST_MS);
}

static void is_bounded(void **state)
{
    (void)state;
    const int64_t wild_ms[] = {0, 90000}, backwards_ms = -5;
    assert_int_equal(overdue_gap_ms_after(wild_ms, 2, 10), MOST_MS);
    assert_int_equal(overdue_gap_ms_after(&backwards_ms, 1, 10), LEAST_MS);
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
