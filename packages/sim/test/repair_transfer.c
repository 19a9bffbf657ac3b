/* What was acknowledged outlasts disks that lose it, also when whoever carried the request has left in order since: it
 * hands on what it keeps for repair. */
#include "repair_fixture.h"

/* Submits jobs at the process, which is told to end then; all controllers lose power, and their disks what they had. */
static void carrier_leaves(uint64_t seed, FleetRole role)
{
    Fleet *fleet = begin(seed, 3);
    const int carrier = role == FLEET_CONTROLLER ? (fleet_leader(fleet) + 1) % 3 : 0;
    jobs_submit(fleet, role, carrier);
    for (int i = 0; i < 3;
         i++) { /* other entry points keep a copy too: they are started again, and have forgotten it */
        if (role == FLEET_ENTRY_POINT && i == carrier)
            continue;
        fleet_kill(fleet, FLEET_ENTRY_POINT, i);
        fleet_start_node(fleet, FLEET_ENTRY_POINT, i);
        fleet_run(fleet, 1000);
    }
    fleet_shut_down(fleet, role, carrier);
    fleet_run(fleet, 8000);
    assert_false(fleet_node(fleet, role, carrier)->up);
    fleet_start_node(fleet, role, carrier); /* it has forgotten it too */
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

/* Guards against: a process whose peers did not answer was still there after its grace span, and was killed: what it
 * keeps for repair was offered with a deadline of its own. */
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
        print_message("ended after %d ms of %d\n", (int)took_ms, (int)grace_ms);
        assert_false(carrier->up);
        assert_true(took_ms > grace_ms / 2); /* it did offer what it keeps */
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
