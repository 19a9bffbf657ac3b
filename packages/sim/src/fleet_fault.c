/* Faults of a fleet: nodes that shut down, are killed, lose power, freeze or are cut off. */
#include <string.h>

#include "fleet.h"

static void restart_node(void *arg)
{
    FleetNode *node = arg;
    fleet_kill(node->fleet, node->role, node->number);
    fleet_start_node(node->fleet, node->role, node->number);
}

static void kill_node(void *arg)
{
    FleetNode *node = arg;
    fleet_kill(node->fleet, node->role, node->number);
}

/* Runs the node's graceful shutdown, up to the end of its process. */
static void drain_node(FleetNode *node)
{
    if (node->controller != NULL)
        controller_drain(node->controller);
    else if (node->entry_point != NULL)
        entry_point_drain(node->entry_point);
    else if (node->agent != NULL)
        agent_drain(node->agent);
}

static void roll_main(void *arg)
{
    FleetNode *node = arg;
    drain_node(node);
    /* An event ends the process, since one of its own tasks cannot. */
    sim_schedule(node->fleet->world, sim_now_ms(node->fleet->world), restart_node, node);
}

static void leave_main(void *arg)
{
    FleetNode *node = arg;
    drain_node(node);
    sim_schedule(node->fleet->world, sim_now_ms(node->fleet->world), kill_node, node);
}

void fleet_shut_down(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleet_node(fleet, role, number);
    if (node->up)
        loop_spawn(sim_loop(fleet->world, node->machine), "term", leave_main, node);
}

void fleet_restart_gracefully(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleet_node(fleet, role, number);
    if (node->up)
        loop_spawn(sim_loop(fleet->world, node->machine), "term", roll_main, node);
}

/* Records that the node's process ends, and reports it to the checker. */
static void node_ended(FleetNode *node)
{
    node->controller = NULL;
    node->worker = NULL;
    node->up = false;
    /* a process that was started before must not found a cluster */
    if (node->fleet->site.founded_by_votes)
        node->settings.cluster_settings.founds = 0;
    if (node->role == FLEET_WORKER)
        checker_worker_ended(node->fleet->checker, node->settings.name);
    if (node->role == FLEET_CONTROLLER)
        checker_leader_ended(node->fleet->checker, node->settings.name);
}

void fleet_kill(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleet_node(fleet, role, number);
    node_ended(node);
    sim_kill(fleet->world, node->machine);
}

void fleet_power_off(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleet_node(fleet, role, number);
    node_ended(node);
    sim_power_off(fleet->world, node->machine);
}

/* Event: reports to the checker that a frozen process runs again. */
static void report_thaw(void *arg)
{
    FleetNode *node = arg;
    /* a second freeze, begun before this one ended, may still last */
    if (sim_running(node->fleet->world, node->machine) && !sim_frozen(node->fleet->world, node->machine))
        checker_worker_thawed(node->fleet->checker, node->settings.name);
}

void fleet_freeze(Fleet *fleet, FleetRole role, int number, int64_t for_ms)
{
    FleetNode *node = fleet_node(fleet, role, number);
    const int64_t until_ms = sim_now_ms(fleet->world) + for_ms;
    if (!sim_running(fleet->world, node->machine))
        return;
    sim_freeze(fleet->world, node->machine, until_ms);
    if (role == FLEET_WORKER)
        sim_schedule(fleet->world, until_ms + 1, report_thaw, node);
}

void fleet_wait_thawed(Fleet *fleet)
{
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            while (sim_frozen(fleet->world, fleet->nodes[role][i].machine))
                fleet_run(fleet, 50);
}

static void cut_both(Fleet *fleet, int a, int b, bool cut)
{
    sim_link_cut(fleet->world, a, b, cut);
    sim_link_cut(fleet->world, b, a, cut);
}

void fleet_node_cut(Fleet *fleet, FleetRole role, int number, bool cut)
{
    const int machine = fleet_node(fleet, role, number)->machine;
    for (int r = 0; r < FLEET_ROLES; r++)
        for (int i = 0; i < fleet->node_count[r]; i++)
            /* In production a worker and its agent share a machine, so the link between them is not cut. */
            if (!((r == FLEET_WORKER && role == FLEET_AGENT && i == number) ||
                  (r == FLEET_AGENT && role == FLEET_WORKER && i == number)))
                cut_both(fleet, machine, fleet->nodes[r][i].machine, cut);
}

void fleet_zone_cut(Fleet *fleet, const char *zone, bool cut)
{
    for (int r = 0; r < FLEET_ROLES; r++)
        for (int i = 0; i < fleet->node_count[r]; i++)
            for (int q = 0; q < FLEET_ROLES; q++)
                for (int k = 0; k < fleet->node_count[q]; k++) {
                    const FleetNode *a = &fleet->nodes[r][i], *b = &fleet->nodes[q][k];
                    if ((strcmp(a->settings.zone, zone) == 0) != (strcmp(b->settings.zone, zone) == 0))
                        cut_both(fleet, a->machine, b->machine, cut);
                }
}
