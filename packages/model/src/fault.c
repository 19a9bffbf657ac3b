/* Faults: what each kind does when it begins and when it ends. */
#include "fault.h"

#include <string.h>

#include "fault_draw.h"

static void again(void *arg)
{
    TopologyNode *node = arg;
    if (!node->gone)
        node_start(node);
}

static void controller_cut(Fault *fault, bool cut)
{
    Topology *topology = fault->day->topology;
    for (size_t i = 0; i < topology->server_count && fault->count > 0; i++)
        if (topology->servers[i].disk && topology->servers[i].used)
            topology_cut(fault->nodes[0], &topology->servers[i], cut);
}

static void replace(Fault *fault)
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
    sim_schedule(topology->world, topology_now_ms(topology) + fault->for_ms, again, spare);
}

/* Waits for the next thing that an entry point acknowledges. */
static void acknowledged_watch(void *arg)
{
    Fault *fault = arg;
    Day *day = fault->day;
    Topology *topology = day->topology;
    const int64_t from_ms = topology->began_ms + fault->at_ms;
    TopologyNode *taker = day->operator->last_taken_ms> from_ms
        ? day->operator->last_taker : day->callers->last_taken_ms> from_ms ? day->callers->last_taker : NULL;
    if (taker == NULL) {
        if (topology_now_ms(topology) < from_ms + 2000)
            sim_schedule(topology->world, topology_now_ms(topology) + 1, acknowledged_watch, fault);
        return;
    }
    TopologyNode *node = taker->disk ? taker : topology_leader(topology);
    if (node == NULL || !node->up)
        return;
    fault_take(fault, node);
    topology_say(topology, "%s has acknowledged through %s and loses %s", taker->name, node->name,
                 fault->kind == FAULT_ACK_WIPE ? "its disk" : "power");
    node_kill(node, true);
    if (fault->kind == FAULT_ACK_WIPE)
        sim_disk_wipe(topology->world, node->machine);
}

static void zone_off(Fault *fault)
{
    Day *day = fault->day;
    fault->zone = fault_draw_zone(fault);
    for (size_t i = 0; i < day->topology->server_count; i++) {
        TopologyNode *node = &day->topology->servers[i];
        if (node->up && strcmp(node->zone, fault->zone) == 0) {
            fault_take(fault, node);
            node_kill(node, true);
        }
    }
    for (size_t i = 0; i < day->worker_models->count; i++) {
        WorkerModel *worker_model = &day->worker_models->list[i];
        if (strcmp(worker_model->zone, fault->zone) != 0 || !worker_model->up || fault->count == SIDES_MAX)
            continue;
        fault->struck[fault->count] = worker_model;
        fault_take(fault, worker_model->side);
        worker_model_crash(worker_model, true);
        node_kill(worker_model->side, true);
    }
}

/* One after the other, each once the last is back. */
static void roll_next(void *arg)
{
    Fault *fault = arg;
    Topology *topology = fault->day->topology;
    const int64_t all = (int64_t)(topology->server_count + topology->side_count);
    for (int tries = 0; tries < 10; tries++) {
        const int64_t at = random_source_span(&fault->random_source, 0, all - 1);
        TopologyNode *node = at < (int64_t)topology->server_count
                                 ? &topology->servers[at]
                                 : &topology->sides[at - (int64_t)topology->server_count];
        if (!node->up || node->gone || node->faults > 0 || (node->disk && !topology_settled(topology)))
            continue;
        topology_say(topology, "%s is stopped", node->name);
        node_roll(node);
        break;
    }
    if (topology_day_ms(topology) < fault->at_ms + fault->for_ms)
        sim_schedule(topology->world, topology_now_ms(topology) + 1300, roll_next, fault);
}

