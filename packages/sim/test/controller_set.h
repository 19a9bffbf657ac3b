#ifndef SIM_TEST_CONTROLLER_SET_H
#define SIM_TEST_CONTROLLER_SET_H

/* Fixture of tests that read the replication state of controllers directly: a fleet of three controllers whose disks
 * keep everything that they have synced. */
#include "inside.h"
#include "sim/fleet.h"

/* Number of a change that the state does not know: the change is kept in the log and has no effect. */
#define UNKNOWN_CHANGE 60000

static inline Replication *replication_of(Fleet *fleet, int controller)
{
    return controller_replication(fleet_node(fleet, FLEET_CONTROLLER, controller)->controller);
}

/* Whether the controller's process runs and has finished its start. */
static inline bool runs(Fleet *fleet, int controller)
{
    const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, controller);
    return node->up && node->controller != NULL && sim_running(fleet->world, node->machine);
}

/* A fleet with a leader and its configuration. */
static inline Fleet *begin(uint64_t seed)
{
    const FleetSite site = {
        .zones = 3, .losses = 1, .entry_point_seeds = 1, .founded_by_votes = true, .disks_keep = true};
    Fleet *fleet = fleet_new_with_site(NULL, seed, (FleetShape){3, 1, 1, MIX_TRENTVALE, 0}, &site);
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000) && fleet_configure(fleet));
    return fleet;
}

/* Submits count changes of the given payload size to the leader, without waiting for their commit. Does nothing when
 * there is no leader. */
static inline void offer(Fleet *fleet, int count, size_t bytes)
{
    const int leader = fleet_leader(fleet);
    if (leader < 0)
        return;
    void *mem = talloc_new(NULL);
    const Bytes payload = {talloc_zero_size(mem, bytes + 1), bytes, 0};
    for (int i = 0; i < count; i++)
        if (replication_leading(replication_of(fleet, leader)))
            replication_submit_async(replication_of(fleet, leader), UNKNOWN_CHANGE, payload);
    talloc_free(mem);
}

/* Whether the leader's list of voters has the controller's disk. */
static inline bool is_voter(Fleet *fleet, int controller)
{
    const int leader = fleet_leader(fleet);
    return leader >= 0 && runs(fleet, controller) &&
           replication_voter_of(replication_of(fleet, leader), replication_disk(replication_of(fleet, controller))) >=
               0;
}

#endif
