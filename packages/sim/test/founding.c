/* Founding: the first start of all processes gives exactly one cluster with the wanted number of voters, and soon. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define SERVES_MS 3000       /* a leader accepts changes within this time after the last start */
#define VOTERS_GIVEN_MS 4000 /* the cluster has the wanted number of voters within this time after the last start */

/* Null when the controller does not run. */
static const Replication *replication_of(Fleet *fleet, int controller)
{
    const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, controller);
    return node->up && node->controller != NULL ? controller_replication(node->controller) : NULL;
}

/* Number of different clusters that the controllers belong to. */
static int count_clusters(Fleet *fleet)
{
    uint64_t known[FLEET_ROLE_NODES_MAX];
    int count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const Replication *replication = replication_of(fleet, i);
        const uint64_t cluster = replication != NULL ? replication_cluster(replication) : 0;
        bool again = cluster == 0;
        for (int k = 0; k < count; k++)
            again |= known[k] == cluster;
        if (!again)
            known[count++] = cluster;
    }
    return count;
}

/* Number of voters in the leader's list; most receives the highest number of them in one zone. */
static size_t count_voters(Fleet *fleet, size_t *most)
{
    uint64_t disks[VOTERS_MAX];
    const int leader = fleet_leader(fleet);
    const size_t count = leader >= 0 ? replication_voters(replication_of(fleet, leader), disks) : 0;
    *most = 0;
    for (size_t s = 0; s < count; s++) {
        const char *zones[VOTERS_MAX] = {0};
        size_t same = 0;
        for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
            for (size_t k = 0; k < count; k++)
                if (replication_of(fleet, i) != NULL && replication_disk(replication_of(fleet, i)) == disks[k])
                    zones[k] = fleet_node(fleet, FLEET_CONTROLLER, i)->settings.zone;
        for (size_t k = 0; k < count; k++)
            same += zones[s] != NULL && zones[k] != NULL && strcmp(zones[s], zones[k]) == 0;
        *most = same > *most ? same : *most;
    }
    return count;
}

/* Number of voters in the leader's view. */
static size_t count_in_view(Fleet *fleet)
{
    ReplicationStatus reach;
    size_t count = 0;
    replication_status(replication_of(fleet, fleet_leader(fleet)), &reach);
    for (size_t i = 0; i < reach.voter_count; i++)
        count += reach.voters[i].in_view;
    return count;
}

/* Asserts, for twelve seeds, that the fleet founds one cluster with the wanted number of voters, of which no zone has a
 * majority. */
