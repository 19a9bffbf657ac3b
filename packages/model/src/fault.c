/* Faults: the effect of each kind when it begins and when it ends. */
#include "fault.h"

#include <string.h>

#include "fault_draw.h"

static void restart_node(void *arg)
{
    TopologyNode *node = arg;
    if (!node->gone)
        node_start(node);
}

/* Cuts or restores the links between the affected controller and the others. */
static void cut_controller(Fault *fault, bool cut)
{
    Topology *topology = fault->day->topology;
    for (size_t i = 0; i < topology->server_count && fault->count > 0; i++)
        if (topology->servers[i].disk && topology->servers[i].used)
            topology_cut(fault->nodes[0], &topology->servers[i], cut);
}

/* Removes the affected controller permanently, and later starts a spare, preferably in the same zone. */
static void replace_controller(Fault *fault)
{
    Topology *topology = fault->day->topology;
    TopologyNode *old = fault->nodes[0], *spare = NULL;
    for (size_t i = 0; i < topology->server_count; i++)
        if (topology->servers[i].disk && !topology->servers[i].used)
            spare = spare == NULL || strcmp(topology->servers[i].zone, old->zone) == 0 ? &topology->servers[i] : spare;
    if (spare == NULL)
        return;
    old->gone = true;
    node_kill(old, true);
    sim_schedule(topology->world, topology_now_ms(topology) + fault->for_ms, restart_node, spare);
}

/* Event, repeated for up to 2 s until an entry point or controller has acknowledged a request: takes power, or power
 * and disk, from the node that acknowledged, or from the leader if that node has no disk. */
static void await_acknowledgement(void *arg)
{
    Fault *fault = arg;
    Day *day = fault->day;
    Topology *topology = day->topology;
    const int64_t from_ms = topology->traffic_start_ms + fault->at_ms;
    TopologyNode *acknowledger = day->operator->last_acknowledged_ms> from_ms ? day->operator->last_acknowledger
        : day->callers->last_acknowledged_ms> from_ms
                                                                                    ? day->callers->last_acknowledger
                                                                                    : NULL;
    if (acknowledger == NULL) {
        if (topology_now_ms(topology) < from_ms + 2000)
            sim_schedule(topology->world, topology_now_ms(topology) + 1, await_acknowledgement, fault);
        return;
    }
    TopologyNode *node = acknowledger->disk ? acknowledger : topology_leader(topology);
    if (node == NULL || !node->up)
        return;
    fault_add_node(fault, node);
    topology_log(topology, "%s acknowledged a request: %s loses %s", acknowledger->name, node->name,
                 fault->kind == FAULT_ACK_WIPE ? "its disk" : "power");
    node_kill(node, true);
    if (fault->kind == FAULT_ACK_WIPE)
        sim_disk_wipe(topology->world, node->machine);
}

static void power_off_zone(Fault *fault)
{
    Day *day = fault->day;
    fault->zone = fault_draw_zone(fault);
    for (size_t i = 0; i < day->topology->server_count; i++) {
        TopologyNode *node = &day->topology->servers[i];
        if (node->up && strcmp(node->zone, fault->zone) == 0) {
            fault_add_node(fault, node);
            node_kill(node, true);
        }
    }
    for (size_t i = 0; i < day->worker_models->count; i++) {
        WorkerModel *worker_model = &day->worker_models->list[i];
        if (strcmp(worker_model->zone, fault->zone) != 0 || !worker_model->up || fault->count == AGENTS_MAX)
            continue;
        fault->struck_workers[fault->count] = worker_model;
        fault_add_node(fault, worker_model->agent_node);
        worker_model_crash(worker_model, true);
        node_kill(worker_model->agent_node, true);
    }
}

/* Restarts one machine gracefully after another, only while the controllers are settled. */
static void roll_next(void *arg)
{
    Fault *fault = arg;
    Topology *topology = fault->day->topology;
    const int64_t all = (int64_t)(topology->server_count + topology->agent_count);
    for (int tries = 0; tries < 10; tries++) {
        const int64_t at = random_source_between(&fault->random_source, 0, all - 1);
        TopologyNode *node = at < (int64_t)topology->server_count
                                 ? &topology->servers[at]
                                 : &topology->agents[at - (int64_t)topology->server_count];
        if (!node->up || node->gone || node->faults > 0 || (node->disk && !topology_settled(topology)))
            continue;
        topology_log(topology, "%s is restarted gracefully", node->name);
        node_roll(node);
        break;
    }
    if (topology_day_ms(topology) < fault->at_ms + fault->for_ms)
        sim_schedule(topology->world, topology_now_ms(topology) + 1300, roll_next, fault);
}

