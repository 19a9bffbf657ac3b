/* The agent towards its worker: one report, answered when there is news. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "config/check.h"
#include "inside.h"

typedef struct Report {
    const char *boot;
    Worker worker;
    bool leaving, freeTold;
    Room free;
    int64_t waitMs;
    RoundNews *running, *ended;
    size_t runningCount, endedCount;
} Report;

static size_t readRounds(Faults *faults, json_object *object, const char *key, bool withWord, RoundNews **out)
{
    static const char *const KEYS[] = {"job", "task", "round", "word", "text", NULL};
    json_object *list;
    if (!json_object_object_get_ex(object, key, &list))
        return 0;
    if (!json_object_is_type(list, json_type_array)) {
        faultAdd(faults, STATUS_BAD_FIELD, key, "must be an array");
        return 0;
    }
    const size_t count = json_object_array_length(list);
    *out = talloc_zero_array(faults->mem, RoundNews, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        json_object *one = json_object_array_get_idx(list, i);
        const char *path = talloc_asprintf(faults->mem, "%s[%zu]", key, i);
        RoundNews *news = &(*out)[i];
        *news = (RoundNews){.job = "", .worker = "", .text = ""};
        if (!checkKeys(faults, one, path, KEYS))
            continue;
        news->job = checkName(faults, one, path, "job", NULL);
        news->task = (uint64_t)checkInt(faults, one, path, "task", 0, INT64_MAX, 0);
        news->round = (uint64_t)checkInt(faults, one, path, "round", 1, INT64_MAX, 0);
        news->word = ROUND_RUNNING;
        if (withWord) {
            news->word = roundOfWord(checkName(faults, one, path, "word", NULL));
            if (news->word == ROUND_WORD_COUNT || news->word == ROUND_RUNNING)
                faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, path, "word"),
                         "must be done, failed, stopped, refused or lost");
        }
        json_object *text;
        if (json_object_object_get_ex(one, "text", &text) && json_object_is_type(text, json_type_string))
            news->text = talloc_strndup(faults->mem, json_object_get_string(text), 200);
    }
    return count;
}

static bool reportRead(Faults *faults, const HttpTask *task, const char *name, Report *report)
{
    static const char *const KEYS[] = {"boot",    "zone",    "rack",  "kind",   "labels", "room",
                                       "free",    "leaving", "running", "ended", "waitMs", NULL};
    json_object *object = checkParse(faults, (const char *)task->body.data, task->body.count);
    if (object == NULL)
        return false;
    if (checkKeys(faults, object, "", KEYS)) {
        report->boot = checkName(faults, object, "", "boot", NULL);
        report->worker = (Worker){.name = name,
                                  .zone = checkName(faults, object, "", "zone", NULL),
                                  .rack = checkName(faults, object, "", "rack", ""),
                                  .kind = checkName(faults, object, "", "kind", ""),
                                  .room = checkRoom(faults, object, "", "room", true)};
        report->worker.labels = checkNames(faults, object, "", "labels", &report->worker.labelsCount);
        report->freeTold = json_object_object_get_ex(object, "free", NULL);
        report->free = checkRoom(faults, object, "", "free", false);
        report->leaving = checkFlag(faults, object, "", "leaving", false);
        report->waitMs = checkInt(faults, object, "", "waitMs", 0, WORKER_POLL_MS * 10, WORKER_POLL_MS);
        if (report->waitMs > WORKER_POLL_MS)
            report->waitMs = WORKER_POLL_MS;
        report->runningCount = readRounds(faults, object, "running", false, &report->running);
        report->endedCount = readRounds(faults, object, "ended", true, &report->ended);
    }
    json_object_put(object);
    return faults->seen == 0;
}

static bool has(const RoundNews *list, size_t count, const Order *order)
{
    for (size_t i = 0; i < count; i++)
        if (list[i].round == order->round && list[i].task == order->task && strcmp(list[i].job, order->job) == 0)
            return true;
    return false;
}

/* What the worker says replaces what we thought. */
static void reportTake(Agent *agent, const Report *report)
{
    const int64_t nowMs = loopNowMs(agent->loop);
    for (size_t i = 0; i < report->runningCount; i++) {
        const RoundNews *news = &report->running[i];
        Round *round = roundFind(agent, news->job, news->task, news->round);
        if (round == NULL) {
            /* from before our own start: the leader says whether it is wanted */
            const Order order = {news->job, news->task, news->round, {0}, "", ""};
            round = roundAdd(agent, &order, PHASE_RUNNING);
            round->runningUntold = true;
            signalRaise(agent->loop, &agent->toTell);
        } else if (round->phase == PHASE_SENT || round->phase == PHASE_OFFERED) {
            round->phase = PHASE_RUNNING;
            round->runningUntold = true;
            roundTrace(agent, round, TRACE_RUNS);
            signalRaise(agent->loop, &agent->toTell);
        }
    }
    for (size_t i = 0; i < report->endedCount; i++) {
        const RoundNews *news = &report->ended[i];
        Round *round = roundFind(agent, news->job, news->task, news->round);
        if (round == NULL) {
            const Order order = {news->job, news->task, news->round, {0}, "", ""};
            round = roundAdd(agent, &order, PHASE_RUNNING);
        }
        if (round->phase == PHASE_KNOWN || round->phase == PHASE_ENDED) {
            /* a finish counts also after we had given the round up */
            if (news->word == ROUND_DONE && round->word != ROUND_DONE) {
                round->phase = PHASE_RUNNING;
                roundEnd(agent, round, ROUND_DONE, news->text);
            }
            round->workerKnows = false; /* it has not heard that its end is known */
        } else {
            roundEnd(agent, round, (RoundWord)news->word, news->text);
        }
    }
    for (Round *round = agent->rounds; round != NULL; round = round->next) {
        if (round->phase < PHASE_SENT || round->phase > PHASE_STOPPING ||
            has(report->running, report->runningCount, &round->order) ||
            has(report->ended, report->endedCount, &round->order))
            continue;
        if (round->phase == PHASE_STOPPING)
            roundEnd(agent, round, ROUND_STOPPED, "stopped");
        else if (round->phase == PHASE_RUNNING)
            roundEnd(agent, round, ROUND_LOST, "the worker knows nothing of it any more");
        else if (nowMs < round->expiryMs)
            round->phase = PHASE_OFFERED; /* the answer that carried it was lost */
        else
            roundEnd(agent, round, ROUND_REFUSED, "the order expired before it started");
    }
}

