/* Orders of the leader: what is to start, and all that is to be there. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

static bool wanted(const HeartbeatAnswer *answer, const Order *order)
{
    for (size_t i = 0; i < answer->wanted_count; i++)
        if (answer->wanted[i].round == order->round && answer->wanted[i].task == order->task &&
            strcmp(answer->wanted[i].job, order->job) == 0)
            return true;
    return false;
}

/* An older round of the task may still run: it is not wanted and is being stopped. */
static bool older_lives(const Agent *agent, const Order *order)
{
    for (const Round *round = agent->rounds.lives.first; round != NULL; round = round->next)
        if (round->order.round < order->round && round->order.task == order->task &&
            strcmp(round->order.job, order->job) == 0)
            return true;
    return false;
}

static void start_take(Agent *agent, const Order *order, uint64_t term, int64_t timeout_ms)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    Round *round = round_find(agent, order->job, order->task, order->round);
    if (round != NULL) {
        if (round->phase == PHASE_OFFERED) { /* offered again: it stands longer */
            round->timeout_ms = timeout_ms;
            round->term = term;
        } else if (round->phase == PHASE_KNOWN) {
            round_retell(agent, round, (RoundWord)round->word, round->text); /* the leader has forgotten its end */
        }
        return;
    }
    if (!lease_runs(&agent->lease, now_ms) || now_ms >= timeout_ms || older_lives(agent, order))
        return;
    const Round *newest = round_newest(agent, order->job, order->task);
    round = round_add(agent, order, PHASE_OFFERED);
    round->term = term;
    round->timeout_ms = timeout_ms;
    round_trace(agent, round, TRACE_FETCHED);
    if (newest != NULL && newest->order.round > order->round)
        round_end(agent, round, ROUND_REFUSED, "a newer round has been here", true);
    else if (agent->worker_leaving)
        round_withdraw(agent, round, "the worker leaves");
    signal_raise(agent->loop, &agent->for_worker);
}

void orders_take(Agent *agent, const HeartbeatAnswer *answer, int64_t sent_ms)
{
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase == PHASE_STOPPING || wanted(answer, &round->order))
            continue;
        if (round->phase == PHASE_OFFERED)
            round_withdraw(agent, round, "no longer wanted");
        else
            round->phase = PHASE_STOPPING;
        signal_raise(agent->loop, &agent->for_worker);
    }
    for (size_t i = 0; i < answer->starts_count; i++)
        start_take(agent, &answer->starts[i], answer->term, sent_ms + answer->timeout_ms);
}
