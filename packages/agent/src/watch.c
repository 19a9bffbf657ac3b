/* What time alone brings about: holds that lapse, workers that fall silent, orders
 * that expire. */
#include "inside.h"

static int64_t least(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* A worker asks again within its poll and the way there and back. */
static int64_t quietMs(const Agent *agent)
{
    return agent->props->bounds.workerPollMs + WORKER_QUIET_MS;
}

static void lapseWatch(Agent *agent, int64_t nowMs, bool *ran)
{
    const bool runs = holdRuns(&agent->hold, nowMs);
    if (*ran && !runs) {
        ring_say(agent->ring, RING_ALERT, nowMs, "the hold has lapsed: all rounds stop");
        roundsStop(agent);
    }
    *ran = runs;
}

static void silenceWatch(Agent *agent, int64_t nowMs)
{
    const int64_t silentMs = nowMs - agent->askedMs;
    if (agent->workerLive && silentMs > quietMs(agent)) {
        agent->workerLive = false;
        beatNow(agent);
    }
    /* silent, and whatever hold it was given has lapsed: nothing runs there */
    if (agent->settled && !agent->workerLive && silentMs > least(WORKER_LOST_MS, quietMs(agent)) &&
        nowMs >= agent->workerUntilMs && agent->rounds.lives.count > 0) {
        roundsWithdraw(agent, "the worker fell silent");
        roundsGone(agent, "the worker fell silent");
    }
    /* nobody has asked since our start: what an earlier agent let run has lapsed */
    const int64_t earlierMs = holdClaimMs(least(agent->props->bounds.holdMs, agent->props->bounds.workerHoldMs));
    if (!agent->settled && nowMs - agent->startedMs > earlierMs) {
        agent->settled = true;
        beatNow(agent);
    }
}

static void expiryWatch(Agent *agent, int64_t nowMs)
{
    if (!agent->settled)
        return; /* an earlier agent may have given them */
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase == PHASE_OFFERED && nowMs >= round->expiryMs)
            roundEnd(agent, round, ROUND_REFUSED, "the order expired before it started", true);
    }
}

/* When to look again: nothing that time brings about is earlier than this. */
static int64_t nextMs(const Agent *agent, int64_t nowMs)
{
    int64_t untilMs = nowMs + BEAT_MS / 2;
    if (holdRuns(&agent->hold, nowMs))
        untilMs = least(untilMs, agent->hold.untilMs);
    if (agent->workerUntilMs > nowMs)
        untilMs = least(untilMs, agent->workerUntilMs);
    return untilMs;
}

static void watchMain(void *arg)
{
    Agent *agent = arg;
    bool ran = false;
    while (!loopStopping(agent->loop)) {
        const int64_t nowMs = loopNowMs(agent->loop);
        lapseWatch(agent, nowMs, &ran);
        silenceWatch(agent, nowMs);
        expiryWatch(agent, nowMs);
        roundsForget(agent);
        loopSleep(agent->loop, nextMs(agent, nowMs) - nowMs);
    }
}

void watchStart(Agent *agent)
{
    loopSpawn(agent->loop, "watch", watchMain, agent);
}