/* A worker that tells its free room may be used by others too. What it runs for
 * us is not theirs; a round of unknown size (from before our start) counts as theirs. */
static void othersTake(Agent *agent, const Report *report)
{
    agent->others = (Room){0};
    if (!report->freeTold)
        return;
    Room known = report->free;
    for (const Round *round = agent->rounds; round != NULL; round = round->next)
        if (has(report->running, report->runningCount, &round->order)) {
            known.cpuMilli += round->order.room.cpuMilli;
            known.memMb += round->order.room.memMb;
            known.gpu += round->order.room.gpu;
        }
    const Room whole = report->worker.room;
    agent->others = (Room){whole.cpuMilli > known.cpuMilli ? whole.cpuMilli - known.cpuMilli : 0,
                           whole.memMb > known.memMb ? whole.memMb - known.memMb : 0,
                           whole.gpu > known.gpu ? whole.gpu - known.gpu : 0};
}

static bool anythingFor(const Agent *agent, int64_t nowMs)
{
    const bool runs = holdRuns(&agent->hold, nowMs);
    for (const Round *round = agent->rounds; round != NULL; round = round->next)
        if ((round->phase == PHASE_OFFERED && runs) || round->phase == PHASE_STOPPING ||
            (round->phase == PHASE_KNOWN && !round->workerKnows))
            return true;
    return false;
}

static json_object *idOf(const Order *order)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "job", json_object_new_string(order->job));
    json_object_object_add(object, "task", json_object_new_int64((int64_t)order->task));
    json_object_object_add(object, "round", json_object_new_int64((int64_t)order->round));
    return object;
}

static void answerWorker(Agent *agent, HttpTask *task)
{
    const int64_t nowMs = loopNowMs(agent->loop);
    const int64_t leftMs = holdLeftMs(&agent->hold, nowMs);
    json_object *body = json_object_new_object();
    json_object *starts = json_object_new_array(), *stops = json_object_new_array(), *known = json_object_new_array();
    for (Round *round = agent->rounds; round != NULL; round = round->next) {
        if (round->phase == PHASE_OFFERED && nowMs >= round->expiryMs) {
            roundEnd(agent, round, ROUND_REFUSED, "the order expired before it started");
        } else if (round->phase == PHASE_OFFERED && leftMs > 0) {
            json_object *one = idOf(&round->order);
            json_object_object_add(one, "epoch", json_object_new_int64((int64_t)round->epoch));
            json_object_object_add(one, "expiryMs", json_object_new_int64(round->expiryMs - nowMs));
            json_object_object_add(one, "room", showRoom(round->order.room));
            json_object_object_add(one, "payload",
                                   round->order.payload[0] ? json_tokener_parse(round->order.payload) : NULL);
            json_object_array_add(starts, one);
            round->phase = PHASE_SENT;
            roundTrace(agent, round, TRACE_GIVEN);
        } else if (round->phase == PHASE_STOPPING) {
            json_object_array_add(stops, idOf(&round->order));
        } else if (round->phase == PHASE_KNOWN && !round->workerKnows) {
            json_object_array_add(known, idOf(&round->order));
            round->workerKnows = true;
        }
    }
    if (nowMs + leftMs > agent->workerUntilMs)
        agent->workerUntilMs = nowMs + leftMs;
    json_object_object_add(body, "holdMs", json_object_new_int64(leftMs));
    json_object_object_add(body, "starts", starts);
    json_object_object_add(body, "stops", stops);
    json_object_object_add(body, "known", known);
    showVerdict(task, 200, body);
}

