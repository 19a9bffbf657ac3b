#include "topology.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define RESTART_MS 300 /* ms; the platform starts a process that has ended again after this */

int64_t topology_now_ms(const Topology *topology)
{
    return sim_now_ms(topology->world);
}

int64_t topology_day_ms(const Topology *topology)
{
    return sim_now_ms(topology->world) - topology->began_ms;
}

void topology_say(const Topology *topology, const char *format, ...)
{
    if (!topology->loud)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " ", topology_day_ms(topology));
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

void topology_tell(const Topology *topology, const TaskName *name, const char *format, ...)
{
    if (topology->job == NULL || strcmp(topology->job, name->job) != 0)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " .%" PRIu64 ".%" PRIu64 ".%" PRIu64 " ", topology_day_ms(topology), name->turn, name->step,
           name->at);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

/* --- what the checker of leaders asks ------------------------------------------------- */

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

static void on_plans(void *arg, const char *name, uint64_t term)
{
    checker_plans(((TopologyNode *)arg)->topology->checker, name, term);
}

/* --- making ------------------------------------------------------------------------------ */

static int topology_free(Topology *topology)
{
    rmdir(topology->folder);
    return 0;
}

static TopologyNode *node_add(Topology *topology, bool side, bool disk, int64_t number, int64_t zone)
{
    TopologyNode *node = side ? &topology->sides[topology->side_count++] : &topology->edges[topology->edge_count++];
    *node = (TopologyNode){.topology = topology,
                           .zone = site_zone(zone),
                           .machine = sim_machine(topology->world),
                           .side = side,
                           .disk = disk,
                           .counted = disk};
    snprintf(node->name, sizeof(node->name), "%s%d", side ? "side" : disk ? "core" : "gate", (int)number + 1);
    node->recorder = recorder_new(topology, node->name);
    recorder_quiet(node->recorder);
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
    sim_delay(topology->world, 1, site->link_ms > 1 ? site->link_ms : 1);
    for (int64_t i = 0; i < site->controllers + site->spares; i++)
        node_add(topology, false, true, i, i % site->zones)->used = i < site->controllers;
    for (int64_t i = 0; i < site->entry_points; i++)
        node_add(topology, false, false, i, i % site->zones)->used = true;
    for (int64_t i = 0; i < site->worker_models; i++)
        node_add(topology, true, false, i, i % site->zones)->used = true;
    return topology;
}

/* --- a process ----------------------------------------------------------------------------- */

/* The same three for all at the first start; later whichever the operator's list has. */
static void seeds_draw(const TopologyNode *node, const char *seeds[3])
{
    const Topology *topology = node->topology;
    RandomSource random_source = random_source_of(
        topology->seed, "seeds",
        node->life > 1 || topology_day_ms(topology) >= 0 ? node->life * 64 + (uint64_t)node->machine : 0);
    for (int i = 0; i < 3;) {
        const TopologyNode *one =
            &topology->edges[random_source_span(&random_source, 0, (int64_t)topology->edge_count - 1)];
        const char *ip = sim_address(topology->world, one->machine);
        bool known = false;
        for (int k = 0; k < i; k++)
            known |= strcmp(seeds[k], ip) == 0;
        if (one->used && !one->gone && (!known || topology->edge_count < 3))
            seeds[i++] = ip;
    }
}

static bool node_settings_read(TopologyNode *node, Failure *failure)
{
    const Topology *topology = node->topology;
    CodecNode told = {.name = node->name,
                      .zone = node->zone,
                      .ip = sim_address(topology->world, node->machine),
                      .side = node->side,
                      .disk = node->disk,
                      .founds = node->life == 1 && topology_day_ms(topology) < 0};
    seeds_draw(node, told.seeds);
    const char *text = topology->codec->settings(node->mem, topology->site, &told);
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
    if (!sim_alive(node->topology->world, node->machine) && !node->gone)
        node_start(node);
}

static void ends_alone(void *arg)
{
    TopologyNode *node = arg;
    node_kill(node, false);
    sim_at(node->topology->world, topology_now_ms(node->topology) + RESTART_MS, again_later, node);
}

static void boot_main(void *arg)
{
    TopologyNode *node = arg;
    Topology *topology = node->topology;
    Failure failure = {0};
    Loop *loop = sim_loop(topology->world, node->machine);
    const ControllerWatch watch = {node, on_plans};
    const Settings *settings = &node->place.settings;
    node->node = (AdapterNode){.loop = loop, .recorder = node->recorder, .place = &node->place};
    recorder_set_place(node->recorder, NULL, NULL); /* it outlives the process that was there before */
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
    sim_at(topology->world, topology_now_ms(topology), ends_alone, node);
}

static void process_start(void *arg, Loop *loop)
{
    TopologyNode *node = arg;
    node->mem = talloc_new(loop);
    loop_spawn(loop, "boot", boot_main, node);
}

void node_start(TopologyNode *node)
{
    if (sim_alive(node->topology->world, node->machine))
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
        checker_leader_gone(node->topology->checker, node->name);
    node->node = (AdapterNode){0};
    node->up = node->leaving = false;
}

