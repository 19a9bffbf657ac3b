#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

#define KEY_MAX (ID_MAX + 48) /* bytes; a name and two numbers */

static const char *task_key(char key[KEY_MAX], const char *job, uint64_t task)
{
    snprintf(key, KEY_MAX, "%" PRIu64 " %s", task, job);
    return key;
}

static const char *roundKey(char key[KEY_MAX], const char *job, uint64_t task, uint64_t round)
{
    snprintf(key, KEY_MAX, "%" PRIu64 " %" PRIu64 " %s", round, task, job);
    return key;
}

void roundsInit(Agent *agent)
{
    agent->rounds.by_id = map_new(agent);
    agent->rounds.newest = map_new(agent);
}

Round *round_find(Agent *agent, const char *job, uint64_t task, uint64_t round)
{
    char key[KEY_MAX];
    return map_get(agent->rounds.by_id, roundKey(key, job, task, round));
}

Round *roundNewest(Agent *agent, const char *job, uint64_t task)
{
    char key[KEY_MAX];
    return map_get(agent->rounds.newest, task_key(key, job, task));
}

static void chainLeave(Round *round)
{
    RoundChain *chain = round->chain;
    if (round->prev != NULL)
        round->prev->next = round->next;
    else
        chain->first = round->next;
    if (round->next != NULL)
        round->next->prev = round->prev;
    else
        chain->last = round->prev;
    chain->count--;
}

static void chainJoin(RoundChain *chain, Round *round)
{
    round->chain = chain;
    round->prev = chain->last;
    round->next = NULL;
    if (chain->last != NULL)
        chain->last->next = round;
    else
        chain->first = round;
    chain->last = round;
    chain->count++;
}

static void text_set(Round *round, const char **at, const char *text)
{
    if (*at == text)
        return;
    if ((*at)[0] != '\0')
        talloc_free((void *)(uintptr_t)*at);
    *at = text[0] != '\0' ? talloc_strdup(round, text) : "";
}

Round *roundAdd(Agent *agent, const Order *order, RoundPhase phase)
{
    Round *round = talloc_zero(agent, Round);
    char key[KEY_MAX];
    shape_copy(&Order_shape, order, round, &round->order);
    round->phase = phase;
    round->saved = round->text = "";
    round->changed_ms = loop_now_ms(agent->loop);
    chainJoin(&agent->rounds.lives, round);
    map_set(agent->rounds.by_id, roundKey(key, order->job, order->task, order->round), round);
    const Round *newest = roundNewest(agent, order->job, order->task);
    if (newest == NULL || newest->order.round < order->round)
        map_set(agent->rounds.newest, task_key(key, order->job, order->task), round);
    return round;
}

void roundTrace(Agent *agent, const Round *round, TraceStep step)
{
    char detail[48];
    snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 "%s%s", round->order.task, round->order.round,
             step == TRACE_OVER ? " " : "", step == TRACE_OVER ? round_word(round->word) : "");
    trace_say(agent->trace, step, detail, "job:%s", round->order.job);
}

/* How far a round has come is told when it has run for PACE_FIRST_MS, and then each
 * time that it has run half as long again: often enough to see one that stands still,
 * seldom enough to cost nothing. */
static void pace_take(Agent *agent, Round *round, uint64_t percent)
{
    round->percent = percent;
    round->percent_ms = loop_now_ms(agent->loop) - round->runsMs;
    if (round->paceMs == 0)
        round->paceMs = PACE_FIRST_MS;
    if (round->percent_ms < round->paceMs)
        return;
    round->paceMs = round->percent_ms + round->percent_ms / 2;
    round->savedTurn++;
}

void roundRuns(Agent *agent, Round *round, const RoundNews *news)
{
    if (round->phase == PHASE_OFFERED || round->phase == PHASE_SENT) {
        round->phase = PHASE_RUNNING;
        roundTrace(agent, round, TRACE_RUNS);
    }
    if (round->runsMs == 0)
        round->runsMs = round->givenMs != 0 ? round->givenMs : loop_now_ms(agent->loop);
    if (round->savedTurn == 0 || strcmp(round->saved, news->saved) != 0) {
        text_set(round, &round->saved, news->saved);
        round->savedTurn++; /* the next beat tells it */
    }
    pace_take(agent, round, news->percent);
}

void roundRetell(Agent *agent, Round *round, RoundWord word, const char *text)
{
    round->phase = PHASE_ENDED;
    round->word = word;
    text_set(round, &round->text, text);
    chainLeave(round);
    chainJoin(&agent->rounds.ended, round);
    signal_raise(agent->loop, &agent->toTell);
}

void roundEnd(Agent *agent, Round *round, RoundWord word, const char *text, bool guessed)
{
    if (round->phase >= PHASE_ENDED)
        return;
    const int64_t now_ms = loop_now_ms(agent->loop);
    round->guessed = guessed;
    const int64_t since_ms = round->runsMs != 0 || guessed ? round->runsMs : round->givenMs;
    round->ran_ms = since_ms != 0 ? now_ms - since_ms : 0;
    round->changed_ms = now_ms;
    /* thousands of ended ones are kept */
    talloc_free((void *)(uintptr_t)round->order.payload);
    talloc_free((void *)(uintptr_t)round->order.saved);
    round->order.payload = round->order.saved = "";
    roundRetell(agent, round, word, text);
    roundTrace(agent, round, TRACE_OVER);
}

void roundKnown(Agent *agent, Round *round)
{
    round->phase = PHASE_KNOWN;
    round->changed_ms = loop_now_ms(agent->loop);
    chainLeave(round);
    chainJoin(&agent->rounds.known, round);
    roundTrace(agent, round, TRACE_KNOWN);
    signal_raise(agent->loop, &agent->forWorker);
}

void roundWithdraw(Agent *agent, Round *round, const char *why)
{
    if (agent->settled)
        roundEnd(agent, round, ROUND_STOPPED, why, true);
    else
        round->phase = PHASE_STOPPING; /* an earlier agent may have given it */
}

void roundsWithdraw(Agent *agent, const char *why)
{
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase == PHASE_OFFERED)
            roundWithdraw(agent, round, why);
    }
}

void roundsStop(Agent *agent)
{
    roundsWithdraw(agent, "the hold lapsed before it started");
    for (Round *round = agent->rounds.lives.first; round != NULL; round = round->next)
        round->phase = PHASE_STOPPING;
    signal_raise(agent->loop, &agent->forWorker);
}

void roundsGone(Agent *agent, const char *why)
{
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase != PHASE_OFFERED)
            roundEnd(agent, round, round->phase == PHASE_STOPPING ? ROUND_STOPPED : ROUND_LOST, why, true);
    }
}

void roundsForget(Agent *agent)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    Rounds *rounds = &agent->rounds;
    while (rounds->known.first != NULL) {
        Round *round = rounds->known.first;
        if (now_ms - round->changed_ms <= REPAIR_KEEP_MS && rounds->known.count <= KNOWN_MOST)
            return;
        char key[KEY_MAX];
        chainLeave(round);
        map_drop(rounds->by_id, roundKey(key, round->order.job, round->order.task, round->order.round));
        if (roundNewest(agent, round->order.job, round->order.task) == round)
            map_drop(rounds->newest, task_key(key, round->order.job, round->order.task));
        talloc_free(round);
    }
}
