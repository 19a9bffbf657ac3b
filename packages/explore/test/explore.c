/* A fixed share of seeds. */
#include "plays.h"

#if defined(__SANITIZE_ADDRESS__)
#define SHARE 6 /* seeds of a case; some ten times slower there */
#else
#define SHARE 60
#endif

static void seeds_from(uint64_t first, void (*draw)(uint64_t seed, ExplorePlan *plan))
{
    ExploreResult sum = {0};
    unsigned lived = 0;
    for (uint64_t seed = first; seed < first + SHARE; seed++) {
        ExplorePlan plan;
        draw(seed, &plan);
        const ExploreResult result = runs(&plan);
        sum.acknowledged += result.acknowledged;
        sum.leads += result.leads;
        sum.voter_changes += result.voter_changes;
        lived += result.lived;
    }
    /* a share in which nothing happens proves nothing */
    assert_true(sum.acknowledged > 50 * SHARE);
    assert_true(sum.leads > SHARE);
    assert_true(sum.voter_changes > SHARE / 2);
    assert_true(lived > SHARE / 2);
}

/* Each is a case of its own, so that ctest runs them side by side. */
#define SEEDS_FROM(name, first, draw) \
    static void name(void **state)    \
    {                                 \
        (void)state;                  \
        seeds_from(first, draw);      \
    }

SEEDS_FROM(seeds1, 1, explore_plan_of)
SEEDS_FROM(seeds101, 101, explore_plan_of)
SEEDS_FROM(seeds201, 201, explore_plan_of)
SEEDS_FROM(seeds401, 401, explore_plan_of)
SEEDS_FROM(seeds501, 501, explore_plan_of)
SEEDS_FROM(precise1, 1, explore_precise_of)
SEEDS_FROM(precise101, 101, explore_precise_of)
SEEDS_FROM(precise201, 201, explore_precise_of)

/* A log for two losses whose first voters have just been found: nothing may be acknowledged on two disks. Seeds in
 * which that happened. */
static void founded_for_two_losses(void **state)
{
    (void)state;
    static const uint64_t SEEDS[] = {658, 921, 1411, 2073, 2211, 2713};
    for (size_t i = 0; i < sizeof(SEEDS) / sizeof(SEEDS[0]); i++) {
        ExplorePlan plan;
        explore_plan_of(SEEDS[i], &plan);
        assert_int_equal(plan.losses, 2);
        const ExploreResult result = runs(&plan);
        assert_true(result.acknowledged > 20);
    }
}

/* Ten losses one after another, each once the last must have been repaired. */
static void pace(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= (SHARE + 5) / 6; seed++) {
        ExplorePlan plan;
        explore_pace_of(seed, &plan);
        const ExploreResult result = runs(&plan);
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
        cmocka_unit_test(precise1),
        cmocka_unit_test(precise101),
        cmocka_unit_test(precise201),
        cmocka_unit_test(seeds1),
        cmocka_unit_test(seeds101),
        cmocka_unit_test(seeds201),
        cmocka_unit_test(seeds401),
        cmocka_unit_test(seeds501),
        cmocka_unit_test(repeats),
        cmocka_unit_test(pace),
        cmocka_unit_test(founded_for_two_losses),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
