/* Acts on deadlines: a lease that expires, a worker that falls silent, an order that expires. */
#include "attempts.h"
#include "heartbeat.h"
#include "tasks.h"

static int64_t min_ms(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* The longest interval, in ms, between reports of a live worker: its poll interval and the transport time. */
static int64_t silence_limit_ms(const Agent *agent)
{
    return agent->settings->cluster_settings.worker_poll_ms + WORKER_SILENT_MS;
}

/* The time at which the worker counts as silent: its next report is overdue by its usual intervals, or silence_limit_ms
 * has passed since the last one. */
static int64_t silent_from_ms(const Agent *agent)
{
    return min_ms(agent->last_report_ms + silence_limit_ms(agent),
                  arrivals_overdue_ms(&agent->reports, REPORT_OVERDUE_MIN_MS, silence_limit_ms(agent)));
}

/* The state of the lease at the last check. */
typedef enum LeaseCheck { LEASE_NOT_YET_HELD, LEASE_WAS_VALID, LEASE_HAD_LAPSED } LeaseCheck;

static LeaseCheck lease_check(Agent *agent, int64_t now_ms, LeaseCheck last_check)
{
    if (lease_runs(&agent->lease, now_ms)) {
        if (last_check == LEASE_HAD_LAPSED)
            log_event(agent->recorder, LOG_QUORUM_REGAINED, now_ms,
                      &(LogFields){.term = term_counter(agent->lease.term), .peer = agent->worker_name});
        return LEASE_WAS_VALID;
    }
    if (last_check != LEASE_WAS_VALID)
        return last_check;
    log_event(agent->recorder, LOG_AGENT_LEASE_LAPSED, now_ms,
              &(LogFields){.term = term_counter(agent->lease.term), .peer = agent->worker_name});
    attempts_stop_all(agent);
    return LEASE_HAD_LAPSED;
}

/* Handles a silent worker: it is no longer live, and once its lease has expired its attempts end: those in the table,
 * and those of an earlier agent process that are not in it (settled). */
static void silence_check(Agent *agent, int64_t now_ms)
{
    const int64_t silent_ms = now_ms - agent->last_report_ms;
    if (agent->worker_live && now_ms > silent_from_ms(agent)) {
        agent->worker_live = false;
        attempts_withdraw(agent, "the worker is silent"); /* The leader places these attempts elsewhere */
        heartbeat_request(agent);
    }
    /* The worker is silent, and the lease that it was given has expired: no attempt runs there. */
    if (agent->worker_live || silent_ms <= min_ms(WORKER_LOST_MS, silence_limit_ms(agent)) ||
        now_ms < agent->worker_lease_until_ms)
        return;
    if (!agent->settled) {
        agent->settled = true;
        heartbeat_request(agent);
    }
    if (agent->attempts.live.count > 0) {
        attempts_withdraw(agent, "the worker fell silent");
        attempts_end_given(agent, "the worker fell silent");
    }
}

static void timeouts_check(Agent *agent, int64_t now_ms)
{
    if (!agent->settled)
        return; /* An earlier agent process may have given them to the worker */
    for (Attempt *attempt = agent->attempts.live.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_ORDERED && now_ms >= attempt->timeout_ms)
            attempt_expire(agent, attempt);
    }
}

/* The time of the next check: no deadline comes earlier. */
static int64_t next_check_ms(const Agent *agent, int64_t now_ms)
{
    int64_t until_ms = now_ms + HEARTBEAT_MS / 2;
    if (lease_runs(&agent->lease, now_ms))
        until_ms = min_ms(until_ms, agent->lease.until_ms);
    if (agent->worker_lease_until_ms > now_ms)
        until_ms = min_ms(until_ms, agent->worker_lease_until_ms);
    if (agent->worker_live && silent_from_ms(agent) >= now_ms)
        until_ms = min_ms(until_ms, silent_from_ms(agent) + 1);
    return until_ms;
}

static void deadlines_main(void *arg)
{
    Agent *agent = arg;
    LeaseCheck last_check = LEASE_NOT_YET_HELD;
    while (!loop_stopping(agent->loop)) {
        const int64_t now_ms = loop_now_ms(agent->loop);
        last_check = lease_check(agent, now_ms, last_check);
        silence_check(agent, now_ms);
        timeouts_check(agent, now_ms);
        attempts_remove_old(agent);
        loop_sleep(agent->loop, next_check_ms(agent, now_ms) - now_ms);
    }
}

void deadlines_start(Agent *agent)
{
    loop_spawn(agent->loop, "watch", deadlines_main, agent);
}