void workerTake(Agent *agent, HttpTask *task, const char *name)
{
    Faults *faults = talloc_zero(task, Faults);
    faults->mem = faults;
    Report report = {0};
    if (strcmp(name, agent->workerName) != 0) {
        showRefusal(task, STATUS_UNKNOWN_WORKER, "this agent stands beside another worker", NULL);
        return;
    }
    if (!reportRead(faults, task, name, &report)) {
        showRefusal(task, faults->list[0].status, faults->list[0].text, faults);
        return;
    }
    const int64_t nowMs = loopNowMs(agent->loop);
    if (agent->boot != NULL && strcmp(agent->boot, report.boot) != 0) {
        /* another process of this name: first the hold of the old one must lapse */
        if (nowMs < agent->workerUntilMs) {
            ringSay(agent->ring, RING_NOTE, nowMs, "worker %s asks as a second process", name);
            showRefusal(task, STATUS_DUPLICATE_WORKER, "another process of this name may still be running", NULL);
            return;
        }
        for (Round *round = agent->rounds; round != NULL; round = round->next)
            if (round->phase >= PHASE_SENT && round->phase <= PHASE_STOPPING)
                roundEnd(agent, round, ROUND_LOST, "the worker's process was replaced");
    }
    talloc_free(agent->workerMem);
    agent->workerMem = talloc_new(agent);
    shapeCopy(&WorkerShape, &report.worker, agent->workerMem, &agent->worker);
    agent->boot = talloc_strdup(agent->workerMem, report.boot);
    agent->askedMs = nowMs;
    const bool news = !agent->workerLive || agent->workerLeaving != report.leaving;
    agent->workerLive = true;
    agent->workerLeaving = report.leaving;
    reportTake(agent, &report);
    othersTake(agent, &report);
    agent->settled = true;
    if (news)
        signalRaise(agent->loop, membersLeaderSignal(agent->members)); /* beat at once */
    const int64_t untilMs = nowMs + report.waitMs;
    const uint64_t question = ++agent->questions;
    signalRaise(agent->loop, &agent->forWorker); /* an earlier question is over */
    while (question == agent->questions && !task->gone && !anythingFor(agent, loopNowMs(agent->loop)))
        if (!signalWait(agent->loop, &agent->forWorker, untilMs))
            break;
    if (task->gone || question != agent->questions) {
        showRefusal(task, STATUS_CLOSED, "another question has come since", NULL);
        return;
    }
    answerWorker(agent, task);
}

/* Holds that lapse, workers that fall silent. */
static void watchMain(void *arg)
{
    Agent *agent = arg;
    bool ran = false;
    while (!loopStopping(agent->loop)) {
        const int64_t nowMs = loopNowMs(agent->loop);
        const bool runs = holdRuns(&agent->hold, nowMs);
        if (ran && !runs) {
            ringSay(agent->ring, RING_ALERT, nowMs, "the hold has lapsed: all rounds stop");
            roundsStop(agent);
        }
        ran = runs;
        if (agent->workerLive && nowMs - agent->askedMs > WORKER_LOST_MS && nowMs >= agent->workerUntilMs) {
            /* silent, and whatever hold it was given has lapsed: nothing runs there */
            agent->workerLive = false;
            for (Round *round = agent->rounds; round != NULL; round = round->next)
                if (round->phase < PHASE_ENDED)
                    roundEnd(agent, round, ROUND_LOST, "the worker fell silent");
            signalRaise(agent->loop, membersLeaderSignal(agent->members));
        }
        /* nobody has asked since our start: what an earlier agent let run has lapsed */
        if (!agent->settled && nowMs - agent->startedMs > AGENT_HOLD_MS + HOLD_SLACK_MS)
            agent->settled = true;
        loopSleep(agent->loop, BEAT_MS / 10);
    }
}

void workerWatch(Agent *agent)
{
    loopSpawn(agent->loop, "watch", watchMain, agent);
}
