#include "sim/fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const ZONES[] = {"north", "south", "west", "east"};
static const char *const ROLE_NAMES[] = {"core", "gate", "agent", "worker"};

static const char *const SSD[] = {"ssd"};

static int64_t worldNow(void *arg)
{
    return simNowMs(((const Fleet *)arg)->world);
}

static int64_t worldWall(void *arg)
{
    return simWallMs(((const Fleet *)arg)->world);
}

static FleetNode *workerNode(const Fleet *fleet, const char *name)
{
    for (int i = 0; i < fleet->nodeCount[FLEET_WORKER]; i++)
        if (strcmp(fleet->nodes[FLEET_WORKER][i].props.name, name) == 0)
            return (FleetNode *)(uintptr_t)&fleet->nodes[FLEET_WORKER][i];
    return NULL;
}

static bool workerFrozen(void *arg, const char *name)
{
    const Fleet *fleet = arg;
    const FleetNode *node = workerNode(fleet, name);
    return node != NULL && simFrozen(fleet->world, node->machine);
}

const Job *fleetJob(const Fleet *fleet, const char *id)
{
    const Job *found = NULL;
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CORE][i];
        if (!node->up || node->core == NULL)
            continue;
        const Job *job = tableJob(coreTable(node->core), id);
        if (job != NULL && (found == NULL || viewLeading(coreView(node->core))))
            found = job;
    }
    return found;
}

static const Job *jobOf(void *arg, const char *id)
{
    return fleetJob(arg, id);
}

/* --- what the nodes tell the checker ---------------------------------------------- */

static void onPlans(void *arg, const char *name, uint64_t epoch)
{
    checkerPlans(((FleetNode *)arg)->fleet->checker, name, epoch);
}

static void onStarted(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, Room room)
{
    checkerStarted(((FleetNode *)arg)->fleet->checker, worker, job, task, round, room);
}

static void onEnded(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word)
{
    checkerEnded(((FleetNode *)arg)->fleet->checker, worker, job, task, round, word);
}

static void onKnown(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word)
{
    checkerKnown(((FleetNode *)arg)->fleet->checker, worker, job, task, round, word);
}

static void onBooted(void *arg, const char *worker)
{
    checkerBooted(((FleetNode *)arg)->fleet->checker, worker);
}

static void onHeld(void *arg, const char *worker, int64_t leftMs)
{
    const FleetNode *node = arg;
    checkerHeld(node->fleet->checker, worker, simNowMs(node->fleet->world) + leftMs);
}

static void onResumed(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, const char *saved)
{
    checkerResumed(((FleetNode *)arg)->fleet->checker, worker, job, task, round, saved);
}

static void onTold(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round)
{
    checkerTold(((FleetNode *)arg)->fleet->checker, worker, job, task, round);
}

static void onSent(void *arg, const char *id)
{
    checkerSent(((Fleet *)arg)->checker, id);
}

static void onAccepted(void *arg, const char *id)
{
    checkerAccepted(((Fleet *)arg)->checker, id);
}

static void onRefused(void *arg, const char *id, int code)
{
    (void)code;
    checkerRefused(((Fleet *)arg)->checker, id);
}

static void onJobEnded(void *arg, const char *id, const char *phase)
{
    checkerJobEnded(((Fleet *)arg)->checker, id, phase);
}

static void onUnknown(void *arg, const char *id)
{
    checkerUnknown(((Fleet *)arg)->checker, id);
}

static void onCancelled(void *arg, const char *id)
{
    checkerCancelled(((Fleet *)arg)->checker, id);
}

/* --- building ------------------------------------------------------------------------ */

static FleetNode *nodeAdd(Fleet *fleet, FleetRole role)
{
    const int number = fleet->nodeCount[role]++;
    FleetNode *node = &fleet->nodes[role][number];
    node->fleet = fleet;
    node->role = role;
    node->number = number;
    node->machine = simMachine(fleet->world);
    const char *ip = simAddress(fleet->world, node->machine);
    node->props.bounds = boundsFirst();
    node->props.name = talloc_asprintf(fleet, "%s%d", ROLE_NAMES[role], number + 1);
    node->props.zone = ZONES[number % fleet->site.zones];
    node->props.bounds.losses = fleet->site.losses;
    if (fleet->site.seatBackMs > 0)
        node->props.bounds.seatBackMs = fleet->site.seatBackMs;
    node->props.bounds.disksKeep = fleet->site.disksKeep;
    if (fleet->site.votes)
        node->props.bounds.founds = 1;
    node->props.listen = talloc_asprintf(fleet, "%s:7000", ip);
    node->props.http = talloc_asprintf(fleet, "%s:8000", ip);
    return node;
}

Fleet *fleetNew(void *mem, uint64_t seed, FleetShape shape)
{
    return fleetNewAt(mem, seed, shape, &(FleetSite){.zones = 3, .losses = 1});
}

