/* The leader's orders: the attempts to start, and all those that are wanted on the worker. They state what should run
 * there rather than what has changed, so that a lost answer does no harm. */
#include "orders.h"

#include <string.h>

#include "attempts.h"

static bool wanted(const HeartbeatAnswer *answer, const Order *order)
{
    for (size_t i = 0; i < answer->wanted_count; i++)
        if (attempt_is(order, answer->wanted[i].job, answer->wanted[i].task, answer->wanted[i].attempt))
            return true;
    return false;
}

/* An older attempt of the task may still run: it is not wanted and is being stopped. */
static bool older_lives(const Agent *agent, const Order *order)
{
    for (const Attempt *attempt = agent->attempts.lives.first; attempt != NULL; attempt = attempt->next)
        if (attempt->order.attempt < order->attempt && attempt->order.task == order->task &&
            strcmp(attempt->order.job, order->job) == 0)
            return true;
    return false;
}

static void start_take(Agent *agent, const Order *order, uint64_t term, int64_t timeout_ms)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    Attempt *attempt = attempt_find(agent, order->job, order->task, order->attempt);
    if (attempt != NULL) {
        if (attempt->phase == PHASE_OFFERED) { /* ordered again: its deadline moves */
            attempt->timeout_ms = timeout_ms;
            attempt->term = term;
        } else if (attempt->phase == PHASE_KNOWN) {
            attempt_report_end(agent, attempt, (AttemptWord)attempt->word,
                               attempt->text); /* the leader has lost its end */
        }
        return;
    }
    if (!lease_runs(&agent->lease, now_ms) || now_ms >= timeout_ms || older_lives(agent, order))
        return;
    const Attempt *newest = attempt_newest(agent, order->job, order->task);
    attempt = attempt_add(agent, order, PHASE_OFFERED);
    attempt->term = term;
    attempt->timeout_ms = timeout_ms;
    attempt_trace(agent, attempt, TRACE_FETCHED);
    if (newest != NULL && newest->order.attempt > order->attempt)
        attempt_end(agent, attempt, ATTEMPT_REFUSED, "a newer round has been here", true);
    else if (agent->worker_leaving)
        attempt_withdraw(agent, attempt, "the worker leaves");
    signal_raise(agent->loop, &agent->for_worker);
}

void orders_take(Agent *agent, const HeartbeatAnswer *answer, int64_t sent_ms)
{
    for (Attempt *attempt = agent->attempts.lives.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_STOPPING || wanted(answer, &attempt->order))
            continue;
        if (attempt->phase == PHASE_OFFERED)
            attempt_withdraw(agent, attempt, "no longer wanted");
        else
            attempt->phase = PHASE_STOPPING;
        signal_raise(agent->loop, &agent->for_worker);
    }
    for (size_t i = 0; i < answer->starts_count; i++)
        start_take(agent, &answer->starts[i], answer->term, sent_ms + answer->timeout_ms);
}
