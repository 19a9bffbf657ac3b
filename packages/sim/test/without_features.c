/* With each optional feature off, and with all of them off, no safety property breaks and jobs are run. */
#include "fleet_fixture.h"

#include "settings/features.h"

/* Runs a fleet without these features (a bit mask) through the loss of a worker, of an agent and of the leader. */
static void run_with_features_off(int64_t features_off, Mix mix)
{
    Fleet *fleet = fleet_new(NULL, 90, (FleetShape){3, 3, 9, mix, 0});
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            fleet_node(fleet, (FleetRole)role, i)->settings.cluster_settings.features_off = features_off;
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000) && fleet_configure(fleet));
    fleet_submit_jobs(fleet, "features", 15000, 15000);
    fleet_run(fleet, 4000);
    checker_fault(fleet->checker);
    fleet_kill(fleet, FLEET_WORKER, 1);
    fleet_kill(fleet, FLEET_AGENT, 4);
    fleet_run(fleet, 3000);
    checker_fault(fleet->checker);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 8000);
    assert_true(fleet_leader(fleet) >= 0);
    assert_true(checker_starts(fleet->checker) > 100);
    case_end(fleet);
}

static void each_switched_off(void **state)
{
    (void)state;
    for (int i = 0; i < FEATURE_COUNT; i++)
        run_with_features_off(INT64_C(1) << i, i % 2 == 0 ? MIX_VARIED : MIX_TRENTVALE);
}

static void all_switched_off(void **state)
{
    (void)state;
    run_with_features_off((INT64_C(1) << FEATURE_COUNT) - 1, MIX_VARIED);
    run_with_features_off((INT64_C(1) << FEATURE_COUNT) - 1, MIX_ATLAS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_switched_off),
        cmocka_unit_test(all_switched_off),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
