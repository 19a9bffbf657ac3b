#include "sim/sweep.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define FAULTS_MS 40000   /* ms; how long failures go on */
#define DISKS_LIE_ONE_IN 4 /* sweeps; the others have honest disks and lose diskless nodes too */

typedef struct Sweep {
    Fleet *fleet;
    uint64_t state;
    bool loud;
    bool liars; /* disks may lie: then those who keep what they were told are not lost as well */
    int64_t startMs;
    size_t faults;
    uint64_t cancels;
} Sweep;

static uint64_t draw(Sweep *sweep, uint64_t below)
{
    uint64_t z = (sweep->state += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return (z ^ (z >> 31)) % below;
}

static void say(Sweep *sweep, const char *format, ...) __attribute__((format(printf, 2, 3)));

static void say(Sweep *sweep, const char *format, ...)
{
    sweep->faults++;
    if (!sweep->loud)
        return;
    va_list args;
    va_start(args, format);
    printf("  %6" PRId64 " ", simNowMs(sweep->fleet->world) - sweep->startMs);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

static FleetNode *drawNode(Sweep *sweep, FleetRole role)
{
    return fleetNode(sweep->fleet, role, (int)draw(sweep, (uint64_t)sweep->fleet->nodeCount[role]));
}

static FleetNode *drawAny(Sweep *sweep)
{
    static const FleetRole ROLES[] = {FLEET_CORE, FLEET_CORE, FLEET_CORE, FLEET_GATE, FLEET_AGENT, FLEET_WORKER};
    return drawNode(sweep, ROLES[draw(sweep, 6)]);
}

static int coresAlive(const Sweep *sweep)
{
    int count = 0;
    for (int i = 0; i < sweep->fleet->nodeCount[FLEET_CORE]; i++)
        count += simAlive(sweep->fleet->world, sweep->fleet->nodes[FLEET_CORE][i].machine);
    return count;
}

static void startAll(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++) {
            if (role == FLEET_WORKER && !simAlive(fleet->world, fleet->nodes[role][i].machine))
                checkerLeaving(fleet->checker, fleet->nodes[role][i].props.name, false);
            fleetStartNode(fleet, (FleetRole)role, i);
        }
}

static void joinAll(Sweep *sweep)
{
    for (int a = 0; a < SIM_NODES_MAX; a++)
        for (int b = 0; b < SIM_NODES_MAX; b++)
            if (a != b)
                simCut(sweep->fleet->world, a, b, false);
}

static void actConfig(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    void *mem = talloc_new(NULL);
    HttpCall got = fleetAsk(fleet, mem, FLEET_GATE, (int)draw(sweep, 3), "GET", "/v1/config", NULL);
    uint64_t base = 0;
    if (got.code == 200 && sscanf((const char *)got.verdict.data, "{\"revision\":%" SCNu64, &base) == 1) {
        checkerConfigRead(fleet->checker, base);
        if (draw(sweep, 4) == 0 && base > 0)
            base--; /* a stale base must be refused */
        char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64, base);
        const HttpCall put =
            fleetAsk(fleet, mem, FLEET_GATE, (int)draw(sweep, 3), "PATCH", path,
                     draw(sweep, 2) ? "{\"r\":1}" : "{\"cells\":{\"spare\":{\"tenants\":{},\"queues\":{}}}}");
        uint64_t revision = 0;
        if (put.code == 200 && sscanf((const char *)put.verdict.data, "{\"revision\":%" SCNu64, &revision) == 1)
            checkerConfigSet(fleet->checker, revision);
        say(sweep, "patch on %" PRIu64 ": %d", base, put.code);
    }
    talloc_free(mem);
}

static void actCancel(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    CallerJob *const *jobs;
    const size_t count = callerJobs(fleet->callers[0], &jobs);
    if (count == 0)
        return;
    const CallerJob *job = jobs[count - 1 - draw(sweep, count < 10 ? count : 10)];
    if (job->acceptedMs == 0 || job->endedMs != 0)
        return;
    void *mem = talloc_new(NULL);
    const HttpCall call = fleetAsk(fleet, mem, FLEET_GATE, (int)draw(sweep, 3), "DELETE",
                                   talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL);
    if (call.code == 200)
        checkerCancelled(fleet->checker, job->id);
    say(sweep, "cancel %s: %d", job->id, call.code);
    talloc_free(mem);
}

