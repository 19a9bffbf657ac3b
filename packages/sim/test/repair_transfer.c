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
    fleet_leave(fleet, role, carrier);
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

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(entry_point_leaves),
        cmocka_unit_test(controller_leaves),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