static void strike_workers(Fault *fault)
{
    Topology *topology = fault->day->topology;
    fault_draw_workers(fault);
    for (size_t i = 0; i < fault->count; i++) {
        WorkerModel *worker_model = fault->struck_workers[i];
        topology->fault_count_all++;
        topology->any_fault_ms = INT64_MAX;
        switch (fault->kind) {
        case FAULT_SIDE_KILL:
            node_kill(worker_model->agent_node, false);
            break;
        case FAULT_SIDE_FREEZE:
            node_freeze(worker_model->agent_node, fault->for_ms);
            break;
        case FAULT_SIDE_CUT:
            node_cut(worker_model->agent_node, true);
            break;
        case FAULT_SIDE_OFF:
            worker_model_crash(worker_model, true);
            node_kill(worker_model->agent_node, true);
            break;
        case FAULT_WORKER_MODEL_CRASH:
            worker_model_crash(worker_model, random_source_percent(&fault->random_source, 30));
            break;
        case FAULT_WORKER_MODEL_GONE:
            worker_model_crash(worker_model, true);
            break;
        case FAULT_WORKER_MODEL_SLOW:
            worker_model_slow(worker_model, random_source_between(&fault->random_source, 3, 7));
            break;
        case FAULT_WORKER_MODEL_GREY:
            worker_model->failure_percent = random_source_between(&fault->random_source, 30, 90);
            break;
        case FAULT_WORKER_MODEL_HANG:
            worker_model_hang(worker_model, true);
            break;
        case FAULT_WORKER_MODEL_LEAVE:
            worker_model_leave(worker_model, topology->site->drain_ms + 3000);
            break;
        case FAULT_WORKER_MODEL_SPOT:
            worker_model_leave(worker_model,
                               topology->site->drain_ms + random_source_between(&fault->random_source, 0, 500));
            break;
        default:
            break;
        }
        topology_log(topology, "%s %s (%s)", fault_name(fault->kind), worker_model->boot,
                     worker_model->agent_node->name);
    }
}

static void strike_node(Fault *fault, TopologyNode *node)
{
    Topology *topology = fault->day->topology;
    fault_add_node(fault, node);
    if (node == NULL)
        return;
    topology_log(topology, "%s %s%s", fault_name(fault->kind), node->name,
                 node == topology_leader(topology) ? ", the leader" : "");
    switch (fault->kind) {
    case FAULT_CONTROLLER_KILL:
    case FAULT_ENTRY_POINT_KILL:
        node_kill(node, false);
        break;
    case FAULT_CONTROLLER_POWER:
        node_kill(node, true);
        break;
    case FAULT_CONTROLLER_WIPE:
        node_kill(node, true);
        sim_disk_wipe(topology->world, node->machine);
        break;
    case FAULT_CONTROLLER_FREEZE:
    case FAULT_ENTRY_POINT_FREEZE:
        node_freeze(node, fault->for_ms);
        break;
    case FAULT_CONTROLLER_CUT:
        cut_controller(fault, true);
        break;
    case FAULT_CONTROLLER_ISOLATED:
    case FAULT_ENTRY_POINT_CUT:
        node_cut(node, true);
        break;
    case FAULT_DISK_SLOW:
        sim_disk_slow(topology->world, node->machine, random_source_between(&fault->random_source, 20, 400));
        node_fault(node, 1);
        break;
    case FAULT_CONTROLLER_REPLACE:
        replace_controller(fault);
        break;
    default:
        break;
    }
}

static void strike_platform(Fault *fault)
{
    Day *day = fault->day;
    const size_t kind =
        (size_t)random_source_between(&fault->random_source, 0, (int64_t)day->topology->site->kind_count - 1);
    topology_log(day->topology, "%s", fault_name(fault->kind));
    switch (fault->kind) {
    case FAULT_BURST:
        day->callers->rate_milli[kind] = random_source_between(&fault->random_source, 2000, 3000);
        break;
    case FAULT_POISON:
        day->callers->poison_percent = 30;
        break;
    case FAULT_ROLL:
        roll_next(fault);
        break;
    case FAULT_CHANGE:
        operator_change(day->operator);
        break;
    case FAULT_STORM:
        operator_storm(day->operator,(int) random_source_between(&fault->random_source, 3, 10),
                       random_source_between(&fault->random_source, 30, 400));
        break;
    case FAULT_RACE:
        operator_race(day->operator);
        break;
    case FAULT_SPOILT:
        operator_send_invalid(day->operator);
        break;
    case FAULT_BIG:
        operator_grow(day->operator);
        break;
    case FAULT_ZONE_DRAIN:
        fault->zone = fault_draw_zone(fault);
        operator_zone(day->operator, fault->zone, true);
        break;
    default:
        break;
    }
}

