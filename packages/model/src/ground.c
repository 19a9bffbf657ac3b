#include "ground.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define RESTART_MS 300 /* ms; the platform starts a process that has ended again after this */

int64_t ground_now_ms(const Ground *ground)
{
    return sim_now_ms(ground->world);
}

int64_t ground_day_ms(const Ground *ground)
{
    return sim_now_ms(ground->world) - ground->began_ms;
}

void ground_say(const Ground *ground, const char *format, ...)
{
    if (!ground->loud)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " ", ground_day_ms(ground));
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

void ground_tell(const Ground *ground, const TaskName *name, const char *format, ...)
{
    if (ground->job == NULL || strcmp(ground->job, name->job) != 0)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " .%" PRIu64 ".%" PRIu64 ".%" PRIu64 " ", ground_day_ms(ground), name->turn, name->step,
           name->at);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

/* --- what the checker of leaders asks ------------------------------------------------- */

static int64_t check_now(void *arg)
{
    return ground_now_ms(arg);
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
    checker_plans(((GroundNode *)arg)->ground->checker, name, term);
}

/* --- making ------------------------------------------------------------------------------ */

static int ground_free(Ground *ground)
{
    rmdir(ground->folder);
    return 0;
}

static GroundNode *node_add(Ground *ground, bool side, bool disk, int64_t number, int64_t zone)
{
    GroundNode *node = side ? &ground->sides[ground->side_count++] : &ground->edges[ground->edge_count++];
    *node = (GroundNode){.ground = ground,
                         .zone = site_zone(zone),
                         .machine = sim_machine(ground->world),
                         .side = side,
                         .disk = disk,
                         .counted = disk};
    snprintf(node->name, sizeof(node->name), "%s%d", side ? "side" : disk ? "core" : "gate", (int)number + 1);
    node->recorder = recorder_new(ground, node->name);
    recorder_quiet(node->recorder);
    return node;
}

Ground *ground_new(void *mem, const Site *site, const Tongue *tongue, uint64_t seed, Rules *rules)
{
    Ground *ground = talloc_zero(mem, Ground);
    ground->world = sim_world_new(ground, seed);
    ground->site = site;
    ground->tongue = tongue;
    ground->adapter = adapter_find(tongue->adapter);
    ground->rules = rules;
    ground->seed = seed;
    const CheckerSettings settings = {ground, check_now, check_frozen, check_job, NULL};
    ground->checker = checker_new(ground, &settings);
    snprintf(ground->folder, sizeof(ground->folder), "/tmp/model-XXXXXX");
    if (mkdtemp(ground->folder) == NULL)
        ground->folder[0] = '\0';
    talloc_set_destructor(ground, ground_free);
    sim_delay(ground->world, 1, site->link_ms > 1 ? site->link_ms : 1);
    for (int64_t i = 0; i < site->controllers + site->spares; i++)
        node_add(ground, false, true, i, i % site->zones)->used = i < site->controllers;
    for (int64_t i = 0; i < site->entry_points; i++)
        node_add(ground, false, false, i, i % site->zones)->used = true;
    for (int64_t i = 0; i < site->hands; i++)
        node_add(ground, true, false, i, i % site->zones)->used = true;
    return ground;
}

/* --- a process ----------------------------------------------------------------------------- */

/* The same three for all at the first start; later whichever the operator's list has. */
static void seeds_draw(const GroundNode *node, const char *seeds[3])
{
    const Ground *ground = node->ground;
    Dice dice = dice_of(ground->seed, "seeds",
                        node->life > 1 || ground_day_ms(ground) >= 0 ? node->life * 64 + (uint64_t)node->machine : 0);
    for (int i = 0; i < 3;) {
        const GroundNode *one = &ground->edges[dice_span(&dice, 0, (int64_t)ground->edge_count - 1)];
        const char *ip = sim_address(ground->world, one->machine);
        bool known = false;
        for (int k = 0; k < i; k++)
            known |= strcmp(seeds[k], ip) == 0;
        if (one->used && !one->gone && (!known || ground->edge_count < 3))
            seeds[i++] = ip;
    }
}

