/* What time alone brings about: holds that lapse, workers that fall silent, orders
 * that expire. */
#include "inside.h"

static int64_t least(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* A worker asks again within its poll and the way there and back. */
static int64_t quiet_ms(const Agent *agent)
{
    return agent->settings->bounds.worker_poll_ms + WORKER_QUIET_MS;
}

static void lapse_watch(Agent *agent, int64_t now_ms, bool *ran)
{
    const bool runs = lease_runs(&agent->lease, now_ms);
    if (*ran && !runs) {
        recorder_write(agent->recorder, RECORDER_ALERT, now_ms, "the hold has lapsed: all rounds stop");
        attempts_stop(agent);
    }
    *ran = runs;
}

static void silence_watch(Agent *agent, int64_t now_ms)
{
    const int64_t silent_ms = now_ms - agent->asked_ms;
    if (agent->worker_live && silent_ms > quiet_ms(agent)) {
        agent->worker_live = false;
        heartbeat_now(agent);
    }
    /* silent, and whatever hold it was given has lapsed: nothing runs there */
    if (agent->settled && !agent->worker_live && silent_ms > least(WORKER_LOST_MS, quiet_ms(agent)) &&
        now_ms >= agent->worker_until_ms && agent->attempts.lives.count > 0) {
        attempts_withdraw(agent, "the worker fell silent");
        attempts_gone(agent, "the worker fell silent");
    }
    /* nobody has asked since our start: what an earlier agent let run has lapsed */
    const int64_t earlier_ms =
        lease_claim_ms(least(agent->settings->bounds.lease_ms, agent->settings->bounds.worker_lease_ms));
    if (!agent->settled && now_ms - agent->started_ms > earlier_ms) {
        agent->settled = true;
        heartbeat_now(agent);
    }
}

static void timeout_watch(Agent *agent, int64_t now_ms)
{
    if (!agent->settled)
        return; /* an earlier agent may have given them */
    for (Attempt *attempt = agent->attempts.lives.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_OFFERED && now_ms >= attempt->timeout_ms)
            attempt_end(agent, attempt, ATTEMPT_REFUSED, "the order expired before it started", true);
    }
}

/* When to look again: nothing that time brings about is earlier than this. */
static int64_t next_ms(const Agent *agent, int64_t now_ms)
{
    int64_t until_ms = now_ms + HEARTBEAT_MS / 2;
    if (lease_runs(&agent->lease, now_ms))
        until_ms = least(until_ms, agent->lease.until_ms);
    if (agent->worker_until_ms > now_ms)
        until_ms = least(until_ms, agent->worker_until_ms);
    return until_ms;
}

static void watch_main(void *arg)
{
    Agent *agent = arg;
    bool ran = false;
    while (!loop_stopping(agent->loop)) {
        const int64_t now_ms = loop_now_ms(agent->loop);
        lapse_watch(agent, now_ms, &ran);
        silence_watch(agent, now_ms);
        timeout_watch(agent, now_ms);
        attempts_forget(agent);
        loop_sleep(agent->loop, next_ms(agent, now_ms) - now_ms);
    }
}

void watch_start(Agent *agent)
{
    loop_spawn(agent->loop, "watch", watch_main, agent);
}
