#ifndef REPLICATION_TEST_OLD_DISK_H
#define REPLICATION_TEST_OLD_DISK_H

/* Fleets whose disks are the journals of packages/replication/test/fixtures, which an earlier release wrote. */
#include <stdio.h>

#include "controller_set.h"

#define PATH "data/journal"
#define FIXTURES "packages/replication/test/fixtures"
#define CONTROLLERS 4
#define FIXTURE_MAX_BYTES 4096 /* limit of the size of a fixture, in bytes */

/* Reads the fixture of this name; allocated on mem. */
static inline Bytes fixture(void *mem, const char *name)
{
    Bytes bytes = {talloc_size(mem, FIXTURE_MAX_BYTES), 0, FIXTURE_MAX_BYTES};
    FILE *file = fopen(talloc_asprintf(mem, FIXTURES "/%s", name), "rb");
    if (file == NULL)
        fail_msg("cannot open %s/%s; run the test from the root of the source tree", FIXTURES, name);
    bytes.count = fread(bytes.data, 1, FIXTURE_MAX_BYTES, file);
    fclose(file);
    assert_in_range(bytes.count, 1, FIXTURE_MAX_BYTES - 1);
    return bytes;
}

/* Four controllers, the last one without a vote, as in the fixtures. */
static inline Fleet *fleet_of(void)
{
    const FleetSite site = {
        .zones = 3, .losses = 1, .entry_point_seeds = 1, .founded_by_votes = true, .disks_keep = true};
    return fleet_new_with_site(NULL, 2, (FleetShape){CONTROLLERS, 1, 0, MIX_VARIED, 0}, &site);
}

/* Replaces the controller's journal by the fixture. */
static inline void put(Fleet *fleet, int controller, const char *name)
{
    const int machine = fleet_node(fleet, FLEET_CONTROLLER, controller)->machine;
    fleet_start_node(fleet, FLEET_CONTROLLER, controller);
    fleet_run(fleet, 20);
    fleet_kill(fleet, FLEET_CONTROLLER, controller);
    Bytes *file = sim_disk_content(fleet->world, machine, PATH);
    const Bytes bytes = fixture(fleet, name);
    file->count = 0;
    bytes_add(fleet->world, file, bytes.data, bytes.count);
}

/* Starts the controller with the fixture on its disk, isolated from all others. */
static inline Replication *opened(Fleet *fleet, int controller, const char *name)
{
    put(fleet, controller, name);
    fleet_node_cut(fleet, FLEET_CONTROLLER, controller, true);
    fleet_start_node(fleet, FLEET_CONTROLLER, controller);
    fleet_run(fleet, 100);
    if (!runs(fleet, controller))
        fleet_dump(fleet);
    assert_true(runs(fleet, controller));
    return replication_of(fleet, controller);
}

#endif
