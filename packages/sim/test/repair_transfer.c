/* Acknowledged jobs survive disks that lose them also when the process that received the requests has shut down
 * gracefully since: before it ends, it transfers its repair buffer to others. */
#include "repair_fixture.h"

/* Submits jobs at a process and shuts it down; then all controllers lose power and their disks lose their data. The
 * jobs are still known. */
static void carrier_leaves(uint64_t seed, FleetRole role)
{
    Fleet *fleet = begin(seed, 3);
    const int carrier = role == FLEET_CONTROLLER ? (fleet_leader(fleet) + 1) % 3 : 0;
    jobs_submit(fleet, role, carrier);
    /* other entry points have a copy too: they are restarted, so that they lose it */
    for (int i = 0; i < 3; i++) {
        if (role == FLEET_ENTRY_POINT && i == carrier)
            continue;
        fleet_kill(fleet, FLEET_ENTRY_POINT, i);
        fleet_start_node(fleet, FLEET_ENTRY_POINT, i);
        fleet_run(fleet, 1000);
    }
    fleet_shut_down(fleet, role, carrier);
    fleet_run(fleet, 8000);
    assert_false(fleet_node(fleet, role, carrier)->up);
    fleet_start_node(fleet, role, carrier); /* its own repair buffer is lost too */
    fleet_run(fleet, 2000);
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    jobs_known(fleet, 1);
    case_end(fleet);
}

static void entry_point_leaves(void **state)
{
    (void)state;
    for (uint64_t seed = 61; seed < 65; seed++)
        carrier_leaves(seed, FLEET_ENTRY_POINT);
}

static void controller_leaves(void **state)
{
    (void)state;
    for (uint64_t seed = 71; seed < 75; seed++)
        carrier_leaves(seed, FLEET_CONTROLLER);
}

/* Guards against a process whose peers do not answer still running when its grace period ends, and so being killed: it
 * offered its repair buffer with a deadline of its own. */
static void carrier_that_is_cut_off_ends_in_time(void **state)
{
    (void)state;
    for (int64_t grace_ms = 1000; grace_ms <= 2200; grace_ms += 300) {
        Fleet *fleet = begin(65, 8);
        FleetNode *carrier = fleet_node(fleet, FLEET_ENTRY_POINT, 0);
        fleet_kill(fleet, FLEET_ENTRY_POINT, 0);
        carrier->settings.cluster_settings.grace_ms = grace_ms;
        fleet_start_node(fleet, FLEET_ENTRY_POINT, 0);
        fleet_run(fleet, 1000);
        jobs_submit(fleet, FLEET_ENTRY_POINT, 0);
        checker_fault(fleet->checker);
        fleet_shut_down(fleet, FLEET_ENTRY_POINT, 0);
        fleet_node_cut(fleet, FLEET_ENTRY_POINT, 0, true);
        const int64_t from_ms = sim_now_ms(fleet->world);
        while (carrier->up && sim_now_ms(fleet->world) < from_ms + 10000)
            fleet_run(fleet, 1);
        const int64_t took_ms = sim_now_ms(fleet->world) - from_ms;
        print_message("ended after %d ms, grace period %d ms\n", (int)took_ms, (int)grace_ms);
        assert_false(carrier->up);
        assert_true(took_ms > grace_ms / 2); /* it did offer its repair buffer */
        assert_true(took_ms <= grace_ms);
        talloc_free(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(entry_point_leaves),
        cmocka_unit_test(controller_leaves),
        cmocka_unit_test(carrier_that_is_cut_off_ends_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
