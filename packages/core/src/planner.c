/* The leader's planner: finds the lost, decides who goes where. One task; each
 * decision is committed before the next is made. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/map.h"
#include "pass.h"

#define PLAN_CHECKS_MAX 200   /* count; looks at the r-loss plan in one pass */
#define PLAN_CHECKS_LEAST 4   /* count; as many are always made */
#define PLAN_WORK_MAX 4000000 /* count; tasks and workers looked at for plans in one pass: some 50 ms, a tenth of a beat */
#define PASS_GAP_MS 5       /* ms; news that come together are decided on together */

static void lostFind(Core *core, void *mem)
{
    const int64_t nowMs = loopNowMs(core->loop);
    Map *lost = mapNew(mem);
    const char *worker;
    for (size_t i = 0; (worker = tableBusy(core->table, i)) != NULL; i++) {
        const LiveRow *row = livesetFind(core->liveset, worker);
        /* a worker never heard of by this leader: its first hold counts */
        const int64_t untilMs = row != NULL ? row->untilMs : viewWonMs(core->view) + coreClaimMs(core);
        if (nowMs > untilMs && (row == NULL || !row->losing))
            mapSet(lost, worker, core);
    }
    const char **names;
    const size_t lostCount = mapKeys(lost, mem, &names);
    for (size_t i = 0; i < lostCount && coreDecides(core); i++) {
        const WorkerLost change = {names[i], UINT64_MAX};
        /* it may come back before this is committed: then no order of the state
         * before may reach it any more */
        livesetLosing(core->liveset, names[i], true);
        Verdict verdict;
        if (coreSubmit(core, mem, CHANGE_WORKER_LOST, &WorkerLostShape, &change, &verdict, NULL) == STATUS_OK) {
            core->counts.lost += verdict.number;
            ringSay(core->ring, RING_ALERT, loopNowMs(core->loop), "worker %s is lost with %" PRIu64 " rounds", names[i],
                    verdict.number);
        }
    }
}

/* Work whose owner allows copies need not wait for the hold of a silent worker. */
static void copiesFind(Core *core, void *mem)
{
    const int64_t nowMs = loopNowMs(core->loop);
    RoundList list = {0};
    const char *worker;
    for (size_t i = 0; (worker = tableBusy(core->table, i)) != NULL; i++) {
        const LiveRow *row = livesetFind(core->liveset, worker);
        const int64_t wonMs = viewWonMs(core->view);
        if (row == NULL || nowMs - (row->heardMs > wonMs ? row->heardMs : wonMs) <= COPY_SILENT_MS)
            continue;
        const TaskOn *on;
        const size_t count = tableOn(core->table, worker, &on);
        for (size_t t = 0; t < count; t++) {
            const JobTask *task = &on[t].job->tasks[on[t].task];
            const JobSpec *spec = &on[t].job->spec;
            if (task->phase == TASK_STOPPING || (!spec->copies && !spec->steps[task->step].copies))
                continue;
            list.news = talloc_realloc(mem, list.news, RoundNews, (unsigned)(list.newsCount + 1));
            list.news[list.newsCount++] = (RoundNews){.job = talloc_strdup(mem, spec->id),
                                                      .task = taskNumber(task),
                                                      .round = task->round,
                                                      .worker = talloc_strdup(mem, worker),
                                                      .word = ROUND_LOST,
                                                      .text = "its worker is silent",
                                                      .saved = ""};
        }
    }
    Verdict verdict;
    if (list.newsCount > 0)
        coreSubmit(core, mem, CHANGE_ROUNDS, &RoundListShape, &list, &verdict, NULL);
    /* that they are over is our word alone: they count there until the agent says so */
    for (size_t i = 0; i < list.newsCount; i++) {
        const RoundNews *news = &list.news[i];
        const Job *job = tableJob(core->table, news->job);
        const size_t at = job != NULL ? taskIndex(job, news->task) : 0;
        if (job != NULL && at < job->tasksCount)
            straysAdd(core->strays, news->worker, job, &job->tasks[at], news->round, nowMs + ORDER_GONE_MS);
    }
}

