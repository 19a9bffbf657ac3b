#include "ground.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#define RESTART_MS 300 /* ms; the platform starts a process that has ended again after this */

int64_t groundNowMs(const Ground *ground)
{
    return sim_now_ms(ground->world);
}

int64_t groundDayMs(const Ground *ground)
{
    return sim_now_ms(ground->world) - ground->began_ms;
}

void groundSay(const Ground *ground, const char *format, ...)
{
    if (!ground->loud)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " ", groundDayMs(ground));
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

void groundTell(const Ground *ground, const TaskName *name, const char *format, ...)
{
    if (ground->job == NULL || strcmp(ground->job, name->job) != 0)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " .%" PRIu64 ".%" PRIu64 ".%" PRIu64 " ", groundDayMs(ground), name->turn, name->step, name->at);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

/* --- what the checker of leaders asks ------------------------------------------------- */

static int64_t checkNow(void *arg)
{
    return groundNowMs(arg);
}

static bool checkFrozen(void *arg, const char *worker)
{
    (void)arg;
    (void)worker;
    return false;
}

static const Job *checkJob(void *arg, const char *id)
{
    (void)arg;
    (void)id;
    return NULL;
}

static void on_plans(void *arg, const char *name, uint64_t epoch)
{
    checker_plans(((GroundNode *)arg)->ground->checker, name, epoch);
}

/* --- making ------------------------------------------------------------------------------ */

static int groundFree(Ground *ground)
{
    rmdir(ground->folder);
    return 0;
}

static GroundNode *node_add(Ground *ground, bool side, bool disk, int64_t number, int64_t zone)
{
    GroundNode *node = side ? &ground->sides[ground->sideCount++] : &ground->edges[ground->edgeCount++];
    *node = (GroundNode){.ground = ground,
                         .zone = siteZone(zone),
                         .machine = sim_machine(ground->world),
                         .side = side,
                         .disk = disk,
                         .counted = disk};
    snprintf(node->name, sizeof(node->name), "%s%d", side ? "side" : disk ? "core" : "gate", (int)number + 1);
    node->ring = ring_new(ground, node->name);
    ring_quiet(node->ring);
    return node;
}

Ground *groundNew(void *mem, const Site *site, const Tongue *tongue, uint64_t seed, Rules *rules)
{
    Ground *ground = talloc_zero(mem, Ground);
    ground->world = sim_world_new(ground, seed);
    ground->site = site;
    ground->tongue = tongue;
    ground->face = face_find(tongue->face);
    ground->rules = rules;
    ground->seed = seed;
    const CheckerProps props = {ground, checkNow, checkFrozen, checkJob, NULL};
    ground->checker = checker_new(ground, &props);
    snprintf(ground->folder, sizeof(ground->folder), "/tmp/model-XXXXXX");
    if (mkdtemp(ground->folder) == NULL)
        ground->folder[0] = '\0';
    talloc_set_destructor(ground, groundFree);
    sim_delay(ground->world, 1, site->linkMs > 1 ? site->linkMs : 1);
    for (int64_t i = 0; i < site->cores + site->spares; i++)
        node_add(ground, false, true, i, i % site->zones)->used = i < site->cores;
    for (int64_t i = 0; i < site->gates; i++)
        node_add(ground, false, false, i, i % site->zones)->used = true;
    for (int64_t i = 0; i < site->hands; i++)
        node_add(ground, true, false, i, i % site->zones)->used = true;
    return ground;
}

/* --- a process ----------------------------------------------------------------------------- */

/* The same three for all at the first start; later whichever the operator's list has. */
static void seedsDraw(const GroundNode *node, const char *seeds[3])
{
    const Ground *ground = node->ground;
    Dice dice = diceOf(ground->seed, "seeds",
                       node->life > 1 || groundDayMs(ground) >= 0 ? node->life * 64 + (uint64_t)node->machine : 0);
    for (int i = 0; i < 3;) {
        const GroundNode *one = &ground->edges[diceSpan(&dice, 0, (int64_t)ground->edgeCount - 1)];
        const char *ip = sim_address(ground->world, one->machine);
        bool known = false;
        for (int k = 0; k < i; k++)
            known |= strcmp(seeds[k], ip) == 0;
        if (one->used && !one->gone && (!known || ground->edgeCount < 3))
            seeds[i++] = ip;
    }
}

