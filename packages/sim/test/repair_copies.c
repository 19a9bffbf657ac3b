/* What was acknowledged outlasts the loss of what all disks had, together with the entry points of one zone: two of
 * them keep it for repair, in different zones. */
#include "repair_fixture.h"

#define ENTRY_POINTS 6 /* count; two in each zone */

/* The entry points of a zone are cut off, or lose their memory. */
static void entry_points_lost(Fleet *fleet, int zone, bool cut)
{
    for (int i = zone; i < ENTRY_POINTS; i += 3) {
        if (cut) {
            fleet_node_cut(fleet, FLEET_ENTRY_POINT, i, true);
        } else {
            fleet_kill(fleet, FLEET_ENTRY_POINT, i);
            fleet_start_node(fleet, FLEET_ENTRY_POINT, i);
        }
    }
}

/* Submits jobs at the process; a zone's entry points are lost, and all controllers lose power, and their disks what
 * they had. */
static void bears(uint64_t seed, FleetRole role, int carrier, int lost, bool cut)
{
    Fleet *fleet = begin(seed, ENTRY_POINTS);
    jobs_submit(fleet, role, role == FLEET_CONTROLLER ? (fleet_leader(fleet) + carrier) % 3 : carrier);
    checker_fault(fleet->checker);
    entry_points_lost(fleet, lost, cut);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    jobs_known(fleet, (lost + 1) % 3);
    for (int i = lost; i < ENTRY_POINTS && cut; i += 3)
        fleet_node_cut(fleet, FLEET_ENTRY_POINT, i, false);
    fleet_run(fleet, 4000);
    jobs_known(fleet, lost);
    case_end(fleet);
}

/* The zone of the entry point that carried the requests is lost. */
static void carrier_is_lost(void **state)
{
    (void)state;
    for (int carrier = 0; carrier < ENTRY_POINTS; carrier++) {
        bears(81 + (uint64_t)carrier, FLEET_ENTRY_POINT, carrier, carrier % 3, true);
        bears(111 + (uint64_t)carrier, FLEET_ENTRY_POINT, carrier, carrier % 3, false);
    }
}

/* The requests came in at the leader's own address; whichever zone is lost, another has a copy. */
static void leader_carries(void **state)
{
    (void)state;
    for (int lost = 0; lost < 3; lost++) {
        bears(91 + (uint64_t)lost, FLEET_CONTROLLER, 0, lost, true);
        bears(94 + (uint64_t)lost, FLEET_CONTROLLER, 0, lost, false);
    }
}

/* ... and at the address of a controller that does not lead, which loses its memory with the others. */
static void follower_carries(void **state)
{
    (void)state;
    for (int lost = 0; lost < 3; lost++) {
        bears(101 + (uint64_t)lost, FLEET_CONTROLLER, 1, lost, true);
        bears(104 + (uint64_t)lost, FLEET_CONTROLLER, 2, lost, false);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(carrier_is_lost),
        cmocka_unit_test(leader_carries),
        cmocka_unit_test(follower_carries),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