static void strike_worker_models(Fault *fault)
{
    Topology *topology = fault->day->topology;
    fault_draw_workers(fault);
    for (size_t i = 0; i < fault->count; i++) {
        WorkerModel *worker_model = fault->struck[i];
        topology->any_faults++;
        topology->any_ms = INT64_MAX;
        switch (fault->kind) {
        case FAULT_SIDE_KILL:
            node_kill(worker_model->side, false);
            break;
        case FAULT_SIDE_FREEZE:
            node_freeze(worker_model->side, fault->for_ms);
            break;
        case FAULT_SIDE_CUT:
            node_cut(worker_model->side, true);
            break;
        case FAULT_SIDE_OFF:
            worker_model_crash(worker_model, true);
            node_kill(worker_model->side, true);
            break;
        case FAULT_WORKER_MODEL_CRASH:
            worker_model_crash(worker_model, random_source_percent(&fault->random_source, 30));
            break;
        case FAULT_WORKER_MODEL_GONE:
            worker_model_crash(worker_model, true);
            break;
        case FAULT_WORKER_MODEL_SLOW:
            worker_model_slow(worker_model, random_source_span(&fault->random_source, 3, 7));
            break;
        case FAULT_WORKER_MODEL_GREY:
            worker_model->grey_percent = random_source_span(&fault->random_source, 30, 90);
            break;
        case FAULT_WORKER_MODEL_HANG:
            worker_model_hang(worker_model, true);
            break;
        case FAULT_WORKER_MODEL_LEAVE:
            worker_model_leave(worker_model, topology->site->drain_ms + 3000);
            break;
        case FAULT_WORKER_MODEL_SPOT:
            worker_model_leave(worker_model,
                               topology->site->drain_ms + random_source_span(&fault->random_source, 0, 500));
            break;
        default:
            break;
        }
        topology_say(topology, "%s %s (%s)", fault_name(fault->kind), worker_model->boot, worker_model->side->name);
    }
}

static void strike_node(Fault *fault, TopologyNode *node)
{
    Topology *topology = fault->day->topology;
    fault_take(fault, node);
    if (node == NULL)
        return;
    topology_say(topology, "%s %s%s", fault_name(fault->kind), node->name,
                 node == topology_leader(topology) ? ", which leads" : "");
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
        controller_cut(fault, true);
        break;
    case FAULT_CONTROLLER_ISOLATED:
    case FAULT_ENTRY_POINT_CUT:
        node_cut(node, true);
        break;
    case FAULT_DISK_SLOW:
        sim_disk_slow(topology->world, node->machine, random_source_span(&fault->random_source, 20, 400));
        node_fault(node, 1);
        break;
    case FAULT_CONTROLLER_REPLACE:
        replace(fault);
        break;
    default:
        break;
    }
}

static void strike_work(Fault *fault)
{
    Day *day = fault->day;
    const size_t kind =
        (size_t)random_source_span(&fault->random_source, 0, (int64_t)day->topology->site->kind_count - 1);
    topology_say(day->topology, "%s", fault_name(fault->kind));
    switch (fault->kind) {
    case FAULT_BURST:
        day->callers->times_milli[kind] = random_source_span(&fault->random_source, 2000, 3000);
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
        operator_storm(day->operator,(int) random_source_span(&fault->random_source, 3, 10),
                       random_source_span(&fault->random_source, 30, 400));
        break;
    case FAULT_RACE:
        operator_race(day->operator);
        break;
    case FAULT_SPOILT:
        operator_spoilt(day->operator);
        break;
    case FAULT_BIG:
        operator_big(day->operator);
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
        acknowledged_watch(fault);
        break;
    case FAULT_ZONE_OFF:
        zone_off(fault);
        topology_say(fault->day->topology, "zoneOff %s", fault->zone);
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
        strike_worker_models(fault);
        break;
    default:
        strike_work(fault);
        break;
    }
}

static void heal_worker_model(Fault *fault, WorkerModel *worker_model)
{
    Topology *topology = fault->day->topology;
    if (--topology->any_faults <= 0)
        topology->any_ms = topology_now_ms(topology);
    switch (fault->kind) {
    case FAULT_SIDE_KILL:
        node_start(worker_model->side);
        break;
    case FAULT_SIDE_CUT:
        node_cut(worker_model->side, false);
        break;
    case FAULT_SIDE_OFF:
        node_start(worker_model->side);
        worker_model_start(worker_model);
        break;
    case FAULT_WORKER_MODEL_CRASH:
        worker_model_start(worker_model);
        break;
    case FAULT_WORKER_MODEL_SLOW:
        worker_model_slow(worker_model, 1);
        break;
    case FAULT_WORKER_MODEL_GREY:
        worker_model->grey_percent = 0;
        break;
    case FAULT_WORKER_MODEL_HANG:
        worker_model_hang(worker_model, false);
        break;
    /* a new one takes its place now and then */
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
            again(fault->nodes[i]);
            if (fault->struck[i] != NULL)
                worker_model_start(fault->struck[i]);
        }
    } else if (fault->kind >= FAULT_SIDE_KILL && fault->kind <= FAULT_WORKER_MODEL_SPOT) {
        for (size_t i = 0; i < fault->count; i++)
            heal_worker_model(fault, fault->struck[i]);
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
            again(node);
        break;
    case FAULT_CONTROLLER_CUT:
        controller_cut(fault, false);
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
            day->callers->times_milli[i] = 1000;
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