void fault_begin(Fault *fault)
{
    switch (fault->kind) {
    case FAULT_CONTROLLER_KILL:
    case FAULT_CONTROLLER_POWER:
    case FAULT_CONTROLLER_FREEZE:
    case FAULT_CONTROLLER_CUT:
    case FAULT_CONTROLLER_ISOLATED:
    case FAULT_DISK_SLOW:
    case FAULT_CONTROLLER_WIPE:
    case FAULT_CONTROLLER_REPLACE:
        strike_node(fault, fault_draw_controller(fault));
        break;
    case FAULT_ENTRY_POINT_KILL:
    case FAULT_ENTRY_POINT_FREEZE:
    case FAULT_ENTRY_POINT_CUT:
        strike_node(fault, fault_draw_entry_point(fault));
        break;
    case FAULT_ACK_POWER:
    case FAULT_ACK_WIPE:
        await_acknowledgement(fault);
        break;
    case FAULT_ZONE_OFF:
        power_off_zone(fault);
        topology_log(fault->day->topology, "zoneOff %s", fault->zone);
        break;
    case FAULT_SIDE_KILL:
    case FAULT_SIDE_FREEZE:
    case FAULT_SIDE_CUT:
    case FAULT_SIDE_OFF:
    case FAULT_WORKER_MODEL_CRASH:
    case FAULT_WORKER_MODEL_GONE:
    case FAULT_WORKER_MODEL_SLOW:
    case FAULT_WORKER_MODEL_GREY:
    case FAULT_WORKER_MODEL_HANG:
    case FAULT_WORKER_MODEL_LEAVE:
    case FAULT_WORKER_MODEL_SPOT:
        strike_workers(fault);
        break;
    default:
        strike_platform(fault);
        break;
    }
}

static void restore_worker(Fault *fault, WorkerModel *worker_model)
{
    Topology *topology = fault->day->topology;
    if (--topology->fault_count_all <= 0)
        topology->any_fault_ms = topology_now_ms(topology);
    switch (fault->kind) {
    case FAULT_SIDE_KILL:
        node_start(worker_model->agent_node);
        break;
    case FAULT_SIDE_CUT:
        node_cut(worker_model->agent_node, false);
        break;
    case FAULT_SIDE_OFF:
        node_start(worker_model->agent_node);
        worker_model_start(worker_model);
        break;
    case FAULT_WORKER_MODEL_CRASH:
        worker_model_start(worker_model);
        break;
    case FAULT_WORKER_MODEL_SLOW:
        worker_model_slow(worker_model, 1);
        break;
    case FAULT_WORKER_MODEL_GREY:
        worker_model->failure_percent = 0;
        break;
    case FAULT_WORKER_MODEL_HANG:
        worker_model_hang(worker_model, false);
        break;
    /* in half of the cases a new worker takes its place */
    case FAULT_WORKER_MODEL_LEAVE:
    case FAULT_WORKER_MODEL_SPOT:
        if (random_source_percent(&fault->random_source, 50))
            worker_model_start(worker_model);
        break;
    default:
        break;
    }
}

void fault_end(Fault *fault)
{
    Day *day = fault->day;
    Topology *topology = day->topology;
    if (fault->kind == FAULT_ZONE_OFF) {
        for (size_t i = 0; i < fault->count; i++) {
            restart_node(fault->nodes[i]);
            if (fault->struck_workers[i] != NULL)
                worker_model_start(fault->struck_workers[i]);
        }
    } else if (fault->kind >= FAULT_SIDE_KILL && fault->kind <= FAULT_WORKER_MODEL_SPOT) {
        for (size_t i = 0; i < fault->count; i++)
            restore_worker(fault, fault->struck_workers[i]);
    }
    TopologyNode *node = fault->count > 0 ? fault->nodes[0] : NULL;
    switch (fault->kind) {
    case FAULT_CONTROLLER_KILL:
    case FAULT_CONTROLLER_POWER:
    case FAULT_CONTROLLER_WIPE:
    case FAULT_ENTRY_POINT_KILL:
    case FAULT_ACK_POWER:
    case FAULT_ACK_WIPE:
        if (node != NULL)
            restart_node(node);
        break;
    case FAULT_CONTROLLER_CUT:
        cut_controller(fault, false);
        break;
    case FAULT_CONTROLLER_ISOLATED:
    case FAULT_ENTRY_POINT_CUT:
        if (node != NULL)
            node_cut(node, false);
        break;
    case FAULT_DISK_SLOW:
        if (node != NULL) {
            sim_disk_slow(topology->world, node->machine, 3);
            node_fault(node, -1);
        }
        break;
    case FAULT_BURST:
        for (size_t i = 0; i < topology->site->kind_count; i++)
            day->callers->rate_milli[i] = 1000;
        break;
    case FAULT_POISON:
        day->callers->poison_percent = 0;
        break;
    case FAULT_ZONE_DRAIN:
        operator_zone(day->operator, fault->zone, false);
        break;
    default:
        break;
    }
}
