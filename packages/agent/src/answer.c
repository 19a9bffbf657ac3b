/* Answers to the worker's reports: its lease, the attempts to start and to stop, and the ends that are committed. */
#include "answer.h"

#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "attempts.h"

/* True if the worker reports an attempt as running that has ended for the agent: the worker must stop it. */
static bool must_still_stop(Agent *agent, const AttemptUpdate *update)
{
    const Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
    return attempt != NULL && attempt->phase >= PHASE_ENDED;
}

/* True if the leader has committed at least one of the ends in the report. */
static bool any_end_committed(Agent *agent, const WorkerReport *report)
{
    for (size_t i = 0; i < report->ended_count; i++) {
        const AttemptUpdate *update = &report->ended[i];
        const Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
        if (attempt != NULL && attempt->phase == PHASE_COMMITTED)
            return true;
    }
    return false;
}

bool answer_ready(Agent *agent, const WorkerReport *report)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    const bool runs = lease_runs(&agent->lease, now_ms);
    for (const Attempt *attempt = agent->attempts.live.first; attempt != NULL; attempt = attempt->next)
        if ((attempt->phase == PHASE_ORDERED && runs && agent->settled) || attempt->phase == PHASE_STOPPING)
            return true;
    for (size_t i = 0; i < report->running_count; i++)
        if (must_still_stop(agent, &report->running[i]))
            return true;
    /* An order for the capacity that has become free can go in the same answer. */
    return !report->waits_for_answer && any_end_committed(agent, report);
}

/* While attempts run, a delayed answer delays the report of an end, and an early answer delays an order until the next
 * report: splitting the interval equally between both delays costs least. While none runs, only an order can come. */
int64_t answer_until_ms(const Agent *agent, const WorkerReport *report)
{
    int64_t wait_ms = agent->settings->cluster_settings.worker_poll_ms;
    if (report->wait_ms < wait_ms)
        wait_ms = report->wait_ms;
    if (report->waits_for_answer && report->running_count + report->ended_count > 0 &&
        wait_ms > WORKER_ENDS_POLL_WAIT_MS)
        wait_ms = WORKER_ENDS_POLL_WAIT_MS;
    /* The next report may complete the attempt table. */
    if (!agent->settled && wait_ms > WORKER_ENDS_POLL_WAIT_MS)
        wait_ms = WORKER_ENDS_POLL_WAIT_MS;
    return loop_now_ms(agent->loop) + wait_ms;
}

/* Returns the part of the agent's remaining lease that is passed on to the worker, and records when it ends. */
static int64_t lease_pass_on(Agent *agent, int64_t now_ms)
{
    int64_t left_ms = lease_left_ms(&agent->lease, now_ms);
    if (left_ms > agent->settings->cluster_settings.worker_lease_ms)
        left_ms = agent->settings->cluster_settings.worker_lease_ms;
    const int64_t passed_ms = lease_delegated_ms(left_ms);
    if (passed_ms > 0 && now_ms + lease_claim_ms(passed_ms) > agent->worker_lease_until_ms)
        agent->worker_lease_until_ms = now_ms + lease_claim_ms(passed_ms);
    return passed_ms;
}

/* An upper bound of the bytes that the order takes as JSON. A payload is JSON already, in which a character may come to
 * be escaped by one more; each character of a checkpoint may come to be escaped by six. */
static size_t order_bytes(const Order *order)
{
    return ORDER_FRAME_BYTES + strlen(order->job) + 2 * strlen(order->payload) + 6 * strlen(order->saved);
}

void orders_fill(Agent *agent, void *mem, const WorkerReport *report, WorkerOrders *orders)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    const unsigned live = (unsigned)agent->attempts.live.count;
    Order *starts = talloc_zero_array(mem, Order, live);
    size_t starts_bytes = 0;
    AttemptId *stops = talloc_zero_array(mem, AttemptId, live + (unsigned)report->running_count);
    AttemptId *known = talloc_zero_array(mem, AttemptId, (unsigned)report->ended_count);
    *orders = (WorkerOrders){.term = agent->lease.term,
                             .fence = term_counter(agent->lease.term),
                             .lease_ms = lease_pass_on(agent, now_ms),
                             .starts = starts,
                             .start_within_ms = INT64_MAX,
                             .stops = stops,
                             .committed_ends = known,
                             .next_report_ms = WORKER_NEXT_POLL_MS};
    for (Attempt *attempt = agent->attempts.live.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_ORDERED && !agent->settled)
            continue; /* The worker may run it: an earlier agent process may have given it */
        if (attempt->phase == PHASE_ORDERED && now_ms >= attempt->timeout_ms) {
            attempt_expire(agent, attempt);
        } else if (attempt->phase == PHASE_ORDERED && orders->lease_ms > 0) {
            starts_bytes += order_bytes(&attempt->order);
            if (report->starts_bytes_max > 0 && starts_bytes > report->starts_bytes_max && orders->starts_count > 0)
                continue; /* Goes with the answer to a later report */
            shape_copy(&Order_shape, &attempt->order, mem, &starts[orders->starts_count++]);
            if (attempt->timeout_ms - now_ms < orders->start_within_ms)
                orders->start_within_ms = attempt->timeout_ms - now_ms;
            attempt->phase = PHASE_SENT;
            attempt->given_ms = now_ms;
            attempt_trace(agent, attempt, TRACE_GIVEN);
        } else if (attempt->phase == PHASE_STOPPING) {
            stops[orders->stops_count++] = attempt_id(mem, attempt);
        }
    }
    for (size_t i = 0; i < report->running_count; i++) {
        const AttemptUpdate *update = &report->running[i];
        if (must_still_stop(agent, update))
            stops[orders->stops_count++] = (AttemptId){talloc_strdup(mem, update->job), update->task, update->attempt};
    }
    for (size_t i = 0; i < report->ended_count; i++) {
        const AttemptUpdate *update = &report->ended[i];
        const Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
        if (attempt != NULL && attempt->phase == PHASE_COMMITTED)
            known[orders->committed_ends_count++] = attempt_id(mem, attempt);
    }
}
