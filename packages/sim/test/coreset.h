#ifndef SIM_TEST_CORESET_H
#define SIM_TEST_CORESET_H

/* Three cores whose disks keep what they have synced, looked at from inside. */
#include "inside.h"
#include "sim/fleet.h"

#define FILLER 60000 /* number of a change that no state knows: it is kept in the log and does nothing */

static inline View *viewOf(Fleet *fleet, int core)
{
    return core_view(fleetNode(fleet, FLEET_CORE, core)->core);
}

static inline bool runs(Fleet *fleet, int core)
{
    const FleetNode *node = fleetNode(fleet, FLEET_CORE, core);
    return node->up && node->core != NULL && simAlive(fleet->world, node->machine);
}

static inline Fleet *begin(uint64_t seed)
{
    const FleetSite site = {.zones = 3, .losses = 1, .gate_seeds = 1, .votes = true, .disks_keep = true};
    Fleet *fleet = fleetNewAt(NULL, seed, (FleetShape){3, 1, 1, MIX_TRENTVALE, 0}, &site);
    fleetStart(fleet);
    assert_true(fleetSettle(fleet, 30000) && fleetConfigure(fleet));
    return fleet;
}

static inline void offer(Fleet *fleet, int count, size_t bytes)
{
    const int leader = fleetLeader(fleet);
    if (leader < 0)
        return;
    void *mem = talloc_new(NULL);
    const Bytes payload = {talloc_zero_size(mem, bytes + 1), bytes, 0};
    for (int i = 0; i < count; i++)
        if (view_leading(viewOf(fleet, leader)))
            view_offer(viewOf(fleet, leader), FILLER, payload);
    talloc_free(mem);
}

static inline bool seated(Fleet *fleet, int core)
{
    const int leader = fleetLeader(fleet);
    return leader >= 0 && runs(fleet, core) && view_seat_of(viewOf(fleet, leader), view_disk(viewOf(fleet, core))) >= 0;
}

#endif
