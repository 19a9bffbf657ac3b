#ifndef SIM_TEST_CONTROLLER_SET_H
#define SIM_TEST_CONTROLLER_SET_H

/* Three controllers whose disks keep what they have synced, looked at from inside. */
#include "inside.h"
#include "sim/fleet.h"

#define FILLER 60000 /* number of a change that no state knows: it is kept in the log and does nothing */

static inline Replication *replication_of(Fleet *fleet, int controller)
{
    return controller_replication(fleet_node(fleet, FLEET_CONTROLLER, controller)->controller);
}

static inline bool runs(Fleet *fleet, int controller)
{
    const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, controller);
    return node->up && node->controller != NULL && sim_running(fleet->world, node->machine);
}

static inline Fleet *begin(uint64_t seed)
{
    const FleetSite site = {
        .zones = 3, .losses = 1, .entry_point_seeds = 1, .founded_by_votes = true, .disks_keep = true};
    Fleet *fleet = fleet_new_with_site(NULL, seed, (FleetShape){3, 1, 1, MIX_TRENTVALE, 0}, &site);
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000) && fleet_configure(fleet));
    return fleet;
}

static inline void offer(Fleet *fleet, int count, size_t bytes)
{
    const int leader = fleet_leader(fleet);
    if (leader < 0)
        return;
    void *mem = talloc_new(NULL);
    const Bytes payload = {talloc_zero_size(mem, bytes + 1), bytes, 0};
    for (int i = 0; i < count; i++)
        if (replication_leading(replication_of(fleet, leader)))
            replication_submit_async(replication_of(fleet, leader), FILLER, payload);
    talloc_free(mem);
}

static inline bool is_voter(Fleet *fleet, int controller)
{
    const int leader = fleet_leader(fleet);
    return leader >= 0 && runs(fleet, controller) &&
           replication_voter_of(replication_of(fleet, leader), replication_disk(replication_of(fleet, controller))) >=
               0;
}

#endif