static void actZone(Sweep *sweep)
{
    static const char *const ZONES[] = {"north", "south", "west"};
    Fleet *fleet = sweep->fleet;
    const char *zone = ZONES[draw(sweep, 3)];
    void *mem = talloc_new(NULL);
    char *path = talloc_asprintf(mem, "/v1/zones/%s/drain", zone);
    if (fleetAsk(fleet, mem, FLEET_GATE, (int)draw(sweep, 3), "POST", path, NULL).code == 200) {
        checkerZone(fleet->checker, zone, true);
        say(sweep, "drain %s", zone);
        fleetRun(fleet, 2000 + (int64_t)draw(sweep, 6000));
        checkerZone(fleet->checker, zone, false);
        for (int i = 0; i < 20; i++)
            if (fleetAsk(fleet, mem, FLEET_GATE, i % 3, "DELETE", path, NULL).code == 200)
                break;
            else
                fleetRun(fleet, 500);
        say(sweep, "back %s", zone);
    }
    talloc_free(mem);
}

static void act(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    SimWorld *world = fleet->world;
    FleetNode *node = drawAny(sweep);
    if (sweep->liars && (node->role == FLEET_GATE || node->role == FLEET_AGENT))
        node = drawNode(sweep, FLEET_CORE);
    const char *name = node->props.name;
    switch (draw(sweep, 14)) {
    case 0:
    case 1:
        if (node->role == FLEET_CORE && coresAlive(sweep) < 3 && draw(sweep, 3) != 0)
            break;
        say(sweep, "kill %s", name);
        fleetKill(fleet, node->role, node->number);
        break;
    case 2:
        say(sweep, "power off %s", name);
        fleetPowerOff(fleet, node->role, node->number);
        break;
    case 3:
    case 4: {
        const int64_t forMs = 200 + (int64_t)draw(sweep, 6000);
        say(sweep, "freeze %s for %" PRId64, name, forMs);
        fleetFreeze(fleet, node->role, node->number, forMs);
        break;
    }
    case 5:
        say(sweep, "cut off %s", name);
        fleetIsolate(fleet, node->role, node->number, true);
        break;
    case 6: {
        const FleetNode *other = drawNode(sweep, FLEET_CORE);
        say(sweep, "cut %s > %s", name, other->props.name);
        simCut(world, node->machine, other->machine, true);
        break;
    }
    case 7:
        say(sweep, "all joined");
        joinAll(sweep);
        break;
    case 8:
        say(sweep, "all started");
        startAll(sweep);
        break;
    case 9: {
        FleetNode *core = drawNode(sweep, FLEET_CORE);
        const int64_t syncMs = draw(sweep, 2) ? 3 : (int64_t)draw(sweep, 4000);
        say(sweep, "disk of %s takes %" PRId64, core->props.name, syncMs);
        simDiskSlow(world, core->machine, syncMs);
        break;
    }
    case 10: {
        const int64_t byMs = (int64_t)draw(sweep, 7200000) - 3600000;
        say(sweep, "clock of %s jumps by %" PRId64, name, byMs);
        simJump(world, node->machine, byMs);
        break;
    }
    case 11:
        actConfig(sweep);
        break;
    case 12:
        actCancel(sweep);
        break;
    default:
        if (draw(sweep, 3) == 0) {
            actZone(sweep);
        } else {
            FleetNode *leaver = drawNode(sweep, FLEET_WORKER);
            if (leaver->worker != NULL) {
                say(sweep, "%s leaves", leaver->props.name);
                standWorkerLeave(leaver->worker);
                checkerLeaving(fleet->checker, leaver->props.name, true);
            }
        }
        break;
    }
    if (sweep->liars && draw(sweep, 8) == 0) {
        say(sweep, "power lost at all seats");
        for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++)
            fleetPowerOff(fleet, FLEET_CORE, i);
        fleetRun(fleet, (int64_t)draw(sweep, 1500));
        startAll(sweep);
    }
}

