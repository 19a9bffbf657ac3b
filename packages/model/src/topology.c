/* The machines of a site in one simulated world: their creation and start. */
#include "topology.h"

#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <unistd.h>

/* --- callbacks of the checker of leaders --------------------------------------------- */

static int64_t check_now(void *arg)
{
    return topology_now_ms(arg);
}

static bool check_frozen(void *arg, const char *worker)
{
    (void)arg;
    (void)worker;
    return false;
}

static const Job *check_job(void *arg, const char *id)
{
    (void)arg;
    (void)id;
    return NULL;
}

/* --- creation ---------------------------------------------------------------------------- */

static int topology_free(Topology *topology)
{
    rmdir(topology->folder);
    return 0;
}

static TopologyNode *node_add(Topology *topology, bool is_agent, bool disk, int64_t number, int64_t zone)
{
    TopologyNode *node =
        is_agent ? &topology->agents[topology->agent_count++] : &topology->servers[topology->server_count++];
    *node = (TopologyNode){
        .topology = topology,
        .zone = site_zone(zone),
        .machine = sim_machine_new(topology->world),
        .is_agent = is_agent,
        .disk = disk,
    };
    snprintf(node->name, sizeof(node->name), "%s%d", is_agent ? "side" : disk ? "core" : "gate", (int)number + 1);
    node->recorder = recorder_new(topology, node->name);
    recorder_mute(node->recorder);
    return node;
}

Topology *topology_new(void *mem, const Site *site, const Codec *codec, uint64_t seed, Rules *rules)
{
    Topology *topology = talloc_zero(mem, Topology);
    topology->world = sim_world_new(topology, seed);
    topology->site = site;
    topology->codec = codec;
    topology->adapter = adapter_find(codec->adapter);
    topology->rules = rules;
    topology->seed = seed;
    const CheckerSettings settings = {topology, check_now, check_frozen, check_job, NULL};
    topology->checker = checker_new(topology, &settings);
    snprintf(topology->folder, sizeof(topology->folder), "/tmp/model-XXXXXX");
    if (mkdtemp(topology->folder) == NULL)
        topology->folder[0] = '\0';
    talloc_set_destructor(topology, topology_free);
    sim_link_delay(topology->world, 1, site->link_ms > 1 ? site->link_ms : 1);
    for (int64_t i = 0; i < site->controllers + site->spares; i++)
        node_add(topology, false, true, i, i % site->zones)->used = i < site->controllers;
    for (int64_t i = 0; i < site->entry_points; i++)
        node_add(topology, false, false, i, i % site->zones)->used = true;
    for (int64_t i = 0; i < site->worker_models; i++)
        node_add(topology, true, false, i, i % site->zones)->used = true;
    return topology;
}

static void empty_process(void *arg, Loop *loop)
{
    (void)arg;
    (void)loop;
}

void topology_host(const Topology *topology, int machine)
{
    sim_start(topology->world, machine, empty_process, NULL);
}

void topology_start(Topology *topology)
{
    topology->traffic_start_ms = topology_now_ms(topology) + topology->site->lead_ms;
    for (size_t i = 0; i < topology->server_count; i++)
        if (topology->servers[i].used)
            node_start(&topology->servers[i]);
    for (size_t i = 0; i < topology->agent_count; i++)
        node_start(&topology->agents[i]);
}

void topology_dump(const Topology *topology)
{
    for (size_t i = 0; i < topology->server_count && topology->verbose; i++)
        recorder_dump(topology->servers[i].recorder, stderr);
    for (size_t i = 0; i < topology->agent_count && topology->verbose; i++)
        recorder_dump(topology->agents[i].recorder, stderr);
}