static const char *seedOf(const Fleet *fleet, int number)
{
    const int gates = fleet->site.gateSeeds;
    return number < gates ? fleet->nodes[FLEET_GATE][number % fleet->shape.gates].props.listen
                          : fleet->nodes[FLEET_CORE][(number - gates) % fleet->shape.cores].props.listen;
}

Fleet *fleetNewAt(void *mem, uint64_t seed, FleetShape shape, const FleetSite *site)
{
    Fleet *fleet = talloc_zero(mem, Fleet);
    fleet->world = simWorldNew(fleet, seed);
    fleet->shape = shape;
    fleet->site = *site;
    const CheckerProps props = {fleet, worldNow, workerFrozen, jobOf, worldWall};
    fleet->checker = checkerNew(fleet, &props);
    for (int i = 0; i < shape.cores + shape.spares; i++)
        nodeAdd(fleet, FLEET_CORE)->props.data = "data";
    for (int i = 0; i < shape.gates; i++)
        nodeAdd(fleet, FLEET_GATE);
    for (int i = 0; i < shape.workers; i++) {
        FleetNode *agent = nodeAdd(fleet, FLEET_AGENT);
        FleetNode *worker = nodeAdd(fleet, FLEET_WORKER);
        agent->props.worker = worker->props.name;
        const bool large = shape.mix == MIX_TRENTVALE;
        worker->workerProps = (StandWorkerProps){
            .worker = {.name = worker->props.name,
                       .zone = worker->props.zone,
                       .rack = talloc_asprintf(fleet, "rack%d", i / 3),
                       .kind = shape.mix == MIX_VARIED && i % 4 == 1 ? "gpu" : "std",
                       .labels = (const char **)(uintptr_t)SSD,
                       .labelsCount = shape.mix == MIX_VARIED && i % 2 == 0,
                       .room = large ? (Room){64000, 131072, 0} : (Room){16000, 65536, 0}},
            .agent = agent->props.http,
            .watch = {worker, onStarted, onEnded, onKnown, onBooted, onHeld, onResumed, onTold},
        };
        checkerWorker(fleet->checker, &worker->workerProps.worker);
    }
    fleet->caller = simMachine(fleet->world);
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            for (int s = 0; s < SEEDS; s++)
                fleet->nodes[role][i].props.seeds[s] = seedOf(fleet, s);
    /* the seeds have changed hands by the time that a spare comes */
    for (int i = shape.cores; i < fleet->nodeCount[FLEET_CORE]; i++)
        for (int s = 0; s < SEEDS; s++)
            fleet->nodes[FLEET_CORE][i].props.seeds[s] = fleet->nodes[FLEET_GATE][s % shape.gates].props.listen;
    return fleet;
}

FleetNode *fleetNode(Fleet *fleet, FleetRole role, int number)
{
    return &fleet->nodes[role][number];
}

static void bootMain(void *arg)
{
    FleetNode *node = arg;
    Loop *loop = simLoop(node->fleet->world, node->machine);
    Failure failure = {0};
    Status status = STATUS_OK;
    const CoreWatch watch = {node, onPlans};
    switch (node->role) {
    case FLEET_CORE:
        status = coreStart(loop, loop, node->ring, &node->props, &watch, &node->core, &failure);
        break;
    case FLEET_GATE:
        status = gateStart(loop, loop, node->ring, &node->props, &node->gate, &failure);
        break;
    case FLEET_AGENT:
        status = agentStart(loop, loop, node->ring, &node->props, &node->agent, &failure);
        break;
    default:
        node->worker = standWorkerStart(loop, loop, &node->workerProps);
        break;
    }
    node->up = status == STATUS_OK;
    if (!node->up)
        ringSay(node->ring, RING_FATAL, loopNowMs(loop), "%s: %s", statusWord(status), failure.text);
}

static void nodeStart(void *arg, Loop *loop)
{
    FleetNode *node = arg;
    node->core = NULL;
    node->gate = NULL;
    node->agent = NULL;
    node->worker = NULL;
    node->up = false;
    loopSpawn(loop, "boot", bootMain, node);
}

void fleetStartNode(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    if (node->ring == NULL) {
        node->ring = ringNew(fleet, node->props.name);
        ringQuiet(node->ring);
    }
    if (!simAlive(fleet->world, node->machine))
        simStart(fleet->world, node->machine, nodeStart, node);
}

static void emptyStart(void *arg, Loop *loop)
{
    (void)arg;
    (void)loop;
}

static void startLater(void *arg)
{
    FleetNode *node = arg;
    fleetStartNode(node->fleet, node->role, node->number);
}

