#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

Round *roundFind(Agent *agent, const char *job, uint64_t task, uint64_t round)
{
    for (Round *at = agent->rounds; at != NULL; at = at->next)
        if (at->order.round == round && at->order.task == task && strcmp(at->order.job, job) == 0)
            return at;
    return NULL;
}

Round *roundAdd(Agent *agent, const Order *order, RoundPhase phase)
{
    Round *round = talloc_zero(agent, Round);
    shapeCopy(&OrderShape, order, round, &round->order);
    round->phase = phase;
    round->text = "";
    round->changedMs = loopNowMs(agent->loop);
    round->next = agent->rounds;
    agent->rounds = round;
    return round;
}

void roundTrace(Agent *agent, const Round *round, TraceStep step)
{
    char detail[48];
    snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 "%s%s", round->order.task, round->order.round,
             step == TRACE_OVER ? " " : "", step == TRACE_OVER ? roundWord(round->word) : "");
    traceSay(agent->trace, step, detail, "job:%s", round->order.job);
}

void roundEnd(Agent *agent, Round *round, RoundWord word, const char *text)
{
    if (round->phase >= PHASE_ENDED)
        return;
    round->phase = PHASE_ENDED;
    round->word = word;
    round->text = talloc_strdup(round, text);
    round->changedMs = loopNowMs(agent->loop);
    round->runningUntold = false;
    roundTrace(agent, round, TRACE_OVER);
    signalRaise(agent->loop, &agent->toTell);
}

void roundsStop(Agent *agent)
{
    for (Round *round = agent->rounds; round != NULL; round = round->next) {
        if (round->phase == PHASE_OFFERED)
            roundEnd(agent, round, ROUND_LOST, "the hold lapsed before it started");
        else if (round->phase == PHASE_SENT || round->phase == PHASE_RUNNING)
            round->phase = PHASE_STOPPING;
    }
    signalRaise(agent->loop, &agent->forWorker);
}

void roundsForget(Agent *agent)
{
    const int64_t nowMs = loopNowMs(agent->loop);
    for (Round **at = &agent->rounds; *at != NULL;) {
        Round *round = *at;
        if (round->phase == PHASE_KNOWN && nowMs - round->changedMs > REPAIR_KEEP_MS) {
            *at = round->next;
            talloc_free(round);
        } else {
            at = &round->next;
        }
    }
}
