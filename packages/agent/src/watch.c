/* Deadlines: a lease that lapses, a worker that falls silent, an order that expires. */
#include "attempts.h"
#include "heartbeat.h"
#include "tasks.h"

static int64_t least(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* A live worker reports again within its poll interval and the time of transport. */
static int64_t quiet_ms(const Agent *agent)
{
    return agent->settings->bounds.worker_poll_ms + WORKER_QUIET_MS;
}

/* When the worker counts as silent: once its next report takes longer after its last answer than is usual. */
static int64_t silent_at_ms(const Agent *agent)
{
    return least(agent->asked_ms + quiet_ms(agent),
                 arrivals_late_ms(&agent->reports, WORKER_OVERDUE_MS, quiet_ms(agent)));
}

/* The lease as it was when it was last looked at. */
typedef enum LeaseSeen { LEASE_NONE_YET, LEASE_RAN, LEASE_HAD_LAPSED } LeaseSeen;

static LeaseSeen lapse_watch(Agent *agent, int64_t now_ms, LeaseSeen seen)
{
    if (lease_runs(&agent->lease, now_ms)) {
        if (seen == LEASE_HAD_LAPSED)
            log_event(agent->recorder, LOG_QUORUM_REGAINED, now_ms,
                      &(LogFields){.term = term_counter(agent->lease.term), .peer = agent->worker_name});
        return LEASE_RAN;
    }
    if (seen != LEASE_RAN)
        return seen;
    log_event(agent->recorder, LOG_AGENT_LEASE_LAPSED, now_ms,
              &(LogFields){.term = term_counter(agent->lease.term), .peer = agent->worker_name});
    attempts_stop(agent);
    return LEASE_HAD_LAPSED;
}

/* The worker is silent: it is no longer live, and once its lease has lapsed its attempts are over. Also ends the
 * wait for attempts of an earlier agent process (settled). */
static void silence_watch(Agent *agent, int64_t now_ms)
{
    const int64_t silent_ms = now_ms - agent->asked_ms;
    if (agent->worker_live && now_ms > silent_at_ms(agent)) {
        agent->worker_live = false;
        attempts_withdraw(agent, "the worker is silent"); /* what it has not been given goes elsewhere */
        heartbeat_now(agent);
    }
    /* silent, and the lease that it was given has lapsed: no attempt runs there */
    if (agent->settled && !agent->worker_live && silent_ms > least(WORKER_LOST_MS, quiet_ms(agent)) &&
        now_ms >= agent->worker_until_ms && agent->attempts.lives.count > 0) {
        attempts_withdraw(agent, "the worker fell silent");
        attempts_end_given(agent, "the worker fell silent");
    }
    /* no report since the agent's start: any lease that an earlier agent process passed on has lapsed */
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
        return; /* an earlier agent process may have given them */
    for (Attempt *attempt = agent->attempts.lives.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_OFFERED && now_ms >= attempt->timeout_ms)
            attempt_expire(agent, attempt);
    }
}

/* When to check again: no deadline comes earlier than this. */
static int64_t next_ms(const Agent *agent, int64_t now_ms)
{
    int64_t until_ms = now_ms + HEARTBEAT_MS / 2;
    if (lease_runs(&agent->lease, now_ms))
        until_ms = least(until_ms, agent->lease.until_ms);
    if (agent->worker_until_ms > now_ms)
        until_ms = least(until_ms, agent->worker_until_ms);
    if (agent->worker_live && silent_at_ms(agent) >= now_ms)
        until_ms = least(until_ms, silent_at_ms(agent) + 1);
    return until_ms;
}

static void watch_main(void *arg)
{
    Agent *agent = arg;
    LeaseSeen seen = LEASE_NONE_YET;
    while (!loop_stopping(agent->loop)) {
        const int64_t now_ms = loop_now_ms(agent->loop);
        seen = lapse_watch(agent, now_ms, seen);
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
