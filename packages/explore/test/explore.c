/* A fixed share of seeds, and timelines that broke a rule once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "explore/explore.h"

#if defined(__SANITIZE_ADDRESS__)
#define SHARE 6 /* seeds of a case; some ten times slower there */
#else
#define SHARE 60
#endif

static void seeds_from(uint64_t first)
{
    ExploreResult sum = {0};
    unsigned lived = 0;
    for (uint64_t seed = first; seed < first + SHARE; seed++) {
        ExplorePlan plan;
        ExploreResult result;
        explore_plan_of(seed, &plan);
        explore_run(&plan, false, &result);
        if (result.rule != RULE_NONE)
            fail_msg("seed %u: %s: %s", (unsigned)seed, rule_text(result.rule), result.why);
        sum.acknowledged += result.acknowledged;
        sum.leads += result.leads;
        sum.voter_changes += result.voter_changes;
        lived += result.lived;
    }
    /* a share that does nothing shows nothing */
    assert_true(sum.acknowledged > 50 * SHARE);
    assert_true(sum.leads > SHARE);
    assert_true(sum.voter_changes > SHARE / 2);
    assert_true(lived > SHARE / 2);
}

/* Each a case of its own, so that they are walked side by side. */
#define SEEDS_FROM(name, first)    \
    static void name(void **state) \
    {                              \
        (void)state;               \
        seeds_from(first);         \
    }

SEEDS_FROM(seeds1, 1)
SEEDS_FROM(seeds101, 101)
SEEDS_FROM(seeds201, 201)
SEEDS_FROM(seeds401, 401)
SEEDS_FROM(seeds501, 501)

/* Two losses are to be borne, and the first voters are found just now: nothing may be acknowledged
 * on two disks. Seeds where it was. */
static void founded_for_two_losses(void **state)
{
    (void)state;
    static const uint64_t SEEDS[] = {658, 921, 1411, 2073, 2211, 2713};
    for (size_t i = 0; i < sizeof(SEEDS) / sizeof(SEEDS[0]); i++) {
        ExplorePlan plan;
        ExploreResult result;
        explore_plan_of(SEEDS[i], &plan);
        assert_int_equal(plan.losses, 2);
        explore_run(&plan, false, &result);
        if (result.rule != RULE_NONE)
            fail_msg("seed %u: %s: %s", (unsigned)SEEDS[i], rule_text(result.rule), result.why);
        assert_true(result.acknowledged > 20);
    }
}

/* Ten losses one after another, each as soon as the last is to be made good. */
static void pace(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= (SHARE + 5) / 6; seed++) {
        ExplorePlan plan;
        ExploreResult result;
        explore_pace_of(seed, &plan);
        explore_run(&plan, false, &result);
        if (result.rule != RULE_NONE)
            fail_msg("seed %u: %s: %s", (unsigned)seed, rule_text(result.rule), result.why);
        assert_true(result.lived);
        assert_true(result.voter_changes >= 10);
    }
}

/* The same seed gives the same run, and leaving an act out leaves the others as they were. */
static void repeats(void **state)
{
    (void)state;
    ExplorePlan plan, again;
    ExploreResult first, second;
    explore_plan_of(7, &plan);
    explore_plan_of(7, &again);
    assert_memory_equal(&plan, &again, sizeof(plan));
    explore_run(&plan, false, &first);
    explore_run(&again, false, &second);
    assert_int_equal(first.steps, second.steps);
    assert_int_equal(first.acknowledged, second.acknowledged);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(seeds1),   cmocka_unit_test(seeds101),
        cmocka_unit_test(seeds201), cmocka_unit_test(seeds401),
        cmocka_unit_test(seeds501), cmocka_unit_test(repeats),
        cmocka_unit_test(pace),     cmocka_unit_test(founded_for_two_losses),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
