/* The agent towards its worker: one report, answered when there is news. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "agent/report.h"
#include "base/epoch.h"
#include "inside.h"

static bool has(const RoundNews *list, size_t count, const Order *order)
{
    for (size_t i = 0; i < count; i++)
        if (list[i].round == order->round && list[i].task == order->task && strcmp(list[i].job, order->job) == 0)
            return true;
    return false;
}

/* What the worker says replaces what we thought. */
static void reportTake(Agent *agent, const WorkerReport *report)
{
    const int64_t nowMs = loopNowMs(agent->loop);
    for (size_t i = 0; i < report->runningCount; i++) {
        const RoundNews *news = &report->running[i];
        Round *round = roundFind(agent, news->job, news->task, news->round);
        if (round == NULL) {
            /* from before our own start: the leader says whether it is wanted */
            const Order order = {.job = news->job, .task = news->task, .round = news->round, .payload = "", .saved = ""};
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
            const Order order = {.job = news->job, .task = news->task, .round = news->round, .payload = "", .saved = ""};
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
static void othersTake(Agent *agent, const WorkerReport *report)
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

/* What of the rest of the agent's own hold is passed on. */
static int64_t holdPassed(Agent *agent, int64_t nowMs)
{
    int64_t leftMs = holdLeftMs(&agent->hold, nowMs);
    if (leftMs > agent->props->bounds.workerHoldMs)
        leftMs = agent->props->bounds.workerHoldMs;
    if (nowMs + leftMs + HOLD_SLACK_MS > agent->workerUntilMs)
        agent->workerUntilMs = nowMs + leftMs + HOLD_SLACK_MS;
    return leftMs * (100 - CLOCK_SLOW_PERCENT) / 100;
}

static void ordersFill(Agent *agent, void *mem, WorkerOrders *orders)
{
    const int64_t nowMs = loopNowMs(agent->loop);
    size_t count = 0;
    for (const Round *round = agent->rounds; round != NULL; round = round->next)
        count++;
    Order *starts = talloc_zero_array(mem, Order, (unsigned)count);
    RoundId *stops = talloc_zero_array(mem, RoundId, (unsigned)count);
    RoundId *known = talloc_zero_array(mem, RoundId, (unsigned)count);
    *orders = (WorkerOrders){.epoch = agent->hold.epoch,
                             .fence = epochCounter(agent->hold.epoch),
                             .holdMs = holdPassed(agent, nowMs),
                             .starts = starts,
                             .startMs = INT64_MAX,
                             .stops = stops,
                             .known = known};
    for (Round *round = agent->rounds; round != NULL; round = round->next) {
        const RoundId id = {talloc_strdup(mem, round->order.job), round->order.task, round->order.round};
        if (round->phase == PHASE_OFFERED && nowMs >= round->expiryMs) {
            roundEnd(agent, round, ROUND_REFUSED, "the order expired before it started");
        } else if (round->phase == PHASE_OFFERED && orders->holdMs > 0) {
            shapeCopy(&OrderShape, &round->order, mem, &starts[orders->startsCount++]);
            if (round->expiryMs - nowMs < orders->startMs)
                orders->startMs = round->expiryMs - nowMs;
            round->phase = PHASE_SENT;
            roundTrace(agent, round, TRACE_GIVEN);
        } else if (round->phase == PHASE_STOPPING) {
            stops[orders->stopsCount++] = id;
        } else if (round->phase == PHASE_KNOWN && !round->workerKnows) {
            known[orders->knownCount++] = id;
            round->workerKnows = true;
        }
    }
}

Status agentReport(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders)
{
    const int64_t nowMs = loopNowMs(agent->loop);
    *orders = (WorkerOrders){0};
    if (agent->boot != NULL && strcmp(agent->boot, report->boot) != 0) {
        /* another process of this name: first the hold of the old one must lapse */
        if (nowMs < agent->workerUntilMs) {
            ringSay(agent->ring, RING_NOTE, nowMs, "worker %s asks as a second process", agent->workerName);
            return STATUS_DUPLICATE_WORKER;
        }
        for (Round *round = agent->rounds; round != NULL; round = round->next)
            if (round->phase >= PHASE_SENT && round->phase <= PHASE_STOPPING)
                roundEnd(agent, round, ROUND_LOST, "the worker's process was replaced");
    }
    talloc_free(agent->workerMem);
    agent->workerMem = talloc_new(agent);
    shapeCopy(&WorkerShape, &report->worker, agent->workerMem, &agent->worker);
    agent->worker.name = agent->workerName;
    agent->boot = talloc_strdup(agent->workerMem, report->boot);
    agent->askedMs = nowMs;
    const bool news = !agent->workerLive || agent->workerLeaving != report->leaving;
    agent->workerLive = true;
    agent->workerLeaving = report->leaving;
    reportTake(agent, report);
    othersTake(agent, report);
    agent->settled = true;
    if (news)
        signalRaise(agent->loop, membersLeaderSignal(agent->members)); /* beat at once */
    const int64_t mostMs = agent->props->bounds.workerPollMs;
    const int64_t untilMs = nowMs + (report->waitMs < mostMs ? report->waitMs : mostMs);
    const uint64_t question = ++agent->questions;
    signalRaise(agent->loop, &agent->forWorker); /* an earlier question is over */
    while (question == agent->questions && !*gone && !anythingFor(agent, loopNowMs(agent->loop)))
        if (!signalWait(agent->loop, &agent->forWorker, untilMs))
            break;
    if (*gone || question != agent->questions)
        return STATUS_CLOSED;
    ordersFill(agent, mem, orders);
    return STATUS_OK;
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
