/* The leader's orders: the attempts to start, and all attempts that are wanted on the worker. They state what should
 * run there rather than what has changed, so that a lost answer does no harm. */
#include "orders.h"

#include <string.h>
#include <talloc.h>

#include "attempts.h"
#include "heartbeat/attempt_set.h"

/* True if an older attempt of the task may still run: it is not wanted and is being stopped. */
static bool older_may_run(const Agent *agent, const Order *order)
{
    for (const Attempt *attempt = agent->attempts.live.first; attempt != NULL; attempt = attempt->next)
        if (attempt->order.attempt < order->attempt && attempt->order.task == order->task &&
            strcmp(attempt->order.job, order->job) == 0)
            return true;
    return false;
}

static void start_apply(Agent *agent, const Order *order, uint64_t term, int64_t timeout_ms)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    Attempt *attempt = attempt_find(agent, order->job, order->task, order->attempt);
    if (attempt != NULL) {
        if (attempt->phase == PHASE_ORDERED) { /* Ordered again: the deadline moves */
            attempt->timeout_ms = timeout_ms;
            attempt->term = term;
        } else if (attempt->phase == PHASE_COMMITTED) {
            /* The leader has lost the end. */
            attempt_report_end(agent, attempt, (AttemptStatus)attempt->word, attempt->text);
        }
        return;
    }
    /* Unless the table is complete, an earlier agent process may have given it: that is known only later. The leader
     * finds out what is dropped here, and gives it again. */
    if (!lease_runs(&agent->lease, now_ms) || (now_ms >= timeout_ms && !agent->settled) || older_may_run(agent, order))
        return;
    const Attempt *newest = attempt_newest(agent, order->job, order->task);
    attempt = attempt_add(agent, order, PHASE_ORDERED);
    attempt->term = term;
    attempt->timeout_ms = timeout_ms;
    attempt_trace(agent, attempt, TRACE_FETCHED);
    if (now_ms >= timeout_ms)
        attempt_expire(agent, attempt);
    else if (newest != NULL && newest->order.attempt > order->attempt)
        attempt_end(agent, attempt, ATTEMPT_REFUSED, "a newer round has been here", true);
    else if (agent->worker_leaving && agent->settled)
        attempt_withdraw(agent, attempt, "the worker leaves");
    signal_raise(agent->loop, &agent->answer_signal);
}

void orders_apply(Agent *agent, const HeartbeatAnswer *answer, int64_t sent_ms)
{
    AttemptSet *wanted = attempt_set_new(agent, answer->wanted, answer->wanted_count);
    for (Attempt *attempt = agent->attempts.live.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_STOPPING ||
            attempt_set_has(wanted, attempt->order.job, attempt->order.task, attempt->order.attempt))
            continue;
        if (attempt->phase == PHASE_ORDERED)
            attempt_withdraw(agent, attempt, "no longer wanted");
        else
            attempt->phase = PHASE_STOPPING;
        signal_raise(agent->loop, &agent->answer_signal);
    }
    for (size_t i = 0; i < answer->starts_count; i++)
        start_apply(agent, &answer->starts[i], answer->term, sent_ms + answer->timeout_ms);
    talloc_free(wanted);
}