static bool node_settings_read(GroundNode *node, Failure *failure)
{
    const Ground *ground = node->ground;
    TongueNode told = {.name = node->name,
                       .zone = node->zone,
                       .ip = sim_address(ground->world, node->machine),
                       .side = node->side,
                       .disk = node->disk,
                       .founds = node->life == 1 && ground_day_ms(ground) < 0};
    seeds_draw(node, told.seeds);
    const char *text = ground->tongue->settings(node->mem, ground->site, &told);
    const char *path = talloc_asprintf(node->mem, "%s/%s", ground->folder, node->name);
    FILE *file = fopen(path, "w");
    if (file != NULL) {
        fputs(text, file);
        fclose(file);
    }
    const Status status = ground->adapter->read(node->mem, path, &node->place, failure);
    (void)unlink(path); /* only this process reads it */
    return status == STATUS_OK;
}

static void again_later(void *arg)
{
    GroundNode *node = arg;
    if (!sim_alive(node->ground->world, node->machine) && !node->gone)
        node_start(node);
}

static void ends_alone(void *arg)
{
    GroundNode *node = arg;
    node_kill(node, false);
    sim_at(node->ground->world, ground_now_ms(node->ground) + RESTART_MS, again_later, node);
}

static void boot_main(void *arg)
{
    GroundNode *node = arg;
    Ground *ground = node->ground;
    Failure failure = {0};
    Loop *loop = sim_loop(ground->world, node->machine);
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
        status = ground->adapter->start(node->mem, &node->node, &failure);
    node->up = status == STATUS_OK;
    if (node->up)
        return;
    ground_say(ground, "%s does not start: %s", node->name, failure.text);
    if (node->troubles == 0)
        rules_broke(ground->rules, RULE_FAULT, ground_day_ms(ground), "%s does not start: %s", node->name,
                    failure.text);
    sim_at(ground->world, ground_now_ms(ground), ends_alone, node);
}

static void process_start(void *arg, Loop *loop)
{
    GroundNode *node = arg;
    node->mem = talloc_new(loop);
    loop_spawn(loop, "boot", boot_main, node);
}

void node_start(GroundNode *node)
{
    if (sim_alive(node->ground->world, node->machine))
        return;
    node->used = true;
    node->life++;
    node->saw_version = 0;
    node->up = node->leaving = false;
    sim_start(node->ground->world, node->machine, process_start, node);
    node_trouble(node, 0);
}

static void node_over(GroundNode *node)
{
    if (node->node.controller != NULL)
        checker_leader_gone(node->ground->checker, node->name);
    node->node = (AdapterNode){0};
    node->up = node->leaving = false;
}

void node_kill(GroundNode *node, bool power)
{
    if (!sim_alive(node->ground->world, node->machine))
        return;
    node_over(node);
    if (power)
        sim_power_off(node->ground->world, node->machine);
    else
        sim_kill(node->ground->world, node->machine);
    node_trouble(node, 0);
}

/* --- a polite stop ---------------------------------------------------------------------------- */

typedef struct Rolling {
    GroundNode *node;
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
    GroundNode *node = rolling->node;
    Ground *ground = node->ground;
    if (node->life == rolling->life && sim_alive(ground->world, node->machine)) {
        if (!rolling->ended && ground_now_ms(ground) < rolling->until_ms) {
            sim_at(ground->world, ground_now_ms(ground) + 10, roll_look, rolling);
            return;
        }
        if (!rolling->ended)
            ground_say(ground, "%s is ended by force", node->name);
        node_kill(node, false);
        sim_at(ground->world, ground_now_ms(ground) + RESTART_MS, again_later, node);
    }
    talloc_free(rolling);
}

void node_roll(GroundNode *node)
{
    Ground *ground = node->ground;
    if (!node->up || node->leaving)
        return;
    Rolling *rolling = talloc_zero(ground, Rolling);
    *rolling = (Rolling){node, node->life, ground_now_ms(ground) + ground->site->grace_ms, false};
    node->leaving = true;
    node_trouble(node, 0);
    loop_spawn(node->node.loop, "term", term_main, rolling);
    sim_at(ground->world, ground_now_ms(ground) + 10, roll_look, rolling);
}