static void heal(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    joinAll(sweep);
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        simDiskSlow(fleet->world, fleet->nodes[FLEET_CORE][i].machine, 3);
        simDiskLie(fleet->world, fleet->nodes[FLEET_CORE][i].machine, false);
    }
    for (int i = 0; i < fleet->nodeCount[FLEET_WORKER]; i++)
        fleetKill(fleet, FLEET_WORKER, i); /* those that left come back as new processes */
    startAll(sweep);
    say(sweep, "healed (start %" PRId64 ")", sweep->startMs);
}

static int64_t longestGap(const Fleet *fleet)
{
    CallerJob *const *jobs;
    const size_t count = callerJobs(fleet->callers[0], &jobs);
    int64_t longest = 0;
    for (size_t i = 0; i < count; i++) {
        if (jobs[i]->acceptedMs == 0)
            continue;
        int64_t nextMs = INT64_MAX;
        for (size_t k = 0; k < count; k++)
            if (jobs[k]->acceptedMs > jobs[i]->acceptedMs && jobs[k]->acceptedMs < nextMs)
                nextMs = jobs[k]->acceptedMs;
        if (nextMs != INT64_MAX && nextMs - jobs[i]->acceptedMs > longest)
            longest = nextMs - jobs[i]->acceptedMs;
    }
    return longest;
}

void sweepRun(uint64_t seed, Mix mix, bool loud, SweepResult *result)
{
    void *mem = talloc_new(NULL);
    Sweep *sweep = talloc_zero(mem, Sweep);
    Fleet *fleet = fleetNew(mem, seed, (FleetShape){3, mix == MIX_ATLAS ? 4 : 3, 11, mix, 0});
    sweep->fleet = fleet;
    sweep->state = seed * 77 + 5;
    sweep->loud = loud;
    sweep->liars = seed % DISKS_LIE_ONE_IN == 0;
    *result = (SweepResult){.good = true};
    fleetStart(fleet);
    if (!fleetSettle(fleet, 30000) || !fleetConfigure(fleet)) {
        snprintf(result->why, sizeof(result->why), "the fleet did not settle");
        result->good = false;
    } else {
        checkerConfigSet(fleet->checker, 1);
        sweep->startMs = simNowMs(fleet->world);
        for (int i = 0; i < 3 && sweep->liars; i++)
            simDiskLie(fleet->world, fleet->nodes[FLEET_CORE][i].machine, true);
        fleetCall(fleet, "s", mix == MIX_ATLAS ? 9000 : 10000, FAULTS_MS + 10000);
        fleetRun(fleet, 1000);
        while (simNowMs(fleet->world) - sweep->startMs < FAULTS_MS && checkerBrokenAll(fleet->checker) == 0) {
            act(sweep);
            fleetRun(fleet, (int64_t)draw(sweep, 2000));
        }
        heal(sweep);
        const bool finished = fleetFinish(fleet, 180000);
        if (checkerBrokenAll(fleet->checker) > 0 || !finished) {
            result->good = false;
            snprintf(result->why, sizeof(result->why), "%s",
                     checkerBrokenAll(fleet->checker) > 0 ? checkerFirst(fleet->checker) : "jobs have not ended");
        }
        result->longestGapMs = longestGap(fleet);
    }
    result->starts = checkerStarts(fleet->checker);
    result->faults = sweep->faults;
    if (!result->good && loud) {
        fleetDump(fleet);
        CallerJob *const *jobs;
        const size_t count = fleet->callerCount > 0 ? callerJobs(fleet->callers[0], &jobs) : 0;
        for (size_t i = 0; i < count; i++) {
            const Job *job = jobs[i]->endedMs == 0 && !jobs[i]->refused ? fleetJob(fleet, jobs[i]->id) : NULL;
            if (jobs[i]->endedMs != 0 || jobs[i]->refused)
                continue;
            printf("open: %s accepted %" PRId64 " %s\n", jobs[i]->id, jobs[i]->acceptedMs, job ? "" : "not known");
            for (size_t t = 0; job != NULL && t < job->tasksCount; t++)
                printf("  task %zu %s round %" PRIu64 " on %s\n", t, taskPhaseWord(job->tasks[t].phase),
                       job->tasks[t].round, job->tasks[t].worker);
        }
    }
    talloc_free(mem);
}
