/* The first start of all: exactly one cluster, with the seats that are wanted, soon. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define SERVES_MS 3000 /* ms; a leader that takes changes is there so long after the last start */
#define SEATED_MS 4000 /* ms; ... and has given all the seats that are wanted */

static const View *viewOf(Fleet *fleet, int core)
{
    const FleetNode *node = fleetNode(fleet, FLEET_CORE, core);
    return node->up && node->core != NULL ? core_view(node->core) : NULL;
}

/* Clusters known to the cores; they must be one. */
static int clusters(Fleet *fleet)
{
    uint64_t known[FLEET_EACH_MAX];
    int count = 0;
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        const View *view = viewOf(fleet, i);
        const uint64_t cluster = view != NULL ? view_cluster(view) : 0;
        bool again = cluster == 0;
        for (int k = 0; k < count; k++)
            again |= known[k] == cluster;
        if (!again)
            known[count++] = cluster;
    }
    return count;
}

/* Seats as the leader has them; most: in one zone. */
static size_t seats(Fleet *fleet, size_t *most)
{
    uint64_t disks[SEAT_MOST];
    const int leader = fleetLeader(fleet);
    const size_t count = leader >= 0 ? view_seats(viewOf(fleet, leader), disks) : 0;
    *most = 0;
    for (size_t s = 0; s < count; s++) {
        const char *zones[SEAT_MOST] = {0};
        size_t same = 0;
        for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++)
            for (size_t k = 0; k < count; k++)
                if (viewOf(fleet, i) != NULL && view_disk(viewOf(fleet, i)) == disks[k])
                    zones[k] = fleetNode(fleet, FLEET_CORE, i)->props.zone;
        for (size_t k = 0; k < count; k++)
            same += zones[s] != NULL && zones[k] != NULL && strcmp(zones[s], zones[k]) == 0;
        *most = same > *most ? same : *most;
    }
    return count;
}

/* Seats in the leader's view. */
static size_t in_view(Fleet *fleet)
{
    ViewSight sight;
    size_t count = 0;
    view_sight(viewOf(fleet, fleetLeader(fleet)), &sight);
    for (size_t i = 0; i < sight.seat_count; i++)
        count += sight.seats[i].in_view;
    return count;
}

static void founds(FleetShape shape, FleetSite site, size_t wanted)
{
    for (uint64_t seed = 1; seed <= 12; seed++) {
        site.staggerMs = 1 + (int64_t)(seed % 4) * 400;
        Fleet *fleet = fleetNewAt(NULL, seed, shape, &site);
        fleetStart(fleet);
        fleetRun(fleet, site.staggerMs + SERVES_MS);
        if (fleetLeader(fleet) < 0)
            fleetDump(fleet);
        assert_true(fleetLeader(fleet) >= 0);
        fleetRun(fleet, SEATED_MS - SERVES_MS);
        size_t most;
        if (seats(fleet, &most) != wanted || in_view(fleet) != wanted)
            fleetDump(fleet);
        assert_int_equal(seats(fleet, &most), wanted);
        assert_true(wanted < 3 || most < wanted / 2 + 1);
        assert_int_equal(in_view(fleet), wanted);
        assert_true(fleetConfigure(fleet));
        assert_int_equal(clusters(fleet), 1);
        assert_int_equal(checkerBrokenAll(fleet->checker), 0);
        talloc_free(fleet);
    }
}

static void threeDisks(void **state)
{
    (void)state;
    founds((FleetShape){3, 3, 4, MIX_TRENTVALE, 0}, (FleetSite){.zones = 3, .losses = 1, .votes = true}, 3);
}

static void sixDisks(void **state)
{
    (void)state;
    founds((FleetShape){6, 4, 6, MIX_ATLAS, 0}, (FleetSite){.zones = 3, .losses = 2, .votes = true}, 5);
}

static void eightDisks(void **state)
{
    (void)state;
    founds((FleetShape){8, 5, 8, MIX_TRENTVALE, 0}, (FleetSite){.zones = 4, .losses = 2, .votes = true}, 5);
}