/* --- links and health ---------------------------------------------------------------------------- */

void node_trouble(GroundNode *node, int change)
{
    Ground *ground = node->ground;
    const int64_t now_ms = ground_now_ms(ground);
    node->troubles += change;
    node->trouble_ms = node->troubles > 0 ? INT64_MAX : now_ms;
    ground->any_troubles += change;
    ground->any_ms = ground->any_troubles > 0 ? INT64_MAX : now_ms;
    if (!node->disk)
        return;
    ground->controller_troubles += change;
    ground->controller_ms = ground->controller_troubles > 0 ? INT64_MAX : now_ms;
}

void ground_cut(GroundNode *a, GroundNode *b, bool cut)
{
    SimWorld *world = a->ground->world;
    if (a == b || sim_is_cut(world, a->machine, b->machine) == cut)
        return;
    sim_cut(world, a->machine, b->machine, cut);
    sim_cut(world, b->machine, a->machine, cut);
    node_trouble(a, cut ? 1 : -1);
    node_trouble(b, cut ? 1 : -1);
}

void node_cut(GroundNode *node, bool cut)
{
    Ground *ground = node->ground;
    /* a machine beside a worker speaks to the edge alone: the others are in no trouble by it */
    for (size_t i = 0; i < ground->edge_count + ground->side_count; i++) {
        GroundNode *other = i < ground->edge_count ? &ground->edges[i] : &ground->sides[i - ground->edge_count];
        if (other == node)
            continue;
        sim_cut(ground->world, node->machine, other->machine, cut);
        sim_cut(ground->world, other->machine, node->machine, cut);
    }
    node_trouble(node, cut ? 1 : -1);
}

static void thawed(void *arg)
{
    node_trouble(arg, -1);
}

void node_freeze(GroundNode *node, int64_t for_ms)
{
    Ground *ground = node->ground;
    sim_freeze(ground->world, node->machine, ground_now_ms(ground) + for_ms);
    node_trouble(node, 1);
    sim_at(ground->world, ground_now_ms(ground) + for_ms, thawed, node);
}

static bool since(int64_t trouble_ms, int64_t now_ms, int64_t span_ms)
{
    return trouble_ms != INT64_MAX && now_ms - trouble_ms >= span_ms;
}

bool ground_settled(const Ground *ground)
{
    int64_t running = 0, all = 0;
    for (size_t i = 0; i < ground->edge_count; i++) {
        const GroundNode *node = &ground->edges[i];
        all += node->disk && node->used && !node->gone;
        running += node->disk && node->up && !node->gone;
    }
    return running * 2 > all && since(ground->controller_ms, ground_now_ms(ground), ground->site->contact_ms);
}

bool node_in_touch(const GroundNode *node)
{
    const Ground *ground = node->ground;
    return node->up && !node->leaving && since(node->trouble_ms, ground_now_ms(ground), ground->site->contact_ms) &&
           ground_settled(ground);
}

bool ground_calm(const Ground *ground)
{
    return since(ground->any_ms, ground_now_ms(ground), ground->site->contact_ms);
}

GroundNode *ground_leader(Ground *ground)
{
    for (size_t i = 0; i < ground->edge_count; i++) {
        GroundNode *node = &ground->edges[i];
        if (node->up && node->node.controller != NULL && !sim_frozen(ground->world, node->machine) &&
            replication_leading(controller_view(node->node.controller)))
            return node;
    }
    return NULL;
}

void ground_start(Ground *ground)
{
    ground->began_ms = ground_now_ms(ground) + ground->site->lead_ms;
    for (size_t i = 0; i < ground->edge_count; i++)
        if (ground->edges[i].used)
            node_start(&ground->edges[i]);
    for (size_t i = 0; i < ground->side_count; i++)
        node_start(&ground->sides[i]);
}

void ground_dump(const Ground *ground)
{
    for (size_t i = 0; i < ground->edge_count && ground->loud; i++)
        recorder_dump(ground->edges[i].recorder, stderr);
    for (size_t i = 0; i < ground->side_count && ground->loud; i++)
        recorder_dump(ground->sides[i].recorder, stderr);
}