static bool settingsRead(GroundNode *node, Failure *failure)
{
    const Ground *ground = node->ground;
    TongueNode told = {.name = node->name,
                       .zone = node->zone,
                       .ip = sim_address(ground->world, node->machine),
                       .side = node->side,
                       .disk = node->disk,
                       .founds = node->life == 1 && groundDayMs(ground) < 0};
    seedsDraw(node, told.seeds);
    const char *text = ground->tongue->settings(node->mem, ground->site, &told);
    const char *path = talloc_asprintf(node->mem, "%s/%s", ground->folder, node->name);
    FILE *file = fopen(path, "w");
    if (file != NULL) {
        fputs(text, file);
        fclose(file);
    }
    const Status status = ground->face->read(node->mem, path, &node->place, failure);
    (void)unlink(path); /* only this process reads it */
    return status == STATUS_OK;
}

static void againLater(void *arg)
{
    GroundNode *node = arg;
    if (!sim_alive(node->ground->world, node->machine) && !node->gone)
        node_start(node);
}

static void endsAlone(void *arg)
{
    GroundNode *node = arg;
    nodeKill(node, false);
    sim_at(node->ground->world, groundNowMs(node->ground) + RESTART_MS, againLater, node);
}

static void boot_main(void *arg)
{
    GroundNode *node = arg;
    Ground *ground = node->ground;
    Failure failure = {0};
    Loop *loop = sim_loop(ground->world, node->machine);
    const CoreWatch watch = {node, on_plans};
    const Props *props = &node->place.props;
    node->node = (FaceNode){.loop = loop, .ring = node->ring, .place = &node->place};
    ring_set_place(node->ring, NULL, NULL); /* it outlives the process that was there before */
    Status status = settingsRead(node, &failure) ? STATUS_OK : STATUS_BAD_PROPS;
    if (status == STATUS_OK && node->place.role == PROPS_CORE)
        status = core_start(node->mem, loop, node->ring, props, &watch, &node->node.core, &failure);
    else if (status == STATUS_OK && node->place.role == PROPS_GATE)
        status = gate_start(node->mem, loop, node->ring, props, &node->node.gate, &failure);
    else if (status == STATUS_OK)
        status = agent_start(node->mem, loop, node->ring, props, &node->node.agent, &failure);
    if (status == STATUS_OK)
        status = ground->face->start(node->mem, &node->node, &failure);
    node->up = status == STATUS_OK;
    if (node->up)
        return;
    groundSay(ground, "%s does not start: %s", node->name, failure.text);
    if (node->troubles == 0)
        rulesBroke(ground->rules, RULE_FAULT, groundDayMs(ground), "%s does not start: %s", node->name, failure.text);
    sim_at(ground->world, groundNowMs(ground), endsAlone, node);
}

static void processStart(void *arg, Loop *loop)
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
    node->sawRevision = 0;
    node->up = node->leaving = false;
    sim_start(node->ground->world, node->machine, processStart, node);
    nodeTrouble(node, 0);
}

static void nodeOver(GroundNode *node)
{
    if (node->node.core != NULL)
        checker_leader_gone(node->ground->checker, node->name);
    node->node = (FaceNode){0};
    node->up = node->leaving = false;
}

void nodeKill(GroundNode *node, bool power)
{
    if (!sim_alive(node->ground->world, node->machine))
        return;
    nodeOver(node);
    if (power)
        sim_power_off(node->ground->world, node->machine);
    else
        sim_kill(node->ground->world, node->machine);
    nodeTrouble(node, 0);
}

/* --- a polite stop ---------------------------------------------------------------------------- */

typedef struct Rolling {
    GroundNode *node;
    uint64_t life;
    int64_t until_ms;
    bool ended; /* its process has come to its end by itself */
} Rolling;

static void termMain(void *arg)
{
    Rolling *rolling = arg;
    const FaceNode *node = &rolling->node->node;
    if (node->core != NULL)
        core_drain(node->core);
    if (node->gate != NULL)
        gate_drain(node->gate);
    if (node->agent != NULL)
        agent_drain(node->agent);
    rolling->ended = true;
}

static void rollLook(void *arg)
{
    Rolling *rolling = arg;
    GroundNode *node = rolling->node;
    Ground *ground = node->ground;
    if (node->life == rolling->life && sim_alive(ground->world, node->machine)) {
        if (!rolling->ended && groundNowMs(ground) < rolling->until_ms) {
            sim_at(ground->world, groundNowMs(ground) + 10, rollLook, rolling);
            return;
        }
        if (!rolling->ended)
            groundSay(ground, "%s is ended by force", node->name);
        nodeKill(node, false);
        sim_at(ground->world, groundNowMs(ground) + RESTART_MS, againLater, node);
    }
    talloc_free(rolling);
}

