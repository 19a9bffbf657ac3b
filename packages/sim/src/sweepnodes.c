/* Failures of machines, disks, clocks and links. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "sweepact.h"

static const char *const ZONES[] = {"north", "south", "west"};

static int votersAlive(const Sweep *sweep)
{
    int count = 0;
    for (int i = 0; i < sweep->fleet->nodeCount[FLEET_CORE]; i++)
        count += simAlive(sweep->fleet->world, sweep->fleet->nodes[FLEET_CORE][i].machine);
    return count;
}

/* Seats that the site wants and no running core with a good disk has. */
static int votersMissing(Sweep *sweep)
{
    return 2 * sweep->fleet->site.losses + 1 - fleetSeats(sweep->fleet);
}

void actKill(Sweep *sweep)
{
    FleetNode *node = sweepAny(sweep);
    if (node->role == FLEET_CORE && votersAlive(sweep) < sweep->fleet->shape.cores && sweepDraw(sweep, 3) != 0)
        return;
    sweepSay(sweep, "kill %s", node->props.name);
    fleetKill(sweep->fleet, node->role, node->number);
}

void actPowerOff(Sweep *sweep)
{
    FleetNode *node = sweepAny(sweep);
    if (sweep->liars && sweepDraw(sweep, 2) == 0) {
        sweepSay(sweep, "power lost at all seats");
        for (int i = 0; i < sweep->fleet->nodeCount[FLEET_CORE]; i++)
            fleetPowerOff(sweep->fleet, FLEET_CORE, i);
        fleetRun(sweep->fleet, (int64_t)sweepDraw(sweep, 1500));
        sweepStartAll(sweep);
        return;
    }
    sweepSay(sweep, "power off %s", node->props.name);
    fleetPowerOff(sweep->fleet, node->role, node->number);
}

void actFreeze(Sweep *sweep)
{
    FleetNode *node = sweepAny(sweep);
    const int64_t for_ms = 200 + (int64_t)sweepDraw(sweep, 6000);
    sweepSay(sweep, "freeze %s for %" PRId64, node->props.name, for_ms);
    fleetFreeze(sweep->fleet, node->role, node->number, for_ms);
}

void actCutOff(Sweep *sweep)
{
    FleetNode *node = sweepAny(sweep);
    sweepSay(sweep, "cut off %s", node->props.name);
    fleetIsolate(sweep->fleet, node->role, node->number, true);
}

void actCutOneWay(Sweep *sweep)
{
    const FleetNode *from = sweepAny(sweep), *to = sweepAny(sweep);
    sweepSay(sweep, "cut %s > %s", from->props.name, to->props.name);
    sim_cut(sweep->fleet->world, from->machine, to->machine, true);
}

/* A link that comes and goes, both ways or one. */
void actFlap(Sweep *sweep)
{
    const FleetNode *a = sweepAny(sweep), *b = sweepNode(sweep, FLEET_CORE);
    const bool both = sweepDraw(sweep, 2) == 0;
    const int64_t eachMs = 50 + (int64_t)sweepDraw(sweep, 900);
    sweepSay(sweep, "flap %s %s %s each %" PRId64, a->props.name, both ? "<>" : ">", b->props.name, eachMs);
    for (int i = 0; i < 8; i++) {
        sim_cut(sweep->fleet->world, a->machine, b->machine, i % 2 == 0);
        if (both)
            sim_cut(sweep->fleet->world, b->machine, a->machine, i % 2 == 0);
        fleetRun(sweep->fleet, eachMs);
    }
}

void actJoinAll(Sweep *sweep)
{
    sweepSay(sweep, "all joined");
    sweepJoinAll(sweep);
}

void actStartAll(Sweep *sweep)
{
    sweepSay(sweep, "all started");
    sweepStartAll(sweep);
}

void actDiskSlow(Sweep *sweep)
{
    const FleetNode *core = sweepNode(sweep, FLEET_CORE);
    const int64_t sync_ms = sweepDraw(sweep, 2) ? 3 : (int64_t)sweepDraw(sweep, 4000);
    sweepSay(sweep, "disk of %s takes %" PRId64, core->props.name, sync_ms);
    sim_disk_slow(sweep->fleet->world, core->machine, sync_ms);
}

/* Full, or failing: nothing is written until it works again. */
void actDiskFails(Sweep *sweep)
{
    const FleetNode *core = sweepNode(sweep, FLEET_CORE);
    const bool fails = sweepDraw(sweep, 2) == 0;
    sweepSay(sweep, "disk of %s %s", core->props.name, fails ? "fails" : "works");
    sim_disk_fail(sweep->fleet->world, core->machine, fails);
}

/* A journal torn or spoilt while its core is down. One spoilt before its end is
 * refused, so that core starts with an empty disk: it has been replaced. */