/* Workers that may be given work have their free room; the others have none,
 * but what runs on them still counts as to be restarted. */
static void passBegin(Pass *pass)
{
    Core *core = pass->core;
    const Worker **workers;
    const size_t count = tableWorkers(core->table, pass->mem, &workers);
    const int64_t nowMs = loopNowMs(core->loop);
    pass->config = coreConfig(core);
    pass->tenants = mapNew(pass->mem);
    pass->index = mapNew(pass->mem);
    pass->input = (PlanInput){.workers = talloc_zero_array(pass->mem, PlanWorker, (unsigned)count),
                              .r = pass->config->r,
                              .zoneLoss = pass->config->zoneLoss,
                              .rackLoss = pass->config->rackLoss};
    pass->asks = pass->config->r > 0 || pass->config->zoneLoss || pass->config->rackLoss;
    pass->clock = coreClock(core);
    pass->speeds = talloc_array(pass->mem, uint64_t, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        const Worker *worker = workers[i];
        const LiveRow *row = livesetFind(core->liveset, worker->name);
        const bool ready = row != NULL && liveRowReady(row, nowMs) && !worker->excluded &&
                           !tableDrained(core->table, worker->zone) && !scoreRests(core, worker->name);
        Room strays;
        const bool known = straysRoom(core->strays, worker->name, &strays);
        const Room none = {0};
        const Room room = ready && known ? roomLess(worker->room, row->others) : none;
        pass->input.workers[i] = (PlanWorker){.name = worker->name,
                                              .zone = worker->zone,
                                              .rack = worker->rack,
                                              .kind = worker->kind,
                                              .labels = worker->labels,
                                              .labelCount = worker->labelsCount,
                                              .room = room,
                                              .free = roomLess(room, strays),
                                              .penalty = scoreRate(core, worker->name) * 10};
        pass->speeds[i] = guessSpeed(core->guesses, worker->name);
        mapSet(pass->index, worker->name, (void *)(uintptr_t)(i + 1));
    }
    pass->input.workerCount = count;
    pass->largest = planLargest(pass->input.workers, count);
    pushableCount(pass);
    Job *const *jobs;
    const size_t jobCount = tableActive(core->table, &jobs);
    for (size_t j = 0; j < jobCount; j++)
        for (size_t t = 0; t < jobs[j]->tasksCount; t++) {
            const JobTask *task = &jobs[j]->tasks[t];
            if (!taskOnWorker(task->phase))
                continue;
            const StepSpec *step = &jobs[j]->spec.steps[task->step];
            Room *used = passTenant(pass, &jobs[j]->spec);
            *used = roomMore(*used, step->room);
            const size_t at = (size_t)(uintptr_t)mapGet(pass->index, task->worker);
            if (at == 0)
                continue;
            PlanWorker *worker = &pass->input.workers[at - 1];
            worker->free = roomLess(worker->free, step->room);
            const PlanNeed need = passNeed(jobs[j], task->step);
            if (task->assured && task->phase != TASK_STOPPING)
                passCount(pass, &jobs[j]->spec, &need, at - 1);
        }
}

PlanInput plannerInput(Core *core, void *mem)
{
    Pass *pass = talloc_zero(mem, Pass);
    pass->core = core;
    pass->mem = mem;
    passBegin(pass);
    return pass->input;
}