void nodeRoll(GroundNode *node)
{
    Ground *ground = node->ground;
    if (!node->up || node->leaving)
        return;
    Rolling *rolling = talloc_zero(ground, Rolling);
    *rolling = (Rolling){node, node->life, groundNowMs(ground) + ground->site->grace_ms, false};
    node->leaving = true;
    nodeTrouble(node, 0);
    loop_spawn(node->node.loop, "term", termMain, rolling);
    sim_at(ground->world, groundNowMs(ground) + 10, rollLook, rolling);
}

/* --- links and health ---------------------------------------------------------------------------- */

void nodeTrouble(GroundNode *node, int change)
{
    Ground *ground = node->ground;
    const int64_t now_ms = groundNowMs(ground);
    node->troubles += change;
    node->troubleMs = node->troubles > 0 ? INT64_MAX : now_ms;
    ground->anyTroubles += change;
    ground->anyMs = ground->anyTroubles > 0 ? INT64_MAX : now_ms;
    if (!node->disk)
        return;
    ground->coreTroubles += change;
    ground->coreMs = ground->coreTroubles > 0 ? INT64_MAX : now_ms;
}

void groundCut(GroundNode *a, GroundNode *b, bool cut)
{
    SimWorld *world = a->ground->world;
    if (a == b || sim_is_cut(world, a->machine, b->machine) == cut)
        return;
    sim_cut(world, a->machine, b->machine, cut);
    sim_cut(world, b->machine, a->machine, cut);
    nodeTrouble(a, cut ? 1 : -1);
    nodeTrouble(b, cut ? 1 : -1);
}

void nodeCut(GroundNode *node, bool cut)
{
    Ground *ground = node->ground;
    /* a machine beside a worker speaks to the edge alone: the others are in no trouble by it */
    for (size_t i = 0; i < ground->edgeCount + ground->sideCount; i++) {
        GroundNode *other = i < ground->edgeCount ? &ground->edges[i] : &ground->sides[i - ground->edgeCount];
        if (other == node)
            continue;
        sim_cut(ground->world, node->machine, other->machine, cut);
        sim_cut(ground->world, other->machine, node->machine, cut);
    }
    nodeTrouble(node, cut ? 1 : -1);
}

static void thawed(void *arg)
{
    nodeTrouble(arg, -1);
}

void nodeFreeze(GroundNode *node, int64_t for_ms)
{
    Ground *ground = node->ground;
    sim_freeze(ground->world, node->machine, groundNowMs(ground) + for_ms);
    nodeTrouble(node, 1);
    sim_at(ground->world, groundNowMs(ground) + for_ms, thawed, node);
}

static bool since(int64_t troubleMs, int64_t now_ms, int64_t span_ms)
{
    return troubleMs != INT64_MAX && now_ms - troubleMs >= span_ms;
}

bool groundSettled(const Ground *ground)
{
    int64_t running = 0, all = 0;
    for (size_t i = 0; i < ground->edgeCount; i++) {
        const GroundNode *node = &ground->edges[i];
        all += node->disk && node->used && !node->gone;
        running += node->disk && node->up && !node->gone;
    }
    return running * 2 > all && since(ground->coreMs, groundNowMs(ground), ground->site->contactMs);
}

bool nodeInTouch(const GroundNode *node)
{
    const Ground *ground = node->ground;
    return node->up && !node->leaving && since(node->troubleMs, groundNowMs(ground), ground->site->contactMs) &&
           groundSettled(ground);
}

bool groundCalm(const Ground *ground)
{
    return since(ground->anyMs, groundNowMs(ground), ground->site->contactMs);
}

GroundNode *groundLeader(Ground *ground)
{
    for (size_t i = 0; i < ground->edgeCount; i++) {
        GroundNode *node = &ground->edges[i];
        if (node->up && node->node.core != NULL && !sim_frozen(ground->world, node->machine) &&
            view_leading(core_view(node->node.core)))
            return node;
    }
    return NULL;
}

void groundStart(Ground *ground)
{
    ground->began_ms = groundNowMs(ground) + ground->site->leadMs;
    for (size_t i = 0; i < ground->edgeCount; i++)
        if (ground->edges[i].used)
            node_start(&ground->edges[i]);
    for (size_t i = 0; i < ground->sideCount; i++)
        node_start(&ground->sides[i]);
}

void groundDump(const Ground *ground)
{
    for (size_t i = 0; i < ground->edgeCount && ground->loud; i++)
        ring_dump(ground->edges[i].ring, stderr);
    for (size_t i = 0; i < ground->sideCount && ground->loud; i++)
        ring_dump(ground->sides[i].ring, stderr);
}
