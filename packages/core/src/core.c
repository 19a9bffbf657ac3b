#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "alerts.h"
#include "inforce.h"

bool coreDecides(Core *core)
{
    if (!viewLeading(core->view) || core->repairing)
        return false;
    if (core->watch.plans != NULL)
        core->watch.plans(core->watch.arg, core->props->name, viewEpoch(core->view));
    return true;
}

QueueClock coreClock(const Core *core)
{
    return (QueueClock){viewClockMs(core->view), viewWallMs(core->view)};
}

Status coreSubmit(Core *core, void *mem, ChangeKind kind, const Shape *shape, const void *body, Verdict *verdict,
                  KeepList *keeps)
{
    Bytes payload = {0};
    shapePack(shape, body, mem, &payload);
    const Status status = viewSubmit(core->view, kind, payload, verdict);
    if (status == STATUS_OK && verdict->status == STATUS_OK && keeps != NULL) {
        keeps->items = talloc_realloc(mem, keeps->items, KeepItem, (unsigned)(keeps->itemsCount + 1));
        keeps->items[keeps->itemsCount++] = (KeepItem){kind, verdict->index, payload};
    }
    return status;
}

int64_t coreClaimMs(const Core *core)
{
    return holdClaimMs(core->props->bounds.holdMs);
}

static void onOpened(void *arg, uint64_t epoch, bool newHolder, bool repair)
{
    Core *core = arg;
    traceSay(core->trace, TRACE_OPENED, newHolder ? "the lock was won" : "opened anew", "view:%" PRIu64,
             epochCounter(epoch));
    if (newHolder) {
        void *mem = talloc_new(core);
        const Worker **workers;
        const size_t count = tableWorkers(core->table, mem, &workers);
        const char **names = talloc_array(mem, const char *, (unsigned)count);
        for (size_t i = 0; i < count; i++)
            names[i] = workers[i]->name;
        /* any hold that the last leader answered runs out within this */
        livesetReset(core->liveset, viewWonMs(core->view) + coreClaimMs(core), names, count);
        talloc_free(mem);
    }
    if (repair && (newHolder || !core->repairing)) {
        core->repairing = true; /* a repair under way goes on over views opened anew */
        /* rounds that the log has forgotten are told again or have lapsed by then */
        core->placeFromMs = loopNowMs(core->loop) + coreClaimMs(core);
        repairStart(core);
    }
    if (!repair)
        core->repairing = false;
    ordersWake(core);
    signalRaise(core->loop, &core->wake);
}

static void traceDelivered(Core *core, const Record *change, const Verdict *verdict)
{
    void *mem = talloc_new(core);
    char detail[48];
    snprintf(detail, sizeof(detail), "index %" PRIu64 "%s%s", change->index, verdict->status == STATUS_OK ? "" : " ",
             verdict->status == STATUS_OK ? "" : statusWord(verdict->status));
    JobAdd add;
    JobCancel cancel;
    PlaceList places;
    RoundList rounds;
    ConfigSet set;
    ZoneDrain drain;
    if (change->change == CHANGE_JOB_ADD && shapeUnpack(&JobAddShape, change->payload, mem, &add, NULL) == STATUS_OK)
        traceSay(core->trace, TRACE_DELIVERED, detail, "job:%s", add.spec.id);
    else if (change->change == CHANGE_JOB_CANCEL &&
             shapeUnpack(&JobCancelShape, change->payload, mem, &cancel, NULL) == STATUS_OK)
        traceSay(core->trace, TRACE_DELIVERED, detail, "job:%s", cancel.id);
    else if (change->change == CHANGE_PLACE &&
             shapeUnpack(&PlaceListShape, change->payload, mem, &places, NULL) == STATUS_OK)
        for (size_t i = 0; i < places.placementsCount; i++) {
            const Placement *place = &places.placements[i];
            snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 " to %.20s", place->task, place->round,
                     place->worker);
            traceSay(core->trace, TRACE_DELIVERED, detail, "job:%s", place->job);
        }
    else if (change->change == CHANGE_ROUNDS &&
             shapeUnpack(&RoundListShape, change->payload, mem, &rounds, NULL) == STATUS_OK)
        for (size_t i = 0; i < rounds.newsCount; i++) {
            const RoundNews *news = &rounds.news[i];
            snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 " %s", news->task, news->round,
                     roundWord(news->word));
            traceSay(core->trace, TRACE_DELIVERED, detail, "job:%s", news->job);
        }
    else if (change->change == CHANGE_CONFIG_SET &&
             shapeUnpack(&ConfigSetShape, change->payload, mem, &set, NULL) == STATUS_OK)
        traceSay(core->trace, TRACE_DELIVERED, detail, "config:%" PRIu64, set.revision);
    else if (change->change == CHANGE_ZONE_DRAIN &&
             shapeUnpack(&ZoneDrainShape, change->payload, mem, &drain, NULL) == STATUS_OK)
        traceSay(core->trace, TRACE_DELIVERED, drain.drained ? "drained" : "back", "zone:%s", drain.zone);
    talloc_free(mem);
}

