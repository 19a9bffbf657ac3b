/* Links between machines, and the machines' health, on which the rules depend. */
#include "topology.h"

void node_fault(TopologyNode *node, int change)
{
    Topology *topology = node->topology;
    const int64_t now_ms = topology_now_ms(topology);
    node->faults += change;
    node->fault_ms = node->faults > 0 ? INT64_MAX : now_ms;
    topology->fault_count_all += change;
    topology->any_fault_ms = topology->fault_count_all > 0 ? INT64_MAX : now_ms;
    if (!node->disk)
        return;
    topology->controller_faults += change;
    topology->controller_fault_ms = topology->controller_faults > 0 ? INT64_MAX : now_ms;
}

void topology_cut(TopologyNode *a, TopologyNode *b, bool cut)
{
    SimWorld *world = a->topology->world;
    if (a == b || sim_link_is_cut(world, a->machine, b->machine) == cut)
        return;
    sim_link_cut(world, a->machine, b->machine, cut);
    sim_link_cut(world, b->machine, a->machine, cut);
    node_fault(a, cut ? 1 : -1);
    node_fault(b, cut ? 1 : -1);
}

void node_cut(TopologyNode *node, bool cut)
{
    Topology *topology = node->topology;
    /* An agent's machine communicates only with controllers and entry points: other agents are not affected. */
    for (size_t i = 0; i < topology->server_count + topology->agent_count; i++) {
        TopologyNode *other =
            i < topology->server_count ? &topology->servers[i] : &topology->agents[i - topology->server_count];
        if (other == node)
            continue;
        sim_link_cut(topology->world, node->machine, other->machine, cut);
        sim_link_cut(topology->world, other->machine, node->machine, cut);
    }
    node_fault(node, cut ? 1 : -1);
}

static void on_thawed(void *arg)
{
    node_fault(arg, -1);
}

void node_freeze(TopologyNode *node, int64_t for_ms)
{
    Topology *topology = node->topology;
    sim_freeze(topology->world, node->machine, topology_now_ms(topology) + for_ms);
    node_fault(node, 1);
    sim_schedule(topology->world, topology_now_ms(topology) + for_ms, on_thawed, node);
}

/* Whether the last fault ended at least span_ms ago. */
static bool quiet_for(int64_t fault_ms, int64_t now_ms, int64_t span_ms)
{
    return fault_ms != INT64_MAX && now_ms - fault_ms >= span_ms;
}

bool topology_settled(const Topology *topology)
{
    int64_t running = 0, all = 0;
    for (size_t i = 0; i < topology->server_count; i++) {
        const TopologyNode *node = &topology->servers[i];
        all += node->disk && node->used && !node->gone;
        running += node->disk && node->up && !node->gone;
    }
    return running * 2 > all &&
           quiet_for(topology->controller_fault_ms, topology_now_ms(topology), topology->site->contact_ms);
}

bool node_in_touch(const TopologyNode *node)
{
    const Topology *topology = node->topology;
    return node->up && !node->leaving &&
           quiet_for(node->fault_ms, topology_now_ms(topology), topology->site->contact_ms) &&
           topology_settled(topology);
}

bool topology_calm(const Topology *topology)
{
    return quiet_for(topology->any_fault_ms, topology_now_ms(topology), topology->site->contact_ms);
}

TopologyNode *topology_leader(Topology *topology)
{
    for (size_t i = 0; i < topology->server_count; i++) {
        TopologyNode *node = &topology->servers[i];
        if (node->up && node->node.controller != NULL && !sim_frozen(topology->world, node->machine) &&
            replication_leading(controller_replication(node->node.controller)))
            return node;
    }
    return NULL;
}
