/* Runs a fixed set of seeds with each kind of plan. */
#include "run_passing.h"

#if defined(__SANITIZE_ADDRESS__)
#define SEEDS_PER_CASE 6 /* fewer, since the address sanitizer makes runs about ten times slower */
#else
#define SEEDS_PER_CASE 60
#endif

static void run_seeds(uint64_t first, void (*generate)(uint64_t seed, ExplorePlan *plan))
{
    ExploreResult totals = {0};
    unsigned liveness_checked = 0;
    for (uint64_t seed = first; seed < first + SEEDS_PER_CASE; seed++) {
        ExplorePlan plan;
        generate(seed, &plan);
        const ExploreResult result = run_passing(&plan);
        totals.acknowledged += result.acknowledged;
        totals.terms_led += result.terms_led;
        totals.voter_changes += result.voter_changes;
        liveness_checked += result.liveness_checked;
    }
    /* The runs must contain enough activity for the checks to mean something. */
    assert_true(totals.acknowledged > 50 * SEEDS_PER_CASE);
    assert_true(totals.terms_led > SEEDS_PER_CASE);
    assert_true(totals.voter_changes > SEEDS_PER_CASE / 2);
    assert_true(liveness_checked > SEEDS_PER_CASE / 2);
}

/* Each range is a separate test case, so that ctest can run them in parallel. */
#define SEEDS_FROM(name, first, generate) \
    static void name(void **state)        \
    {                                     \
        (void)state;                      \
        run_seeds(first, generate);       \
    }

SEEDS_FROM(seeds1, 1, explore_plan_random)
SEEDS_FROM(seeds101, 101, explore_plan_random)
SEEDS_FROM(seeds201, 201, explore_plan_random)
SEEDS_FROM(seeds401, 401, explore_plan_random)
SEEDS_FROM(seeds501, 501, explore_plan_random)
SEEDS_FROM(precise1, 1, explore_plan_precise)
SEEDS_FROM(precise101, 101, explore_plan_precise)
SEEDS_FROM(precise201, 201, explore_plan_precise)

/* A log that tolerates two losses acknowledged changes on only two disks just after its initial voters had been
 * found. The seeds are ones in which this happened. */
static void founded_for_two_losses(void **state)
{
    (void)state;
    static const uint64_t SEEDS[] = {658, 921, 1411, 2073, 2211, 2713};
    for (size_t i = 0; i < sizeof(SEEDS) / sizeof(SEEDS[0]); i++) {
        ExplorePlan plan;
        explore_plan_random(SEEDS[i], &plan);
        assert_int_equal(plan.losses, 2);
        const ExploreResult result = run_passing(&plan);
        assert_true(result.acknowledged > 20);
    }
}

/* Ten losses one after another, each after the previous one must have been repaired. */
static void pace(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= (SEEDS_PER_CASE + 5) / 6; seed++) {
        ExplorePlan plan;
        explore_plan_pace(seed, &plan);
        const ExploreResult result = run_passing(&plan);
        assert_true(result.liveness_checked);
        assert_true(result.voter_changes >= 10);
    }
}

/* The same seed gives the same plan and the same run. */
static void repeats(void **state)
{
    (void)state;
    ExplorePlan plan, same_plan;
    ExploreResult first, second;
    explore_plan_random(7, &plan);
    explore_plan_random(7, &same_plan);
    assert_memory_equal(&plan, &same_plan, sizeof(plan));
    explore_run(&plan, false, &first);
    explore_run(&same_plan, false, &second);
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
