/* The leader towards agents: beats, tellings, orders. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

static bool listed(const BeatAsk *beat, const char *job, uint64_t task, uint64_t round)
{
    for (size_t i = 0; i < beat->roundsCount; i++)
        if (beat->rounds[i].round == round && beat->rounds[i].task == task && strcmp(beat->rounds[i].job, job) == 0)
            return true;
    return false;
}

/* Not in its agent's list though it is to be stopped: it has stopped, or it never
 * came there. An order for it may still be on its way until it expires. */
static bool stopOver(const Core *core, const JobTask *task)
{
    return task->phase == TASK_STOPPING && viewClockMs(core->view) - task->changedMs > ORDER_GONE_MS;
}

/* Rounds that should run there and that a complete list does not have are lost;
 * those that were to stop have stopped. */
static RoundList missing(const Core *core, void *mem, const Worker *worker, const BeatAsk *beat)
{
    RoundList list = {0};
    Job *const *jobs;
    const size_t count = tableActive(core->table, &jobs);
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        for (size_t t = 0; t < job->tasksCount; t++) {
            const JobTask *task = &job->tasks[t];
            if ((task->phase != TASK_RUNNING && !stopOver(core, task)) ||
                strcmp(task->worker, worker->name) != 0 || listed(beat, job->spec.id, taskNumber(task), task->round))
                continue;
            list.news = talloc_realloc(mem, list.news, RoundNews, (unsigned)(list.newsCount + 1));
            list.news[list.newsCount++] =
                (RoundNews){talloc_strdup(mem, job->spec.id), taskNumber(task), task->round, worker->name,
                            task->phase == TASK_STOPPING ? ROUND_STOPPED : ROUND_LOST, "not on its worker any more", ""};
        }
    }
    return list;
}

/* What a beat makes known, committed beside it: the hold is not kept back for
 * the disks. */
typedef struct Learning {
    Core *core;
    Worker worker;
    bool learn, left;
    RoundList missing;
} Learning;

static void learnMain(void *arg)
{
    Learning *learning = arg;
    Core *core = learning->core;
    Verdict verdict;
    if (learning->missing.newsCount > 0)
        coreSubmit(core, learning, CHANGE_ROUNDS, &RoundListShape, &learning->missing, &verdict, NULL);
    if (learning->learn)
        coreSubmit(core, learning, CHANGE_WORKER_SET, &WorkerShape, &learning->worker, &verdict, NULL);
    if (learning->left) {
        const WorkerLeft left = {learning->worker.name, true};
        coreSubmit(core, learning, CHANGE_WORKER_LEFT, &WorkerLeftShape, &left, &verdict, NULL);
    }
    talloc_free(learning);
}

static void learn(Core *core, const BeatAsk *beat, bool listCounts)
{
    const Worker *known = tableWorker(core->table, beat->worker.name);
    Learning *learning = talloc_zero(core, Learning);
    learning->core = core;
    shapeCopy(&WorkerShape, &beat->worker, learning, &learning->worker);
    const bool here = beat->workerLive && !beat->leaving;
    learning->worker.excluded = known != NULL && known->excluded && !here;
    learning->learn = beat->workerLive && (known == NULL || !shapeEqual(&WorkerShape, known, &learning->worker));
    /* left cleanly: it said so, it is gone, and nothing of ours is left on it */
    learning->left = known != NULL && !known->excluded && beat->leaving && !beat->workerLive && beat->settled &&
                     beat->roundsCount == 0;
    if (listCounts)
        learning->missing = missing(core, learning, &learning->worker, beat);
    if (learning->learn || learning->left || learning->missing.newsCount > 0)
        loopSpawn(core->loop, "learn", learnMain, learning);
    else
        talloc_free(learning);
}

static Status onBeat(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    const BeatAsk *beat = question;
    BeatAnswer *out = answer;
    (void)mem;
    out->epoch = viewEpoch(core->view);
    if (!viewHolds(core->view))
        return STATUS_NOT_LEADER;
    if (!checkNameText(beat->worker.name) || !checkNameText(beat->worker.zone))
        return STATUS_BAD_FIELD;
    const int64_t nowMs = loopNowMs(core->loop);
    const LiveRow *before = livesetFind(core->liveset, beat->worker.name);
    const bool wasReady = before != NULL && liveRowReady(before, nowMs);
    bool listCounts;
    const Status status = livesetBeat(core->liveset, beat, nowMs, AGENT_HOLD_MS, &listCounts);
    if (status != STATUS_OK)
        return status;
    out->holdMs = AGENT_HOLD_MS;
    if (livesetFind(core->liveset, beat->worker.name)->number == beat->number)
        straysBeat(core->strays, core->table, beat, nowMs);
    if (wasReady != liveRowReady(livesetFind(core->liveset, beat->worker.name), nowMs))
        coreNews(core);
    if (!core->repairing && viewLeading(core->view))
        learn(core, beat, listCounts);
    return STATUS_OK;
}