/* Restarts go biggest first, as the plan that promised them did. */
static int restartOrder(const void *a, const void *b)
{
    const Candidate *x = a, *y = b;
    const Room *p = &x->job->spec.steps[x->job->tasks[x->first].step].room;
    const Room *q = &y->job->spec.steps[y->job->tasks[y->first].step].room;
    const Room unit = {1000, 2000, 1}; /* a core weighs as much as 2 GB */
    const uint64_t s = roomShare(*p, unit), t = roomShare(*q, unit);
    if (s != t)
        return s > t ? -1 : 1;
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

/* Running unassured work that a plan can now include. */
static void assureMore(Pass *pass)
{
    Core *core = pass->core;
    StopList list = {0};
    Job *const *jobs;
    const size_t count = tableActive(core->table, &jobs);
    for (size_t j = 0; j < count && pass->checks < pass->checksMax; j++) {
        const Job *job = jobs[j];
        if (job->spec.protection != PROTECTION_PROTECTED)
            continue;
        for (size_t t = 0; t < job->tasksCount && pass->checks < pass->checksMax; t++) {
            const JobTask *task = &job->tasks[t];
            const size_t at = (size_t)(uintptr_t)mapGet(pass->index, task->worker);
            if (task->assured || at == 0 || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
                continue;
            const PlanNeed need = passNeed(job, task->step);
            passCount(pass, &job->spec, &need, at - 1);
            if (!passHolds(pass)) {
                pass->input.taskCount--;
                continue;
            }
            list.rounds = talloc_realloc(pass->mem, list.rounds, RoundId, (unsigned)(list.roundsCount + 1));
            list.rounds[list.roundsCount++] = (RoundId){talloc_strdup(pass->mem, job->spec.id), taskNumber(task), task->round};
        }
    }
    list.why = "";
    Verdict verdict;
    if (list.roundsCount > 0)
        coreSubmit(core, pass->mem, CHANGE_ASSURE, &StopListShape, &list, &verdict, NULL);
}

/* Work in a zone that is being emptied with a move: one task at a time is stopped
 * where another worker has room for it now and the plan would hold with it there.
 * Its stop is confirmed before it starts again; gangs and what nobody else can
 * run stay until they end. */
static void moveOne(Pass *pass)
{
    Core *core = pass->core;
    Job *const *jobs;
    const size_t count = tableActive(core->table, &jobs);
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasksCount; t++) {
            const Job *job = jobs[j];
            const JobTask *task = &job->tasks[t];
            const StepSpec *step = &job->spec.steps[task->step];
            const Worker *from = taskOnWorker(task->phase) ? tableWorker(core->table, task->worker) : NULL;
            if (from == NULL || !tableDrainMoves(core->table, from->zone))
                continue;
            if (task->phase == TASK_STOPPING)
                return; /* the last one is on its way */
            const PlanNeed need = passNeed(job, task->step);
            const int at = task->phase == TASK_RUNNING && !step->gang && job->ending == JOB_ACTIVE
                               ? planChoose(pass->input.workers, pass->input.workerCount, &need, NULL)
                               : -1;
            if (at < 0)
                continue;
            if (job->spec.protection == PROTECTION_PROTECTED) {
                PlanWorker *to = &pass->input.workers[at];
                const Room before = to->free;
                to->free = roomLess(to->free, step->room);
                passCount(pass, &job->spec, &need, (size_t)at);
                const bool holds = passHolds(pass);
                pass->input.taskCount--;
                to->free = before;
                if (!holds)
                    continue;
            }
            RoundId round = {job->spec.id, taskNumber(task), task->round};
            const StopList list = {&round, 1, "moved off an emptied zone"};
            Verdict verdict;
            if (coreSubmit(core, pass->mem, CHANGE_STOP, &StopListShape, &list, &verdict, NULL) == STATUS_OK)
                core->counts.moved += verdict.number;
            return;
        }
}

/* One look at everything; true when there may be more to decide at once. nextMs: when
 * there will be by itself, by the own clock. */
static bool passRun(Core *core, int64_t *nextMs)
{
    uint64_t seen = core->news;
    void *mem = talloc_new(core);
    Pass *pass = talloc_zero(mem, Pass);
    pass->core = core;
    pass->mem = mem;
    core->counts.passes++;
    passBegin(pass);
    PlanBreak broken = {LOSS_WORKER, ""};
    /* one look costs about losses times (tasks and workers) */
    const size_t each = pass->input.workerCount * (pass->input.taskCount + pass->input.workerCount) + 1;
    pass->checksMax = PLAN_WORK_MAX / each;
    if (pass->checksMax > PLAN_CHECKS_MAX)
        pass->checksMax = PLAN_CHECKS_MAX;
    if (pass->checksMax < PLAN_CHECKS_LEAST)
        pass->checksMax = PLAN_CHECKS_LEAST;
    const int64_t nowMs = loopNowMs(core->loop);
    if (pass->asks || nowMs >= core->planLookMs) {
        core->planLookMs = nowMs + PLAN_LOOK_MS;
        core->planHolds = planAlwaysPossible(&pass->input, &broken);
        core->brokenByLoss = broken.loss;
        snprintf(core->brokenBy, sizeof(core->brokenBy), "%s", broken.name);
    }
    Candidate *candidates;
    for (size_t i = 0; i < pass->input.workerCount; i++)
        pass->fleet = roomMore(pass->fleet, pass->input.workers[i].room);
    pass->use = queueUse(mem, core->table, pass->config, pass->fleet);
    const size_t count = queueBuild(mem, core->table, pass->config, pass->use, pass->clock, core->guesses, corePolicy, core, &candidates, &pass->nextMs);
    const char *words;
    const uint64_t failures = corePolicyFailures(core, &words);
    if (failures > 0 && core->policyFailuresTold == 0)
        ringSay(core->ring, RING_ALERT, loopNowMs(core->loop), "a policy failed, first come goes first: %s", words);
    core->policyFailuresTold = failures;
    size_t restarts = 0;
    while (restarts < count && candidates[restarts].restart)
        restarts++;
    if (restarts > 1)
        qsort(candidates, restarts, sizeof(*candidates), restartOrder);
    keptBegin(pass, candidates, count);
    for (size_t i = 0; i < count && pass->places.placementsCount < PLACE_BATCH; i++)
        placeOne(pass, &candidates[i]);
    *nextMs = loopNowMs(core->loop) + PLACE_TICK_MS;
    if (pass->nextMs < pass->clock.logMs + PLACE_TICK_MS)
        *nextMs = loopNowMs(core->loop) + pass->nextMs - pass->clock.logMs;
    const bool more = pass->places.placementsCount >= PLACE_BATCH;
    if (pass->places.placementsCount > 0) {
        Verdict verdict;
        if (coreSubmit(core, mem, CHANGE_PLACE, &PlaceListShape, &pass->places, &verdict, NULL) == STATUS_OK)
            core->counts.placed += verdict.number;
        seen++; /* our own change is no news */
    } else if (pass->pushes.roundsCount > 0) {
        Verdict verdict;
        if (coreSubmit(core, mem, CHANGE_STOP, &StopListShape, &pass->pushes, &verdict, NULL) == STATUS_OK)
            core->counts.pushed += verdict.number;
    } else {
        moveOne(pass);
        if (pass->asks && pass->checks == 0 && coreDecides(core))
            assureMore(pass);
    }
    talloc_free(mem);
    return more || core->news > seen;
}

static void plannerMain(void *arg)
{
    Core *core = arg;
    bool more = false;
    int64_t nextMs = 0;
    while (!loopStopping(core->loop)) {
        if (!more)
            signalWait(core->loop, &core->wake, nextMs);
        loopSleep(core->loop, PASS_GAP_MS);
        more = false;
        nextMs = loopNowMs(core->loop) + PLACE_TICK_MS;
        if (!coreDecides(core))
            continue;
        void *mem = talloc_new(core);
        lostFind(core, mem);
        if (coreDecides(core))
            copiesFind(core, mem);
        if (loopNowMs(core->loop) >= core->placeFromMs && coreDecides(core))
            gangsMend(core, mem);
        talloc_free(mem);
        if (loopNowMs(core->loop) >= core->placeFromMs && coreDecides(core))
            more = passRun(core, &nextMs);
        else if (core->placeFromMs < nextMs)
            nextMs = core->placeFromMs;
    }
}

void plannerStart(Core *core)
{
    loopSpawn(core->loop, "planner", plannerMain, core);
}
