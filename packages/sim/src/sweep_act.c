/* Functions that all faults of a sweep share: random numbers, output, and the choice of a node. */
#include "sweep_act.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

uint64_t sweep_draw(Sweep *sweep, uint64_t below)
{
    uint64_t mixed_bits = (sweep->random_state += 0x9e3779b97f4a7c15u);
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111ebu;
    return (mixed_bits ^ (mixed_bits >> 31)) % below;
}

void sweep_report_fault(Sweep *sweep, const char *format, ...)
{
    sweep->faults++;
    checker_fault(sweep->fleet->checker);
    if (!sweep->verbose)
        return;
    va_list args;
    va_start(args, format);
    printf("  %6" PRId64 " ", sim_now_ms(sweep->fleet->world) - sweep->start_ms);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

FleetNode *sweep_node(Sweep *sweep, FleetRole role)
{
    return fleet_node(sweep->fleet, role, (int)sweep_draw(sweep, (uint64_t)sweep->fleet->node_count[role]));
}

FleetNode *sweep_any_node(Sweep *sweep)
{
    static const FleetRole ROLES[] = {FLEET_CONTROLLER,  FLEET_CONTROLLER, FLEET_CONTROLLER,
                                      FLEET_ENTRY_POINT, FLEET_AGENT,      FLEET_WORKER};
    FleetNode *node = sweep_node(sweep, ROLES[sweep_draw(sweep, 6)]);
    if (sweep->disks_lie && node->role == FLEET_AGENT)
        node = sweep_node(sweep, FLEET_CONTROLLER);
    if (sweep->disks_lie && node->role == FLEET_ENTRY_POINT) /* other entry points hold its repair items too */
        node = fleet_node(sweep->fleet, FLEET_ENTRY_POINT, 0);
    return node;
}

void sweep_start_all(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++) {
            if (role == FLEET_WORKER && !sim_running(fleet->world, fleet->nodes[role][i].machine))
                checker_worker_leaving(fleet->checker, fleet->nodes[role][i].settings.name, false);
            /* a spare is started only if it has replaced another controller before */
            if (role != FLEET_CONTROLLER || i < fleet->shape.controllers || fleet->nodes[role][i].recorder != NULL)
                fleet_start_node(fleet, (FleetRole)role, i);
        }
}

void sweep_join_all(Sweep *sweep)
{
    for (int a = 0; a < SIM_NODES_MAX; a++)
        for (int b = 0; b < SIM_NODES_MAX; b++)
            if (a != b)
                sim_link_cut(sweep->fleet->world, a, b, false);
}
