/* Disk machines replaced and lost one after another, at the shortest span that may lie
 * between two losses: each time a learner has the vote before the next one goes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define SYNC_MS 4000     /* ms; a loss counts for so long after the machine's return */
#define FOLLOWED_MS 2000 /* ms; a core that starts follows the log after this: founding and one snapshot */
#define SERVED_MS 6000   /* ms; after a loss another core leads within this */

static const FleetSite ONE_LOSS = {
    .zones = 3, .losses = 1, .votes = true, .disksKeep = true, .seatBackMs = SYNC_MS, .staggerMs = 500};

static Fleet *begin(uint64_t seed, FleetShape shape, const FleetSite *site)
{
    Fleet *fleet = fleetNewAt(NULL, seed, shape, site);
    fleetStart(fleet);
    assert_true(fleetSettle(fleet, 20000) && fleetConfigure(fleet));
    checkerConfigSet(fleet->checker, 1);
    fleetRun(fleet, SYNC_MS);
    return fleet;
}

static void finish(Fleet *fleet)
{
    if (checkerBrokenAll(fleet->checker) > 0)
        fleetDump(fleet);
    assert_int_equal(checkerBrokenAll(fleet->checker), 0);
    talloc_free(fleet);
}

/* A core that leads is there within the span; else shows what all have said. */
static void mustLead(Fleet *fleet, const char *when)
{
    const int64_t untilMs = simNowMs(fleet->world) + SERVED_MS;
    while (fleetLeader(fleet) < 0 && simNowMs(fleet->world) < untilMs)
        fleetRun(fleet, 50);
    if (fleetLeader(fleet) >= 0)
        return;
    fleetDump(fleet);
    fail_msg("nobody leads %s", when);
}

/* A core of those that run, which is not the one to spare; the leader when asked for. */
static int drawn(Fleet *fleet, int spared, bool leader)
{
    const int leads = fleetLeader(fleet);
    if (leader && leads != spared)
        return leads;
    for (;;) {
        const int core = (int)(simRandom(fleet->world) % (uint64_t)fleet->nodeCount[FLEET_CORE]);
        if (fleetNode(fleet, FLEET_CORE, core)->up && core != spared)
            return core;
    }
}

/* The new core stands ready before the old one is told to go; the next loss comes
 * as soon as it may. */
static void plannedThenLost(uint64_t seed, bool leaderGoes, bool leaderLost)
{
    Fleet *fleet = begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 1}, &ONE_LOSS);
    const int fresh = 3;
    fleetStartNode(fleet, FLEET_CORE, fresh);
    fleetRun(fleet, FOLLOWED_MS);
    fleetLeave(fleet, FLEET_CORE, drawn(fleet, fresh, leaderGoes));
    fleetRun(fleet, SYNC_MS);
    mustLead(fleet, "after a planned replacement");
    fleetPowerOff(fleet, FLEET_CORE, drawn(fleet, fresh, leaderLost));
    fleetRun(fleet, 1000);
    mustLead(fleet, "after a planned replacement and one more loss");
    finish(fleet);
}

static void plannedThenLoss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++)
        plannedThenLost(seed, seed % 2 == 0, seed / 2 % 2 == 0);
}

/* One that has stood ready all the while takes the vote of one that is lost with no notice. */
static void standbyThenLoss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        for (int loss = 0; loss < 2; loss++) {
            fleetPowerOff(fleet, FLEET_CORE, drawn(fleet, -1, (seed + (uint64_t)loss) % 2 == 0));
            fleetRun(fleet, SYNC_MS);
            mustLead(fleet, "after losses without notice");
        }
        finish(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(plannedThenLoss),
        cmocka_unit_test(standbyThenLoss),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
