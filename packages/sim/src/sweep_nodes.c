/* Faults of machines, disks, clocks and links. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "sweep_act.h"

static const char *const ZONES[] = {"north", "south", "west"};

/* Controllers whose processes run. */
static int voters_alive(const Sweep *sweep)
{
    int count = 0;
    for (int i = 0; i < sweep->fleet->node_count[FLEET_CONTROLLER]; i++)
        count += sim_running(sweep->fleet->world, sweep->fleet->nodes[FLEET_CONTROLLER][i].machine);
    return count;
}

/* How many of the intended voters do not run with a working disk. */
static int voters_missing(Sweep *sweep)
{
    return 2 * sweep->fleet->site.losses + 1 - fleet_healthy_voters(sweep->fleet);
}

void act_kill(Sweep *sweep)
{
    FleetNode *node = sweep_any_node(sweep);
    if (node->role == FLEET_CONTROLLER && voters_alive(sweep) < sweep->fleet->shape.controllers &&
        sweep_draw(sweep, 3) != 0)
        return;
    sweep_report_fault(sweep, "kill %s", node->settings.name);
    fleet_kill(sweep->fleet, node->role, node->number);
}

void act_power_off(Sweep *sweep)
{
    FleetNode *node = sweep_any_node(sweep);
    if (sweep->disks_lie && sweep_draw(sweep, 2) == 0) {
        sweep_report_fault(sweep, "power lost at all controllers");
        for (int i = 0; i < sweep->fleet->node_count[FLEET_CONTROLLER]; i++)
            fleet_power_off(sweep->fleet, FLEET_CONTROLLER, i);
        fleet_run(sweep->fleet, (int64_t)sweep_draw(sweep, 1500));
        sweep_start_all(sweep);
        return;
    }
    sweep_report_fault(sweep, "power off %s", node->settings.name);
    fleet_power_off(sweep->fleet, node->role, node->number);
}

void act_freeze(Sweep *sweep)
{
    FleetNode *node = sweep_any_node(sweep);
    const int64_t for_ms = 200 + (int64_t)sweep_draw(sweep, 6000);
    sweep_report_fault(sweep, "freeze %s for %" PRId64 " ms", node->settings.name, for_ms);
    fleet_freeze(sweep->fleet, node->role, node->number, for_ms);
}

void act_cut_off(Sweep *sweep)
{
    FleetNode *node = sweep_any_node(sweep);
    sweep_report_fault(sweep, "cut off %s", node->settings.name);
    fleet_node_cut(sweep->fleet, node->role, node->number, true);
}

void act_cut_one_way(Sweep *sweep)
{
    const FleetNode *from = sweep_any_node(sweep), *to = sweep_any_node(sweep);
    sweep_report_fault(sweep, "cut %s > %s", from->settings.name, to->settings.name);
    sim_link_cut(sweep->fleet->world, from->machine, to->machine, true);
}

/* A link that is cut and restored repeatedly, in one direction or both. */
void act_flap(Sweep *sweep)
{
    const FleetNode *a = sweep_any_node(sweep), *b = sweep_node(sweep, FLEET_CONTROLLER);
    const bool both = sweep_draw(sweep, 2) == 0;
    const int64_t each_ms = 50 + (int64_t)sweep_draw(sweep, 900);
    sweep_report_fault(sweep, "link %s %s %s flaps every %" PRId64 " ms", a->settings.name, both ? "<>" : ">",
                       b->settings.name, each_ms);
    for (int i = 0; i < 8; i++) {
        sim_link_cut(sweep->fleet->world, a->machine, b->machine, i % 2 == 0);
        if (both)
            sim_link_cut(sweep->fleet->world, b->machine, a->machine, i % 2 == 0);
        fleet_run(sweep->fleet, each_ms);
    }
}

void act_join_all(Sweep *sweep)
{
    sweep_report_fault(sweep, "all links restored");
    sweep_join_all(sweep);
}

void act_start_all(Sweep *sweep)
{
    sweep_report_fault(sweep, "all nodes started");
    sweep_start_all(sweep);
}

void act_disk_slow(Sweep *sweep)
{
    const FleetNode *controller = sweep_node(sweep, FLEET_CONTROLLER);
    const int64_t sync_ms = sweep_draw(sweep, 2) ? 3 : (int64_t)sweep_draw(sweep, 4000);
    sweep_report_fault(sweep, "disk of %s syncs in %" PRId64 " ms", controller->settings.name, sync_ms);
    sim_disk_slow(sweep->fleet->world, controller->machine, sync_ms);
}

/* A disk that is full or failing: no write succeeds until it works again. */
void act_disk_fails(Sweep *sweep)
{
    const FleetNode *controller = sweep_node(sweep, FLEET_CONTROLLER);
    const bool fails = sweep_draw(sweep, 2) == 0;
    sweep_report_fault(sweep, "disk of %s %s", controller->settings.name, fails ? "fails" : "works");
    sim_disk_fail(sweep->fleet->world, controller->machine, fails);
}

/* A journal that is torn or damaged while its controller is down. A journal damaged before its end is refused at the
 * start, so that controller starts with an empty disk, like a replaced one. */
