/* Acknowledged jobs survive the loss of the data on all controllers' disks together with the loss of one zone's entry
 * points, since two entry points in different zones have them in their repair buffers. */
#include "repair_fixture.h"

#define ENTRY_POINTS 6 /* two in each zone */

/* Cuts off the entry points of a zone, or restarts them, so that they lose their repair buffers. */
static void entry_points_lose(Fleet *fleet, int zone, bool cut)
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

/* Submits jobs at a process (carrier: its number; for a controller, its distance from the leader). Then the entry
 * points of zone lost are cut off or restarted, and all controllers lose power and their disks lose their data. The
 * jobs are still known. */
static void jobs_survive(uint64_t seed, FleetRole role, int carrier, int lost, bool cut)
{
    Fleet *fleet = begin(seed, ENTRY_POINTS);
    jobs_submit(fleet, role, role == FLEET_CONTROLLER ? (fleet_leader(fleet) + carrier) % 3 : carrier);
    checker_fault(fleet->checker);
    entry_points_lose(fleet, lost, cut);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    jobs_known(fleet, (lost + 1) % 3);
    for (int i = lost; i < ENTRY_POINTS && cut; i += 3)
        fleet_node_cut(fleet, FLEET_ENTRY_POINT, i, false);
    fleet_run(fleet, 4000);
    jobs_known(fleet, lost);
    case_end(fleet);
}

/* The lost zone is that of the entry point that received the requests. */
static void carrier_is_lost(void **state)
{
    (void)state;
    for (int carrier = 0; carrier < ENTRY_POINTS; carrier++) {
        jobs_survive(81 + (uint64_t)carrier, FLEET_ENTRY_POINT, carrier, carrier % 3, true);
        jobs_survive(111 + (uint64_t)carrier, FLEET_ENTRY_POINT, carrier, carrier % 3, false);
    }
}

/* The leader itself received the requests; whichever zone is lost, another has a copy. */
static void leader_carries(void **state)
{
    (void)state;
    for (int lost = 0; lost < 3; lost++) {
        jobs_survive(91 + (uint64_t)lost, FLEET_CONTROLLER, 0, lost, true);
        jobs_survive(94 + (uint64_t)lost, FLEET_CONTROLLER, 0, lost, false);
    }
}

/* A controller that does not lead received the requests; it loses its memory with the other controllers. */
static void follower_carries(void **state)
{
    (void)state;
    for (int lost = 0; lost < 3; lost++) {
        jobs_survive(101 + (uint64_t)lost, FLEET_CONTROLLER, 1, lost, true);
        jobs_survive(104 + (uint64_t)lost, FLEET_CONTROLLER, 2, lost, false);
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