static void onDelivered(void *arg, const Record *change, const Verdict *verdict)
{
    Core *core = arg;
    traceDelivered(core, change, verdict);
    limitsFollow(core);
    if (change->change != CHANGE_WORKER_LOST && change->change != CHANGE_ROUNDS)
        return;
    void *mem = talloc_new(core);
    WorkerLost lost;
    RoundList rounds;
    if (change->change == CHANGE_ROUNDS && shapeUnpack(&RoundListShape, change->payload, mem, &rounds, NULL) == STATUS_OK)
        scoreTake(core, &rounds);
    if (change->change == CHANGE_WORKER_LOST &&
        shapeUnpack(&WorkerLostShape, change->payload, mem, &lost, NULL) == STATUS_OK)
        livesetLosing(core->liveset, lost.worker, false);
    talloc_free(mem);
}

/* Ended jobs are kept for a stated span. */
static void forgetMain(void *arg)
{
    Core *core = arg;
    while (!loopStopping(core->loop)) {
        const int64_t keepMs = core->props->bounds.jobKeepMs;
        loopSleep(core->loop, keepMs / 60 > FORGET_MS ? keepMs / 60 : FORGET_MS);
        if (!coreDecides(core))
            continue;
        const Forget forget = {viewClockMs(core->view) - keepMs};
        if (tableOldestMs(core->table) >= forget.beforeMs)
            continue;
        void *mem = talloc_new(core);
        Verdict verdict;
        coreSubmit(core, mem, CHANGE_FORGET, &ForgetShape, &forget, &verdict, NULL);
        talloc_free(mem);
    }
}

/* A core in waiting hears of the configuration as a gate does. */
static bool seatless(void *arg)
{
    const Core *core = arg;
    return !viewSeated(core->view);
}

static void onHttp(void *arg, HttpTask *task)
{
    coreTake(arg, task);
}

Status coreStart(void *mem, Loop *loop, Ring *ring, const Props *props, const CoreWatch *watch, Core **out,
                 Mishap *mishap)
{
    Core *core = talloc_zero(mem, Core);
    core->loop = loop;
    core->ring = ring;
    core->props = props;
    core->planHolds = true;
    if (watch != NULL)
        core->watch = *watch;
    core->courier = courierNew(core, loop, ring);
    core->table = tableNew(core);
    tableWatch(core->table, onDelivered, core);
    core->keeper = keeperNew(core, loop);
    core->liveset = livesetNew(core);
    core->saved = mapNew(core);
    core->scores = mapNew(core);
    core->guesses = guessesNew(core);
    core->kept = mapNew(core);
    core->alerts = mapNew(core);
    const ViewProps viewProps = {.loop = loop,
                                 .courier = core->courier,
                                 .ring = ring,
                                 .state = tableState(core->table),
                                 .opened = onOpened,
                                 .openedArg = core};
    core->view = viewNew(core, &viewProps);
    /* the disk first: its id is part of our name */
    Status status = viewOpenDisk(core->view, talloc_asprintf(core, "%s/journal", props->data), props->name, mishap);
    if (status == STATUS_OK)
        status = courierListen(core->courier, props->listen, core->address, mishap);
    if (status == STATUS_OK)
        status = loopServe(loop, props->http, onHttp, core, core->http, mishap);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = {
        .id = talloc_asprintf(core, "%s@%016" PRIx64, props->name, viewDisk(core->view)),
        .name = props->name,
        .role = ROLE_CORE,
        .zone = props->zone,
        .address = core->address,
        .http = core->http,
        .incarnation = (uint64_t)loopWallMs(loop),
        .disk = viewDisk(core->view),
        .empty = !viewFounded(core->view),
    };
    core->members = membersNew(core, loop, core->courier, ring, &self, props->seeds);
    core->trace = traceNew(core, loop, core->courier, core->members, props->name);
    core->proxy = (Proxy){.loop = loop, .courier = core->courier, .members = core->members, .keeper = core->keeper, .trace = core->trace};
    core->feed = feedNew(core, loop, core->courier, core->members, core->trace);
    viewStart(core->view, core->members);
    agentsServe(core);
    callersServe(core);
    membersStart(core->members);
    viewFounding(core->view);
    plannerStart(core);
    alertsStart(core);
    feedStart(core->feed, seatless, core);
    loopSpawn(loop, "forget", forgetMain, core);
    *out = core;
    return STATUS_OK;
}

bool coreReady(const Core *core)
{
    return !core->leaving && (viewLeading(core->view) ? !core->repairing : membersLeaderAddress(core->members) != NULL);
}

void coreDrain(Core *core)
{
    core->leaving = true;
    membersSetLeaving(core->members);
    viewStepDown(core->view, INT32_MAX);
    /* requests in work get their verdict, seats hear of the release */
    loopSleep(core->loop, DRAIN_MS / 6);
}

View *coreView(Core *core)
{
    return core->view;
}

const Table *coreTable(const Core *core)
{
    return core->table;
}

const char *coreHttpAddress(const Core *core)
{
    return core->http;
}

const char *coreAddress(const Core *core)
{
    return core->address;
}

void coreSeeds(Core *core, const char *const seeds[SEEDS])
{
    membersSeeds(core->members, seeds);
}