static Status onTell(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    const TellAsk *ask = question;
    ((TellAnswer *)answer)->epoch = viewEpoch(core->view);
    if (!viewLeading(core->view))
        return STATUS_NOT_LEADER;
    if (core->repairing)
        return STATUS_REPAIRING;
    livesetTold(core->liveset, ask->agent, ask->incarnation, ask->number);
    RoundList list = {ask->news, ask->newsCount};
    Verdict verdict;
    /* answered only after the commit: until then the agent tells it again */
    return coreSubmit(core, mem, CHANGE_ROUNDS, &RoundListShape, &list, &verdict, NULL);
}

static void ordersFill(Core *core, void *mem, const char *worker, FetchAnswer *out)
{
    Job *const *jobs;
    const size_t count = tableActive(core->table, &jobs);
    size_t wantedRoom = 0, startRoom = 0;
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        for (size_t t = 0; t < job->tasksCount; t++) {
            const JobTask *task = &job->tasks[t];
            if ((task->phase != TASK_PLACED && task->phase != TASK_RUNNING) || strcmp(task->worker, worker) != 0)
                continue;
            if (out->wantedCount == wantedRoom) {
                wantedRoom = wantedRoom ? wantedRoom * 2 : 16;
                out->wanted = talloc_realloc(mem, out->wanted, RoundId, (unsigned)wantedRoom);
            }
            const char *id = talloc_strdup(mem, job->spec.id);
            out->wanted[out->wantedCount++] = (RoundId){id, taskNumber(task), task->round};
            if (task->phase != TASK_PLACED)
                continue;
            if (out->startsCount == startRoom) {
                startRoom = startRoom ? startRoom * 2 : 16;
                out->starts = talloc_realloc(mem, out->starts, Order, (unsigned)startRoom);
            }
            const StepSpec *step = &job->spec.steps[task->step];
            out->starts[out->startsCount++] =
                (Order){id, taskNumber(task), task->round, step->room, talloc_strdup(mem, step->payload),
                        talloc_strdup(mem, task->saved)};
        }
    }
}

static Status onFetch(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    const FetchAsk *ask = question;
    FetchAnswer *out = answer;
    const int64_t untilMs = loopNowMs(core->loop) + FETCH_HOLD_MS;
    const LiveRow *row;
    for (;;) {
        out->epoch = viewEpoch(core->view);
        if (!viewLeading(core->view))
            return STATUS_NOT_LEADER;
        if (core->repairing)
            return STATUS_REPAIRING;
        row = livesetFind(core->liveset, ask->agent);
        if (row != NULL && row->incarnation != ask->incarnation)
            return STATUS_DUPLICATE_WORKER;
        out->revision = tableOrders(core->table, ask->agent);
        if (out->revision != ask->have || out->epoch != ask->haveEpoch)
            break;
        if (!signalWait(core->loop, viewNews(core->view), untilMs))
            break;
    }
    if (!coreDecides(core))
        return STATUS_NOT_LEADER;
    row = livesetFind(core->liveset, ask->agent);
    if (row == NULL || row->incarnation != ask->incarnation)
        return STATUS_UNKNOWN_WORKER; /* it has to beat first */
    if (row->losing)
        return STATUS_BUSY;
    out->expiryMs = ORDER_EXPIRY_MS;
    ordersFill(core, mem, ask->agent, out);
    return STATUS_OK;
}

static Status onKnow(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    KnowAnswer *out = answer;
    (void)question;
    uint64_t seats[SEAT_MOST];
    out->knows = viewKnowsHolder(core->view);
    out->epoch = membersLeaderEpoch(core->members);
    out->seatsCount = viewSeats(core->view, seats);
    out->seats = talloc_array(mem, DiskId, SEAT_MOST);
    for (size_t i = 0; i < out->seatsCount; i++)
        out->seats[i].disk = seats[i];
    return STATUS_OK;
}

void agentsServe(Core *core)
{
    courierHandle(core->courier, MESSAGE_BEAT, &BeatAskShape, &BeatAnswerShape, onBeat, core);
    courierHandle(core->courier, MESSAGE_KNOW, &KnowAskShape, &KnowAnswerShape, onKnow, core);
    courierHandle(core->courier, MESSAGE_TELL, &TellAskShape, &TellAnswerShape, onTell, core);
    courierHandle(core->courier, MESSAGE_FETCH, &FetchAskShape, &FetchAnswerShape, onFetch, core);
}
