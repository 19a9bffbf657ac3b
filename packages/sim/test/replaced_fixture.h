#ifndef SIM_TEST_REPLACED_FIXTURE_H
#define SIM_TEST_REPLACED_FIXTURE_H

/* Fixture of the tests in which controllers are replaced or leave. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define SYNC_MS 4000     /* a loss counts until this time after the machine's return */
#define CATCH_UP_MS 2000 /* a controller that starts follows the log within this time: founding and one snapshot */
#define TAKEOVER_MS 6000 /* another controller leads within this time after a loss */

/* One controller may be lost at a time. */
static const FleetSite ONE_LOSS = {
    .zones = 3, .losses = 1, .founded_by_votes = true, .disks_keep = true, .voter_back_ms = SYNC_MS, .stagger_ms = 500};

/* A fleet with a configuration that has run for SYNC_MS; it has no talloc parent. */
static inline Fleet *begin(uint64_t seed, FleetShape shape, const FleetSite *site)
{
    Fleet *fleet = fleet_new_with_site(NULL, seed, shape, site);
    /* a controller that is shut down ends as soon as it may */
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        fleet_node(fleet, FLEET_CONTROLLER, i)->settings.cluster_settings.unready_ms = 0;
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 20000) && fleet_configure(fleet));
    checker_config_acknowledged(fleet->checker, 1);
    fleet_run(fleet, SYNC_MS);
    return fleet;
}

/* Fails if a safety property is broken, otherwise frees the fleet. */
static inline void finish(Fleet *fleet)
{
    if (checker_violations_total(fleet->checker) > 0)
        fleet_dump(fleet);
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

/* Fails, and prints all flight recorders, unless a controller leads within TAKEOVER_MS. when: for the message. */
static inline void must_lead(Fleet *fleet, const char *when)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + TAKEOVER_MS;
    while (fleet_leader(fleet) < 0 && sim_now_ms(fleet->world) < until_ms)
        fleet_run(fleet, 50);
    if (fleet_leader(fleet) >= 0)
        return;
    fleet_dump(fleet);
    fail_msg("no controller leads %s", when);
}

/* A random controller that runs, or the leader if leader is set; never the controller spared (-1: none). */
static inline int pick_controller(Fleet *fleet, int spared, bool leader)
{
    const int leads = fleet_leader(fleet);
    if (leader && leads != spared)
        return leads;
    for (;;) {
        const int controller = (int)(sim_random(fleet->world) % (uint64_t)fleet->node_count[FLEET_CONTROLLER]);
        if (fleet_node(fleet, FLEET_CONTROLLER, controller)->up && controller != spared)
            return controller;
    }
}

/* Whether the controller's disk is in the leader's list of voters. */
static inline bool votes(Fleet *fleet, int controller)
{
    uint64_t disks[VOTERS_MAX];
    const int leader = fleet_leader(fleet);
    const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, controller);
    assert_true(leader >= 0 && node->controller != NULL);
    const size_t count =
        replication_voters(controller_replication(fleet_node(fleet, FLEET_CONTROLLER, leader)->controller), disks);
    bool found = false;
    for (size_t i = 0; i < count; i++)
        found |= disks[i] == replication_disk(controller_replication(node->controller));
    return found;
}

/* A voter that runs: the leader, or a random other one. */
static inline int pick_voter(Fleet *fleet, bool leader)
{
    for (;;) {
        const int controller = pick_controller(fleet, -1, leader);
        if (votes(fleet, controller) && (controller == fleet_leader(fleet)) == leader)
            return controller;
    }
}

#endif