void fleetStart(Fleet *fleet)
{
    simStart(fleet->world, fleet->caller, emptyStart, fleet);
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role] - (role == FLEET_CORE ? fleet->shape.spares : 0); i++)
            if (fleet->site.staggerMs > 0)
                simAt(fleet->world,
                      simNowMs(fleet->world) + (int64_t)(simRandom(fleet->world) % (uint64_t)fleet->site.staggerMs),
                      startLater, fleetNode(fleet, (FleetRole)role, i));
            else
                fleetStartNode(fleet, (FleetRole)role, i);
}

static void rolled(void *arg)
{
    FleetNode *node = arg;
    fleetKill(node->fleet, node->role, node->number);
    fleetStartNode(node->fleet, node->role, node->number);
}

static void left(void *arg)
{
    FleetNode *node = arg;
    fleetKill(node->fleet, node->role, node->number);
}

static void drain(FleetNode *node)
{
    if (node->core != NULL)
        coreDrain(node->core);
    else if (node->gate != NULL)
        gateDrain(node->gate);
    else if (node->agent != NULL)
        agentDrain(node->agent);
}

static void drainMain(void *arg)
{
    FleetNode *node = arg;
    drain(node);
    /* a process ends from outside of its own tasks */
    simAt(node->fleet->world, simNowMs(node->fleet->world), rolled, node);
}

static void leaveMain(void *arg)
{
    FleetNode *node = arg;
    drain(node);
    simAt(node->fleet->world, simNowMs(node->fleet->world), left, node);
}

void fleetLeave(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    if (node->up)
        loopSpawn(simLoop(fleet->world, node->machine), "term", leaveMain, node);
}

void fleetRoll(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    if (node->up)
        loopSpawn(simLoop(fleet->world, node->machine), "term", drainMain, node);
}

static void nodeGone(FleetNode *node)
{
    node->core = NULL;
    node->worker = NULL;
    node->up = false;
    /* the first start of all is over for it */
    if (node->fleet->site.votes)
        node->props.bounds.founds = 0;
    if (node->role == FLEET_WORKER)
        checkerWorkerGone(node->fleet->checker, node->props.name);
    if (node->role == FLEET_CORE)
        checkerLeaderGone(node->fleet->checker, node->props.name);
}

void fleetKill(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    nodeGone(node);
    simKill(fleet->world, node->machine);
}

void fleetPowerOff(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleetNode(fleet, role, number);
    nodeGone(node);
    simPowerOff(fleet->world, node->machine);
}

static void woke(void *arg)
{
    FleetNode *node = arg;
    /* a later freeze may have begun before this one ended */
    if (simAlive(node->fleet->world, node->machine) && !simFrozen(node->fleet->world, node->machine))
        checkerWorkerWoke(node->fleet->checker, node->props.name);
}

void fleetFreeze(Fleet *fleet, FleetRole role, int number, int64_t forMs)
{
    FleetNode *node = fleetNode(fleet, role, number);
    const int64_t untilMs = simNowMs(fleet->world) + forMs;
    if (!simAlive(fleet->world, node->machine))
        return;
    simFreeze(fleet->world, node->machine, untilMs);
    if (role == FLEET_WORKER)
        simAt(fleet->world, untilMs + 1, woke, node);
}

void fleetThaw(Fleet *fleet)
{
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            while (simFrozen(fleet->world, fleet->nodes[role][i].machine))
                fleetRun(fleet, 50);
}

static void cutBoth(Fleet *fleet, int a, int b, bool cut)
{
    simCut(fleet->world, a, b, cut);
    simCut(fleet->world, b, a, cut);
}

void fleetIsolate(Fleet *fleet, FleetRole role, int number, bool cut)
{
    const int machine = fleetNode(fleet, role, number)->machine;
    for (int r = 0; r < FLEET_ROLES; r++)
        for (int i = 0; i < fleet->nodeCount[r]; i++)
            /* a worker and its agent stand on one machine in truth */
            if (!((r == FLEET_WORKER && role == FLEET_AGENT && i == number) ||
                  (r == FLEET_AGENT && role == FLEET_WORKER && i == number)))
                cutBoth(fleet, machine, fleet->nodes[r][i].machine, cut);
}

void fleetZoneCut(Fleet *fleet, const char *zone, bool cut)
{
    for (int r = 0; r < FLEET_ROLES; r++)
        for (int i = 0; i < fleet->nodeCount[r]; i++)
            for (int q = 0; q < FLEET_ROLES; q++)
                for (int k = 0; k < fleet->nodeCount[q]; k++) {
                    const FleetNode *a = &fleet->nodes[r][i], *b = &fleet->nodes[q][k];
                    if ((strcmp(a->props.zone, zone) == 0) != (strcmp(b->props.zone, zone) == 0))
                        cutBoth(fleet, a->machine, b->machine, cut);
                }
}