static void assert_founds(FleetShape shape, FleetSite site, size_t wanted)
{
    for (uint64_t seed = 1; seed <= 12; seed++) {
        site.stagger_ms = 1 + (int64_t)(seed % 4) * 400;
        Fleet *fleet = fleet_new_with_site(NULL, seed, shape, &site);
        fleet_start(fleet);
        fleet_run(fleet, site.stagger_ms + SERVES_MS);
        if (fleet_leader(fleet) < 0)
            fleet_dump(fleet);
        assert_true(fleet_leader(fleet) >= 0);
        fleet_run(fleet, VOTERS_GIVEN_MS - SERVES_MS);
        size_t most;
        if (count_voters(fleet, &most) != wanted || count_in_view(fleet) != wanted)
            fleet_dump(fleet);
        assert_int_equal(count_voters(fleet, &most), wanted);
        assert_true(wanted < 3 || most < wanted / 2 + 1);
        assert_int_equal(count_in_view(fleet), wanted);
        assert_true(fleet_configure(fleet));
        assert_int_equal(count_clusters(fleet), 1);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

static void three_disks(void **state)
{
    (void)state;
    assert_founds((FleetShape){3, 3, 4, MIX_TRENTVALE, 0},
                  (FleetSite){.zones = 3, .losses = 1, .founded_by_votes = true}, 3);
}

static void six_disks(void **state)
{
    (void)state;
    assert_founds((FleetShape){6, 4, 6, MIX_ATLAS, 0}, (FleetSite){.zones = 3, .losses = 2, .founded_by_votes = true},
                  5);
}

static void eight_disks(void **state)
{
    (void)state;
    assert_founds((FleetShape){8, 5, 8, MIX_TRENTVALE, 0},
                  (FleetSite){.zones = 4, .losses = 2, .founded_by_votes = true}, 5);
}

/* One disk more than the losses to tolerate require: it stays without a vote. */
static void four_disks(void **state)
{
    (void)state;
    assert_founds((FleetShape){4, 3, 4, MIX_TRENTVALE, 0},
                  (FleetSite){.zones = 3, .losses = 1, .founded_by_votes = true}, 3);
}

/* Two losses to tolerate require five voters, but there are four disks: three vote, as four voters tolerate no more
 * losses than three do. */
static void four_of_five(void **state)
{
    (void)state;
    assert_founds((FleetShape){4, 3, 4, MIX_TRENTVALE, 0},
                  (FleetSite){.zones = 3, .losses = 2, .founded_by_votes = true}, 3);
}

/* One of the three seeds is an entry point, which has no vote. */
static void diskless_seed(void **state)
{
    (void)state;
    assert_founds((FleetShape){3, 3, 4, MIX_TRENTVALE, 0},
                  (FleetSite){.zones = 3, .losses = 1, .founded_by_votes = true, .entry_point_seeds = 1}, 3);
}

/* All three seeds are entry points. */
static void diskless_seeds(void **state)
{
    (void)state;
    assert_founds((FleetShape){6, 4, 4, MIX_TRENTVALE, 0},
                  (FleetSite){.zones = 3, .losses = 2, .founded_by_votes = true, .entry_point_seeds = 3}, 5);
}

/* Random links between controllers, and between controllers and seeds, are cut: there must still be at most one
 * cluster, and one with three voters once the links are back. */
static void cut_apart(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 30; seed++) {
        const FleetSite site = {
            .zones = 3, .losses = 1, .founded_by_votes = true, .entry_point_seeds = 3, .stagger_ms = 800};
        Fleet *fleet = fleet_new_with_site(NULL, seed, (FleetShape){4, 3, 2, MIX_TRENTVALE, 0}, &site);
        fleet_start(fleet);
        for (int a = 0; a < 4; a++) {
            for (int b = 0; b < 4; b++)
                sim_link_cut(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, a)->machine,
                             fleet_node(fleet, FLEET_CONTROLLER, b)->machine, sim_random(fleet->world) % 2 == 0);
            for (int g = 0; g < 3; g++) {
                const bool cut = sim_random(fleet->world) % 3 == 0;
                sim_link_cut(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, a)->machine,
                             fleet_node(fleet, FLEET_ENTRY_POINT, g)->machine, cut);
            }
        }
        for (int i = 0; i < 60; i++) {
            fleet_run(fleet, 100);
            assert_true(count_clusters(fleet) <= 1);
        }
        for (int a = 0; a < 4; a++) {
            for (int b = 0; b < 4; b++)
                sim_link_cut(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, a)->machine,
                             fleet_node(fleet, FLEET_CONTROLLER, b)->machine, false);
            for (int g = 0; g < 3; g++)
                sim_link_cut(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, a)->machine,
                             fleet_node(fleet, FLEET_ENTRY_POINT, g)->machine, false);
        }
        fleet_run(fleet, 8000);
        assert_int_equal(count_clusters(fleet), 1);
        size_t most;
        if (fleet_leader(fleet) < 0 || count_voters(fleet, &most) != 3)
            fleet_dump(fleet);
        assert_true(fleet_leader(fleet) >= 0);
        assert_int_equal(count_voters(fleet, &most), 3);
        talloc_free(fleet);
    }
}

/* The founding controller is killed at various steps of the founding and restarted with its disk. */
static void founder_killed(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 30; seed++) {
        const FleetSite site = {.zones = 3, .losses = 1, .founded_by_votes = true};
        Fleet *fleet = fleet_new_with_site(NULL, 7, (FleetShape){3, 3, 2, MIX_TRENTVALE, 0}, &site);
        fleet_start(fleet);
        int founder = -1;
        for (int i = 0; i < 300 && founder < 0; i++) {
            fleet_run(fleet, 10);
            for (int c = 0; c < 3; c++)
                if (replication_of(fleet, c) != NULL && replication_cluster(replication_of(fleet, c)) != 0)
                    founder = c;
        }
        assert_true(founder >= 0);
        for (uint64_t i = 0; i < seed * 3; i++)
            sim_run_turn(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, founder)->machine,
                         sim_now_ms(fleet->world) + 1000);
        fleet_kill(fleet, FLEET_CONTROLLER, founder);
        fleet_run(fleet, 500);
        fleet_start_node(fleet, FLEET_CONTROLLER, founder);
        fleet_run(fleet, 6000);
        size_t most;
        if (fleet_leader(fleet) < 0 || count_voters(fleet, &most) != 3)
            fleet_dump(fleet);
        assert_true(fleet_leader(fleet) >= 0);
        assert_int_equal(count_voters(fleet, &most), 3);
        assert_int_equal(count_clusters(fleet), 1);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

/* Processes whose settings do not allow founding found no cluster. */
static void not_the_first_start(void **state)
{
    (void)state;
    Fleet *fleet =
        fleet_new_with_site(NULL, 5, (FleetShape){3, 3, 2, MIX_TRENTVALE, 0}, &(FleetSite){.zones = 3, .losses = 1});
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            fleet_node(fleet, (FleetRole)role, i)->settings.cluster_settings.founds = 0;
    fleet_start(fleet);
    fleet_run(fleet, 15000);
    assert_int_equal(count_clusters(fleet), 0);
    assert_int_equal(fleet_leader(fleet), -1);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(three_disks),         cmocka_unit_test(six_disks),    cmocka_unit_test(eight_disks),
        cmocka_unit_test(four_disks),          cmocka_unit_test(four_of_five), cmocka_unit_test(diskless_seed),
        cmocka_unit_test(diskless_seeds),      cmocka_unit_test(cut_apart),    cmocka_unit_test(founder_killed),
        cmocka_unit_test(not_the_first_start),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
