/* Choice of the machines, workers or zone that a fault affects: those that the script names, otherwise random ones. */
#include "fault_draw.h"

#include <string.h>

/* Returns the machine that the script names; null: there is none. */
static TopologyNode *node_named(const Fault *fault)
{
    Topology *topology = fault->day->topology;
    if (strcmp(fault->target, "leader") == 0)
        return topology_leader(topology);
    for (size_t i = 0; i < topology->server_count; i++)
        if (strcmp(topology->servers[i].name, fault->target) == 0)
            return &topology->servers[i];
    return NULL;
}

TopologyNode *fault_draw_controller(Fault *fault)
{
    Topology *topology = fault->day->topology;
    TopologyNode *leader = topology_leader(topology);
    if (fault->target[0] != '\0')
        return node_named(fault);
    if (leader != NULL && random_source_percent(&fault->random_source, 50))
        return leader;
    TopologyNode *controllers[SERVERS_MAX];
    int64_t count = 0;
    for (size_t i = 0; i < topology->server_count; i++)
        if (topology->servers[i].disk && topology->servers[i].up && !topology->servers[i].gone)
            controllers[count++] = &topology->servers[i];
    return count > 0 ? controllers[random_source_between(&fault->random_source, 0, count - 1)] : NULL;
}

TopologyNode *fault_draw_entry_point(Fault *fault)
{
    Topology *topology = fault->day->topology;
    TopologyNode *entry_points[SERVERS_MAX];
    int64_t count = 0;
    if (fault->target[0] != '\0')
        return node_named(fault);
    for (size_t i = 0; i < topology->server_count; i++)
        if (!topology->servers[i].disk && topology->servers[i].up)
            entry_points[count++] = &topology->servers[i];
    return count > 0 ? entry_points[random_source_between(&fault->random_source, 0, count - 1)] : NULL;
}

void fault_add_node(Fault *fault, TopologyNode *node)
{
    if (node != NULL && fault->count < AGENTS_MAX)
        fault->nodes[fault->count++] = node;
}

const char *fault_draw_zone(Fault *fault)
{
    const int64_t zones = fault->day->topology->site->zones;
    for (int64_t i = 0; i < zones; i++)
        if (strcmp(site_zone(i), fault->target) == 0)
            return site_zone(i);
    return site_zone(random_source_between(&fault->random_source, 0, zones - 1));
}

void fault_draw_workers(Fault *fault)
{
    WorkerModels *worker_models = fault->day->worker_models;
    for (size_t i = 0; i < worker_models->count && fault->target[0] != '\0'; i++)
        if (strcmp(worker_models->list[i].agent_node->name, fault->target) == 0) {
            fault->struck_workers[fault->count] = &worker_models->list[i];
            fault->nodes[fault->count++] = worker_models->list[i].agent_node;
        }
    if (fault->target[0] != '\0')
        return;
    const int64_t most_workers = (int64_t)worker_models->count / 5 > 1 ? (int64_t)worker_models->count / 5 : 1;
    const int64_t wanted = random_source_between(&fault->random_source, 1, most_workers);
    size_t up = 0;
    for (size_t i = 0; i < worker_models->count; i++)
        up += worker_models->list[i].up && !worker_models->list[i].leaving;
    for (int tries = 0; fault->count < (size_t)wanted && tries < 40 && up * 10 > worker_models->count * 6; tries++) {
        WorkerModel *worker_model =
            &worker_models->list[random_source_between(&fault->random_source, 0, (int64_t)worker_models->count - 1)];
        bool unsuitable = !worker_model->up || worker_model->leaving;
        for (size_t i = 0; i < fault->count; i++)
            unsuitable |= fault->struck_workers[i] == worker_model;
        if (unsuitable)
            continue;
        fault->struck_workers[fault->count] = worker_model;
        fault->nodes[fault->count++] = worker_model->agent_node;
    }
}