void node_kill(TopologyNode *node, bool power)
{
    if (!sim_alive(node->topology->world, node->machine))
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
    bool ended; /* its process has come to its end by itself */
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

static void roll_look(void *arg)
{
    Rolling *rolling = arg;
    TopologyNode *node = rolling->node;
    Topology *topology = node->topology;
    if (node->life == rolling->life && sim_alive(topology->world, node->machine)) {
        if (!rolling->ended && topology_now_ms(topology) < rolling->until_ms) {
            sim_at(topology->world, topology_now_ms(topology) + 10, roll_look, rolling);
            return;
        }
        if (!rolling->ended)
            topology_say(topology, "%s is ended by force", node->name);
        node_kill(node, false);
        sim_at(topology->world, topology_now_ms(topology) + RESTART_MS, again_later, node);
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
    sim_at(topology->world, topology_now_ms(topology) + 10, roll_look, rolling);
}

/* --- links and health ---------------------------------------------------------------------------- */

void node_fault(TopologyNode *node, int change)
{
    Topology *topology = node->topology;
    const int64_t now_ms = topology_now_ms(topology);
    node->faults += change;
    node->fault_ms = node->faults > 0 ? INT64_MAX : now_ms;
    topology->any_faults += change;
    topology->any_ms = topology->any_faults > 0 ? INT64_MAX : now_ms;
    if (!node->disk)
        return;
    topology->controller_faults += change;
    topology->controller_ms = topology->controller_faults > 0 ? INT64_MAX : now_ms;
}

void topology_cut(TopologyNode *a, TopologyNode *b, bool cut)
{
    SimWorld *world = a->topology->world;
    if (a == b || sim_is_cut(world, a->machine, b->machine) == cut)
        return;
    sim_cut(world, a->machine, b->machine, cut);
    sim_cut(world, b->machine, a->machine, cut);
    node_fault(a, cut ? 1 : -1);
    node_fault(b, cut ? 1 : -1);
}

void node_cut(TopologyNode *node, bool cut)
{
    Topology *topology = node->topology;
    /* a machine beside a worker speaks to the edge alone: the others are in no trouble by it */
    for (size_t i = 0; i < topology->edge_count + topology->side_count; i++) {
        TopologyNode *other =
            i < topology->edge_count ? &topology->edges[i] : &topology->sides[i - topology->edge_count];
        if (other == node)
            continue;
        sim_cut(topology->world, node->machine, other->machine, cut);
        sim_cut(topology->world, other->machine, node->machine, cut);
    }
    node_fault(node, cut ? 1 : -1);
}

static void thawed(void *arg)
{
    node_fault(arg, -1);
}

void node_freeze(TopologyNode *node, int64_t for_ms)
{
    Topology *topology = node->topology;
    sim_freeze(topology->world, node->machine, topology_now_ms(topology) + for_ms);
    node_fault(node, 1);
    sim_at(topology->world, topology_now_ms(topology) + for_ms, thawed, node);
}

static bool since(int64_t fault_ms, int64_t now_ms, int64_t span_ms)
{
    return fault_ms != INT64_MAX && now_ms - fault_ms >= span_ms;
}

bool topology_settled(const Topology *topology)
{
    int64_t running = 0, all = 0;
    for (size_t i = 0; i < topology->edge_count; i++) {
        const TopologyNode *node = &topology->edges[i];
        all += node->disk && node->used && !node->gone;
        running += node->disk && node->up && !node->gone;
    }
    return running * 2 > all && since(topology->controller_ms, topology_now_ms(topology), topology->site->contact_ms);
}

bool node_in_touch(const TopologyNode *node)
{
    const Topology *topology = node->topology;
    return node->up && !node->leaving && since(node->fault_ms, topology_now_ms(topology), topology->site->contact_ms) &&
           topology_settled(topology);
}

bool topology_calm(const Topology *topology)
{
    return since(topology->any_ms, topology_now_ms(topology), topology->site->contact_ms);
}

TopologyNode *topology_leader(Topology *topology)
{
    for (size_t i = 0; i < topology->edge_count; i++) {
        TopologyNode *node = &topology->edges[i];
        if (node->up && node->node.controller != NULL && !sim_frozen(topology->world, node->machine) &&
            replication_leading(controller_view(node->node.controller)))
            return node;
    }
    return NULL;
}

void topology_start(Topology *topology)
{
    topology->began_ms = topology_now_ms(topology) + topology->site->lead_ms;
    for (size_t i = 0; i < topology->edge_count; i++)
        if (topology->edges[i].used)
            node_start(&topology->edges[i]);
    for (size_t i = 0; i < topology->side_count; i++)
        node_start(&topology->sides[i]);
}

void topology_dump(const Topology *topology)
{
    for (size_t i = 0; i < topology->edge_count && topology->loud; i++)
        recorder_dump(topology->edges[i].recorder, stderr);
    for (size_t i = 0; i < topology->side_count && topology->loud; i++)
        recorder_dump(topology->sides[i].recorder, stderr);
}