int fleetLeader(const Fleet *fleet)
{
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CORE][i];
        if (node->up && node->core != NULL && !simFrozen(fleet->world, node->machine) &&
            viewLeading(coreView(node->core)))
            return i;
    }
    return -1;
}

void fleetRun(Fleet *fleet, int64_t forMs)
{
    const int64_t untilMs = simNowMs(fleet->world) + forMs;
    while (simNowMs(fleet->world) < untilMs) {
        const int64_t nextMs = simNowMs(fleet->world) + 500;
        simRunUntil(fleet->world, nextMs < untilMs ? nextMs : untilMs);
        checkerLook(fleet->checker);
    }
}

static bool settled(Fleet *fleet)
{
    const int leader = fleetLeader(fleet);
    if (leader < 0)
        return false;
    void *mem = talloc_new(NULL);
    const Worker **workers;
    const size_t count = tableWorkers(coreTable(fleet->nodes[FLEET_CORE][leader].core), mem, &workers);
    talloc_free(mem);
    return count == (size_t)fleet->nodeCount[FLEET_WORKER];
}

bool fleetSettle(Fleet *fleet, int64_t mostMs)
{
    const int64_t untilMs = simNowMs(fleet->world) + mostMs;
    while (!settled(fleet) && simNowMs(fleet->world) < untilMs)
        fleetRun(fleet, 100);
    return settled(fleet);
}

/* --- callers and operators ------------------------------------------------------------ */

typedef struct Asked {
    Fleet *fleet;
    HttpCall *call;
    bool done;
    Status status;
} Asked;

static void askMain(void *arg)
{
    Asked *asked = arg;
    asked->status = loopCall(simLoop(asked->fleet->world, asked->fleet->caller), asked->call);
    asked->done = true;
}

HttpCall fleetAsk(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                  const char *body)
{
    return fleetAskAs(fleet, mem, role, number, method, path, body, NULL, 0);
}

HttpCall fleetAskAs(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                    const char *body, const HttpPair *heads, size_t headCount)
{
    HttpCall call = {.mem = mem,
                     .address = fleetNode(fleet, role, number)->props.http,
                     .method = method,
                     .path = path,
                     .waitMs = 10000,
                     .heads = heads,
                     .headCount = headCount};
    if (body != NULL)
        bytesAdd(mem, &call.body, body, strlen(body));
    Asked *asked = talloc_zero(fleet, Asked);
    asked->fleet = fleet;
    asked->call = &call;
    loopSpawn(simLoop(fleet->world, fleet->caller), "ask", askMain, asked);
    while (!asked->done)
        fleetRun(fleet, 5);
    if (asked->status != STATUS_OK)
        call.code = 0;
    talloc_free(asked);
    bytesAdd(mem, &call.result, "", 1); /* so that it reads as text */
    return call;
}

bool fleetConfigure(Fleet *fleet)
{
    for (int round = 0; round < 40; round++) {
        void *mem = talloc_new(NULL);
        const HttpCall call = fleetAsk(fleet, mem, FLEET_GATE, round % fleet->nodeCount[FLEET_GATE], "PUT",
                                       "/v1/config?base=0", mixConfig(fleet->shape.mix));
        const int code = call.code;
        talloc_free(mem);
        if (code == 200 || code == 409)
            return true;
        fleetRun(fleet, 500);
    }
    return false;
}

Caller *fleetCall(Fleet *fleet, const char *name, int64_t rateMilli, int64_t forMs)
{
    CallerProps props = {.name = name,
                         .mix = fleet->shape.mix,
                         .rateMilli = rateMilli,
                         .forMs = forMs,
                         .twins = fleet->shape.mix == MIX_VARIED,
                         .watch = {fleet, onSent, onAccepted, onRefused, onJobEnded, onUnknown, onCancelled}};
    for (int i = 0; i < fleet->nodeCount[FLEET_GATE]; i++)
        props.entries[props.entryCount++] = fleet->nodes[FLEET_GATE][i].props.http;
    Loop *loop = simLoop(fleet->world, fleet->caller);
    Caller *caller = callerStart(loop, loop, &props);
    fleet->callers[fleet->callerCount++] = caller;
    return caller;
}

bool fleetFinish(Fleet *fleet, int64_t mostMs)
{
    const int64_t untilMs = simNowMs(fleet->world) + mostMs;
    for (;;) {
        bool done = checkerOpen(fleet->checker) == 0;
        for (int i = 0; i < fleet->callerCount; i++)
            done &= callerDone(fleet->callers[i]);
        if (done || simNowMs(fleet->world) >= untilMs) {
            checkerEnd(fleet->checker);
            return done;
        }
        fleetRun(fleet, 200);
    }
}

void fleetDump(const Fleet *fleet)
{
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            if (fleet->nodes[role][i].ring != NULL)
                ringDump(fleet->nodes[role][i].ring, stderr);
}