void act_disk_damaged(Sweep *sweep)
{
    FleetNode *controller = sweep_node(sweep, FLEET_CONTROLLER);
    /* no more disks may be lost than the site tolerates */
    if (voters_missing(sweep) >= sweep->fleet->site.losses)
        return;
    fleet_power_off(sweep->fleet, FLEET_CONTROLLER, controller->number);
    Bytes *journal = sim_disk_content(sweep->fleet->world, controller->machine, "data/journal");
    const bool torn = sweep_draw(sweep, 2) == 0 && !sweep->fleet->site.disks_keep;
    if (torn && journal->count > 600) {
        const size_t cut = 1 + (size_t)sweep_draw(sweep, 300);
        sweep_report_fault(sweep, "journal of %s loses its last %zu bytes", controller->settings.name, cut);
        journal->count -= cut;
    } else {
        sweep_report_fault(sweep, "disk of %s is damaged and wiped", controller->settings.name);
        sim_disk_wipe(sweep->fleet->world, controller->machine);
    }
    fleet_run(sweep->fleet, 500 + (int64_t)sweep_draw(sweep, 2000));
    fleet_start_node(sweep->fleet, FLEET_CONTROLLER, controller->number);
}

/* At most one machine's wall clock is wrong at a time, so that the median of three clocks is correct. */
void act_clock_jump(Sweep *sweep)
{
    const FleetNode *node = sweep_any_node(sweep);
    const int64_t by_ms = (int64_t)sweep_draw(sweep, 7200000) - 3600000;
    if (sweep->wrong_clock_machine >= 0) {
        sweep_report_fault(sweep, "the wrong clock is corrected");
        sim_clock_correct(sweep->fleet->world, sweep->wrong_clock_machine);
        sweep->wrong_clock_machine = -1;
        return;
    }
    sweep_report_fault(sweep, "clock of %s jumps by %" PRId64 " ms", node->settings.name, by_ms);
    sim_clock_jump(sweep->fleet->world, node->machine, by_ms);
    sweep->wrong_clock_machine = node->machine;
}

/* Applies fn to each node of the zone; only to controllers where disks acknowledge syncs falsely. */
static void zone_each(Sweep *sweep, const char *zone, void (*fn)(Fleet *, FleetRole, int))
{
    Fleet *fleet = sweep->fleet;
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            if (strcmp(fleet->nodes[role][i].settings.zone, zone) == 0 &&
                !(sweep->disks_lie && role != FLEET_CONTROLLER))
                fn(fleet, (FleetRole)role, i);
}

void act_zone_off(Sweep *sweep)
{
    const char *zone = ZONES[sweep_draw(sweep, 3)];
    sweep_report_fault(sweep, "power lost in zone %s", zone);
    zone_each(sweep, zone, fleet_power_off);
}

void act_zone_cut(Sweep *sweep)
{
    const char *zone = ZONES[sweep_draw(sweep, 3)];
    if (sweep->disks_lie)
        return;
    sweep_report_fault(sweep, "zone %s is cut off", zone);
    fleet_zone_cut(sweep->fleet, zone, true);
}

/* All links between controllers are cut for a while, so that no lock can be held. This is the case of the second
 * survival rule of XenServer's HA design; the links are then restored. */
void act_controllers_cut(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    const int64_t for_ms = 1000 + (int64_t)sweep_draw(sweep, 7000);
    sweep_report_fault(sweep, "no controller reaches another for %" PRId64 " ms", for_ms);
    for (int turn = 0; turn < 2; turn++) {
        for (int a = 0; a < fleet->node_count[FLEET_CONTROLLER]; a++)
            for (int b = 0; b < fleet->node_count[FLEET_CONTROLLER]; b++)
                sim_link_cut(fleet->world, fleet->nodes[FLEET_CONTROLLER][a].machine,
                             fleet->nodes[FLEET_CONTROLLER][b].machine, turn == 0);
        if (turn == 0)
            fleet_run(fleet, for_ms);
    }
}

void act_all_killed(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    if (sweep->disks_lie)
        return;
    sweep_report_fault(sweep, "all processes are killed");
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            fleet_kill(fleet, (FleetRole)role, i);
    fleet_run(fleet, (int64_t)sweep_draw(sweep, 4000));
    sweep_start_all(sweep);
}

/* A controller is lost for good; a spare with an empty disk, a new address and other seeds is started in its place. */
void act_controller_replaced(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    const int spare = fleet->shape.controllers + (int)sweep_draw(sweep, (uint64_t)fleet->shape.spares);
    FleetNode *gone = fleet_node(fleet, FLEET_CONTROLLER, (int)sweep_draw(sweep, (uint64_t)fleet->shape.controllers));
    if (sim_running(fleet->world, fleet->nodes[FLEET_CONTROLLER][spare].machine) ||
        voters_missing(sweep) >= fleet->site.losses)
        return;
    sweep_report_fault(sweep, "%s is lost for good, %s starts with an empty disk", gone->settings.name,
                       fleet->nodes[FLEET_CONTROLLER][spare].settings.name);
    fleet_power_off(fleet, FLEET_CONTROLLER, gone->number);
    sim_disk_wipe(fleet->world, gone->machine);
    fleet_start_node(fleet, FLEET_CONTROLLER, spare);
}

void act_links_slow(Sweep *sweep)
{
    const int64_t most_ms = sweep_draw(sweep, 2) ? 3 : 5 + (int64_t)sweep_draw(sweep, 55);
    sweep_report_fault(sweep, "frames are delayed by up to %" PRId64 " ms", most_ms);
    sim_link_delay(sweep->fleet->world, 1, most_ms);
}
