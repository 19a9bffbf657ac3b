/* A machine's process: its settings, start, end, and graceful restart. */
#include "topology.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define RESTART_MS 300 /* ms; the platform starts a process that has ended again after this */

static void on_plans(void *arg, const char *name, uint64_t term)
{
    checker_leader_plans(((TopologyNode *)arg)->topology->checker, name, term);
}

/* The same three for all at the first start; later a list drawn anew for each start. */
static void seeds_draw(const TopologyNode *node, const char *seeds[3])
{
    const Topology *topology = node->topology;
    RandomSource random_source = random_source_of(
        topology->seed, "seeds",
        node->life > 1 || topology_day_ms(topology) >= 0 ? node->life * 64 + (uint64_t)node->machine : 0);
    for (int i = 0; i < 3;) {
        const TopologyNode *one =
            &topology->servers[random_source_span(&random_source, 0, (int64_t)topology->server_count - 1)];
        const char *ip = sim_address(topology->world, one->machine);
        bool known = false;
        for (int k = 0; k < i; k++)
            known |= strcmp(seeds[k], ip) == 0;
        if (one->used && !one->gone && (!known || topology->server_count < 3))
            seeds[i++] = ip;
    }
}

static bool node_settings_read(TopologyNode *node, Failure *failure)
{
    const Topology *topology = node->topology;
    CodecNode reported = {.name = node->name,
                          .zone = node->zone,
                          .ip = sim_address(topology->world, node->machine),
                          .side = node->side,
                          .disk = node->disk,
                          .founds = node->life == 1 && topology_day_ms(topology) < 0};
    seeds_draw(node, reported.seeds);
    const char *text = topology->codec->settings(node->mem, topology->site, &reported);
    const char *path = talloc_asprintf(node->mem, "%s/%s", topology->folder, node->name);
    FILE *file = fopen(path, "w");
    if (file != NULL) {
        fputs(text, file);
        fclose(file);
    }
    const Status status = topology->adapter->read(node->mem, path, &node->place, failure);
    (void)unlink(path); /* only this process reads it */
    return status == STATUS_OK;
}

static void again_later(void *arg)
{
    TopologyNode *node = arg;
    if (!sim_running(node->topology->world, node->machine) && !node->gone)
        node_start(node);
}

static void ends_by_itself(void *arg)
{
    TopologyNode *node = arg;
    node_kill(node, false);
    sim_schedule(node->topology->world, topology_now_ms(node->topology) + RESTART_MS, again_later, node);
}

static void boot_main(void *arg)
{
    TopologyNode *node = arg;
    Topology *topology = node->topology;
    Failure failure = {0};
    Loop *loop = sim_loop(topology->world, node->machine);
    const ControllerObserver watch = {node, on_plans};
    const Settings *settings = &node->place.settings;
    node->node = (AdapterNode){.loop = loop, .recorder = node->recorder, .place = &node->place};
    recorder_set_place(node->recorder, NULL, NULL); /* the flight recorder outlives the process */
    Status status = node_settings_read(node, &failure) ? STATUS_OK : STATUS_BAD_SETTINGS;
    if (status == STATUS_OK && node->place.role == SETTINGS_CONTROLLER)
        status = controller_start(node->mem, loop, node->recorder, settings, &watch, &node->node.controller, &failure);
    else if (status == STATUS_OK && node->place.role == SETTINGS_ENTRY_POINT)
        status = entry_point_start(node->mem, loop, node->recorder, settings, &node->node.entry_point, &failure);
    else if (status == STATUS_OK)
        status = agent_start(node->mem, loop, node->recorder, settings, &node->node.agent, &failure);
    if (status == STATUS_OK)
        status = topology->adapter->start(node->mem, &node->node, &failure);
    node->up = status == STATUS_OK;
    if (node->up)
        return;
    topology_say(topology, "%s does not start: %s", node->name, failure.text);
    if (node->faults == 0)
        rules_broke(topology->rules, RULE_FAULT, topology_day_ms(topology), "%s does not start: %s", node->name,
                    failure.text);
    sim_schedule(topology->world, topology_now_ms(topology), ends_by_itself, node);
}

static void process_start(void *arg, Loop *loop)
{
    TopologyNode *node = arg;
    node->mem = talloc_new(loop);
    loop_spawn(loop, "boot", boot_main, node);
}

void node_start(TopologyNode *node)
{
    if (sim_running(node->topology->world, node->machine))
        return;
    node->used = true;
    node->life++;
    node->saw_version = 0;
    node->up = node->leaving = false;
    sim_start(node->topology->world, node->machine, process_start, node);
    node_fault(node, 0);
}

static void node_over(TopologyNode *node)
{
    if (node->node.controller != NULL)
        checker_leader_ended(node->topology->checker, node->name);
    node->node = (AdapterNode){0};
    node->up = node->leaving = false;
}

void node_kill(TopologyNode *node, bool power)
{
    if (!sim_running(node->topology->world, node->machine))
        return;
    node_over(node);
    if (power)
        sim_power_off(node->topology->world, node->machine);
    else
        sim_kill(node->topology->world, node->machine);
    node_fault(node, 0);
}

/* --- a polite stop ---------------------------------------------------------------------------- */

typedef struct Rolling {
    TopologyNode *node;
    uint64_t life;
    int64_t until_ms;
    bool ended; /* its process has ended by itself */
} Rolling;

static void term_main(void *arg)
{
    Rolling *rolling = arg;
    const AdapterNode *node = &rolling->node->node;
    if (node->controller != NULL)
        controller_drain(node->controller);
    if (node->entry_point != NULL)
        entry_point_drain(node->entry_point);
    if (node->agent != NULL)
        agent_drain(node->agent);
    rolling->ended = true;
}

static void roll_check(void *arg)
{
    Rolling *rolling = arg;
    TopologyNode *node = rolling->node;
    Topology *topology = node->topology;
    if (node->life == rolling->life && sim_running(topology->world, node->machine)) {
        if (!rolling->ended && topology_now_ms(topology) < rolling->until_ms) {
            sim_schedule(topology->world, topology_now_ms(topology) + 10, roll_check, rolling);
            return;
        }
        if (!rolling->ended)
            topology_say(topology, "%s is ended by force", node->name);
        node_kill(node, false);
        sim_schedule(topology->world, topology_now_ms(topology) + RESTART_MS, again_later, node);
    }
    talloc_free(rolling);
}

void node_roll(TopologyNode *node)
{
    Topology *topology = node->topology;
    if (!node->up || node->leaving)
        return;
    Rolling *rolling = talloc_zero(topology, Rolling);
    *rolling = (Rolling){node, node->life, topology_now_ms(topology) + topology->site->grace_ms, false};
    node->leaving = true;
    node_fault(node, 0);
    loop_spawn(node->node.loop, "term", term_main, rolling);
    sim_schedule(topology->world, topology_now_ms(topology) + 10, roll_check, rolling);
}
