/* Troubles of a fleet: nodes that leave, end, freeze or are cut off. */
#include <string.h>

#include "fleet.h"

static void rolled(void *arg)
{
    FleetNode *node = arg;
    fleetKill(node->fleet, node->role, node->number);
    fleetStartNode(node->fleet, node->role, node->number);
}

static void left(void *arg)
{
    FleetNode *node = arg;
    fleetKill(node->fleet, node->role, node->number);
}

static void drain(FleetNode *node)
{
    if (node->core != NULL)
        core_drain(node->core);
    else if (node->gate != NULL)
        gate_drain(node->gate);
    else if (node->agent != NULL)
        agent_drain(node->agent);
}

static void drainMain(void *arg)
{
    FleetNode *node = arg;
    drain(node);
    /* a process ends from outside of its own tasks */
    simAt(node->fleet->world, sim_now_ms(node->fleet->world), rolled, node);
}

static void leaveMain(void *arg)
{
    FleetNode *node = arg;
    drain(node);
    simAt(node->fleet->world, sim_now_ms(node->fleet->world), left, node);
}

void fleetLeave(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    if (node->up)
        loop_spawn(sim_loop(fleet->world, node->machine), "term", leaveMain, node);
}

void fleetRoll(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    if (node->up)
        loop_spawn(sim_loop(fleet->world, node->machine), "term", drainMain, node);
}

static void nodeGone(FleetNode *node)
{
    node->core = NULL;
    node->worker = NULL;
    node->up = false;
    /* the first start of all is over for it */
    if (node->fleet->site.votes)
        node->props.bounds.founds = 0;
    if (node->role == FLEET_WORKER)
        checkerWorkerGone(node->fleet->checker, node->props.name);
    if (node->role == FLEET_CORE)
        checkerLeaderGone(node->fleet->checker, node->props.name);
}

void fleetKill(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    nodeGone(node);
    sim_kill(fleet->world, node->machine);
}

void fleetPowerOff(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    nodeGone(node);
    sim_power_off(fleet->world, node->machine);
}

static void woke(void *arg)
{
    FleetNode *node = arg;
    /* a later freeze may have begun before this one ended */
    if (simAlive(node->fleet->world, node->machine) && !simFrozen(node->fleet->world, node->machine))
        checkerWorkerWoke(node->fleet->checker, node->props.name);
}

void fleetFreeze(Fleet *fleet, FleetRole role, int number, int64_t for_ms)
{
    FleetNode *node = fleetNode(fleet, role, number);
    const int64_t until_ms = sim_now_ms(fleet->world) + for_ms;
    if (!simAlive(fleet->world, node->machine))
        return;
    simFreeze(fleet->world, node->machine, until_ms);
    if (role == FLEET_WORKER)
        simAt(fleet->world, until_ms + 1, woke, node);
}

void fleetThaw(Fleet *fleet)
{
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            while (simFrozen(fleet->world, fleet->nodes[role][i].machine))
                fleetRun(fleet, 50);
}

static void cutBoth(Fleet *fleet, int a, int b, bool cut)
{
    sim_cut(fleet->world, a, b, cut);
    sim_cut(fleet->world, b, a, cut);
}

void fleetIsolate(Fleet *fleet, FleetRole role, int number, bool cut)
{
    const int machine = fleetNode(fleet, role, number)->machine;
    for (int r = 0; r < FLEET_ROLES; r++)
        for (int i = 0; i < fleet->nodeCount[r]; i++)
            /* a worker and its agent stand on one machine in truth */
            if (!((r == FLEET_WORKER && role == FLEET_AGENT && i == number) ||
                  (r == FLEET_AGENT && role == FLEET_WORKER && i == number)))
                cutBoth(fleet, machine, fleet->nodes[r][i].machine, cut);
}

void fleetZoneCut(Fleet *fleet, const char *zone, bool cut)
{
    for (int r = 0; r < FLEET_ROLES; r++)
        for (int i = 0; i < fleet->nodeCount[r]; i++)
            for (int q = 0; q < FLEET_ROLES; q++)
                for (int k = 0; k < fleet->nodeCount[q]; k++) {
                    const FleetNode *a = &fleet->nodes[r][i], *b = &fleet->nodes[q][k];
                    if ((strcmp(a->props.zone, zone) == 0) != (strcmp(b->props.zone, zone) == 0))
                        cutBoth(fleet, a->machine, b->machine, cut);
                }
}