/* Beyond what losses ask for, disks stand ready. */
static void fourDisks(void **state)
{
    (void)state;
    founds((FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, (FleetSite){.zones = 3, .losses = 1, .votes = true}, 3);
}

/* Four seats bear no more losses than three. */
static void fourOfFive(void **state)
{
    (void)state;
    founds((FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, (FleetSite){.zones = 3, .losses = 2, .votes = true}, 3);
}

static void disklessSeed(void **state)
{
    (void)state;
    founds((FleetShape){3, 3, 4, MIX_TRENTVALE, 0},
           (FleetSite){.zones = 3, .losses = 1, .votes = true, .gate_seeds = 1}, 3);
}

static void disklessSeeds(void **state)
{
    (void)state;
    founds((FleetShape){6, 4, 4, MIX_TRENTVALE, 0},
           (FleetSite){.zones = 3, .losses = 2, .votes = true, .gate_seeds = 3}, 5);
}

/* Cores that do not hear of each other, and seeds of which each hears only some:
 * still one cluster, whoever gets the votes. */
static void cutApart(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 30; seed++) {
        const FleetSite site = {.zones = 3, .losses = 1, .votes = true, .gate_seeds = 3, .staggerMs = 800};
        Fleet *fleet = fleetNewAt(NULL, seed, (FleetShape){4, 3, 2, MIX_TRENTVALE, 0}, &site);
        fleetStart(fleet);
        for (int a = 0; a < 4; a++) {
            for (int b = 0; b < 4; b++)
                sim_cut(fleet->world, fleetNode(fleet, FLEET_CORE, a)->machine,
                        fleetNode(fleet, FLEET_CORE, b)->machine, simRandom(fleet->world) % 2 == 0);
            for (int g = 0; g < 3; g++) {
                const bool cut = simRandom(fleet->world) % 3 == 0;
                sim_cut(fleet->world, fleetNode(fleet, FLEET_CORE, a)->machine,
                        fleetNode(fleet, FLEET_GATE, g)->machine, cut);
            }
        }
        for (int i = 0; i < 60; i++) {
            fleetRun(fleet, 100);
            assert_true(clusters(fleet) <= 1);
        }
        for (int a = 0; a < 4; a++) {
            for (int b = 0; b < 4; b++)
                sim_cut(fleet->world, fleetNode(fleet, FLEET_CORE, a)->machine,
                        fleetNode(fleet, FLEET_CORE, b)->machine, false);
            for (int g = 0; g < 3; g++)
                sim_cut(fleet->world, fleetNode(fleet, FLEET_CORE, a)->machine,
                        fleetNode(fleet, FLEET_GATE, g)->machine, false);
        }
        fleetRun(fleet, 8000);
        assert_int_equal(clusters(fleet), 1);
        size_t most;
        if (fleetLeader(fleet) < 0 || seats(fleet, &most) != 3)
            fleetDump(fleet);
        assert_true(fleetLeader(fleet) >= 0);
        assert_int_equal(seats(fleet, &most), 3);
        talloc_free(fleet);
    }
}

/* The founder's process ends at some step of the founding, with its disk kept. */
static void founderKilled(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 30; seed++) {
        const FleetSite site = {.zones = 3, .losses = 1, .votes = true};
        Fleet *fleet = fleetNewAt(NULL, 7, (FleetShape){3, 3, 2, MIX_TRENTVALE, 0}, &site);
        fleetStart(fleet);
        int founder = -1;
        for (int i = 0; i < 300 && founder < 0; i++) {
            fleetRun(fleet, 10);
            for (int c = 0; c < 3; c++)
                if (viewOf(fleet, c) != NULL && view_cluster(viewOf(fleet, c)) != 0)
                    founder = c;
        }
        assert_true(founder >= 0);
        for (uint64_t i = 0; i < seed * 3; i++)
            simTurn(fleet->world, fleetNode(fleet, FLEET_CORE, founder)->machine, sim_now_ms(fleet->world) + 1000);
        fleetKill(fleet, FLEET_CORE, founder);
        fleetRun(fleet, 500);
        fleetStartNode(fleet, FLEET_CORE, founder);
        fleetRun(fleet, 6000);
        size_t most;
        if (fleetLeader(fleet) < 0 || seats(fleet, &most) != 3)
            fleetDump(fleet);
        assert_true(fleetLeader(fleet) >= 0);
        assert_int_equal(seats(fleet, &most), 3);
        assert_int_equal(clusters(fleet), 1);
        assert_int_equal(checkerBrokenAll(fleet->checker), 0);
        talloc_free(fleet);
    }
}

/* A process that is not told that this is the first start founds nothing. */
static void notTheFirstStart(void **state)
{
    (void)state;
    Fleet *fleet = fleetNewAt(NULL, 5, (FleetShape){3, 3, 2, MIX_TRENTVALE, 0}, &(FleetSite){.zones = 3, .losses = 1});
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            fleetNode(fleet, (FleetRole)role, i)->props.bounds.founds = 0;
    fleetStart(fleet);
    fleetRun(fleet, 15000);
    assert_int_equal(clusters(fleet), 0);
    assert_int_equal(fleetLeader(fleet), -1);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(threeDisks),       cmocka_unit_test(sixDisks),   cmocka_unit_test(eightDisks),
        cmocka_unit_test(fourDisks),        cmocka_unit_test(fourOfFive), cmocka_unit_test(disklessSeed),
        cmocka_unit_test(disklessSeeds),    cmocka_unit_test(cutApart),   cmocka_unit_test(founderKilled),
        cmocka_unit_test(notTheFirstStart),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