void actDiskSpoilt(Sweep *sweep)
{
    FleetNode *core = sweepNode(sweep, FLEET_CORE);
    if (votersMissing(sweep) >= sweep->fleet->site.losses) /* so many disks may be lost, not one more */
        return;
    fleetPowerOff(sweep->fleet, FLEET_CORE, core->number);
    Bytes *journal = sim_disk_content(sweep->fleet->world, core->machine, "data/journal");
    const bool torn = sweepDraw(sweep, 2) == 0 && !sweep->fleet->site.disks_keep;
    if (torn && journal->count > 600) {
        const size_t cut = 1 + (size_t)sweepDraw(sweep, 300);
        sweepSay(sweep, "%s loses the last %zu bytes", core->props.name, cut);
        journal->count -= cut;
    } else {
        sweepSay(sweep, "%s's disk is spoilt and emptied", core->props.name);
        simDiskWipe(sweep->fleet->world, core->machine);
    }
    fleetRun(sweep->fleet, 500 + (int64_t)sweepDraw(sweep, 2000));
    fleetStartNode(sweep->fleet, FLEET_CORE, core->number);
}

/* One machine's wall clock is off at a time: the median of three is right. */
void actClockJump(Sweep *sweep)
{
    const FleetNode *node = sweepAny(sweep);
    const int64_t byMs = (int64_t)sweepDraw(sweep, 7200000) - 3600000;
    if (sweep->jumped >= 0) {
        sweepSay(sweep, "the clock that was off is set right");
        simClockRight(sweep->fleet->world, sweep->jumped);
        sweep->jumped = -1;
        return;
    }
    sweepSay(sweep, "clock of %s jumps by %" PRId64, node->props.name, byMs);
    simJump(sweep->fleet->world, node->machine, byMs);
    sweep->jumped = node->machine;
}

static void zoneEach(Sweep *sweep, const char *zone, void (*fn)(Fleet *, FleetRole, int))
{
    Fleet *fleet = sweep->fleet;
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            if (strcmp(fleet->nodes[role][i].props.zone, zone) == 0 && !(sweep->liars && role != FLEET_CORE))
                fn(fleet, (FleetRole)role, i);
}

void actZoneOff(Sweep *sweep)
{
    const char *zone = ZONES[sweepDraw(sweep, 3)];
    sweepSay(sweep, "zone %s has no power", zone);
    zoneEach(sweep, zone, fleetPowerOff);
}

void actZoneCut(Sweep *sweep)
{
    const char *zone = ZONES[sweepDraw(sweep, 3)];
    if (sweep->liars)
        return;
    sweepSay(sweep, "zone %s is cut off", zone);
    fleetZoneCut(sweep->fleet, zone, true);
}

/* No seat for anybody, for a while: the paper's second rule, and its end. */
void actStoreGone(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    const int64_t for_ms = 1000 + (int64_t)sweepDraw(sweep, 7000);
    sweepSay(sweep, "cores reach no core for %" PRId64, for_ms);
    for (int turn = 0; turn < 2; turn++) {
        for (int a = 0; a < fleet->nodeCount[FLEET_CORE]; a++)
            for (int b = 0; b < fleet->nodeCount[FLEET_CORE]; b++)
                sim_cut(fleet->world, fleet->nodes[FLEET_CORE][a].machine, fleet->nodes[FLEET_CORE][b].machine,
                        turn == 0);
        if (turn == 0)
            fleetRun(fleet, for_ms);
    }
}

void actAllKilled(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    if (sweep->liars)
        return;
    sweepSay(sweep, "everything is killed");
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            fleetKill(fleet, (FleetRole)role, i);
    fleetRun(fleet, (int64_t)sweepDraw(sweep, 4000));
    sweepStartAll(sweep);
}

/* A core goes for good; an empty one at a new address comes, its seeds others. */
void actCoreReplaced(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    const int spare = fleet->shape.cores + (int)sweepDraw(sweep, (uint64_t)fleet->shape.spares);
    FleetNode *gone = fleetNode(fleet, FLEET_CORE, (int)sweepDraw(sweep, (uint64_t)fleet->shape.cores));
    if (simAlive(fleet->world, fleet->nodes[FLEET_CORE][spare].machine) || votersMissing(sweep) >= fleet->site.losses)
        return;
    sweepSay(sweep, "%s is gone for good, empty %s comes", gone->props.name,
             fleet->nodes[FLEET_CORE][spare].props.name);
    fleetPowerOff(fleet, FLEET_CORE, gone->number);
    simDiskWipe(fleet->world, gone->machine);
    fleetStartNode(fleet, FLEET_CORE, spare);
}

void actLinksSlow(Sweep *sweep)
{
    const int64_t most_ms = sweepDraw(sweep, 2) ? 3 : 5 + (int64_t)sweepDraw(sweep, 55);
    sweepSay(sweep, "links take up to %" PRId64, most_ms);
    simDelay(sweep->fleet->world, 1, most_ms);
}
