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

static const char *round_key(char key[KEY_MAX], const char *job, uint64_t task, uint64_t round)
{
    snprintf(key, KEY_MAX, "%" PRIu64 " %" PRIu64 " %s", round, task, job);
    return key;
}

void rounds_init(Agent *agent)
{
    agent->rounds.by_id = map_new(agent);
    agent->rounds.newest = map_new(agent);
}

Round *round_find(Agent *agent, const char *job, uint64_t task, uint64_t round)
{
    char key[KEY_MAX];
    return map_get(agent->rounds.by_id, round_key(key, job, task, round));
}

Round *round_newest(Agent *agent, const char *job, uint64_t task)
{
    char key[KEY_MAX];
    return map_get(agent->rounds.newest, task_key(key, job, task));
}

static void chain_leave(Round *round)
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

static void chain_join(RoundChain *chain, Round *round)
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

Round *round_add(Agent *agent, const Order *order, RoundPhase phase)
{
    Round *round = talloc_zero(agent, Round);
    char key[KEY_MAX];
    shape_copy(&Order_shape, order, round, &round->order);
    round->phase = phase;
    round->saved = round->text = "";
    round->changed_ms = loop_now_ms(agent->loop);
    chain_join(&agent->rounds.lives, round);
    map_set(agent->rounds.by_id, round_key(key, order->job, order->task, order->round), round);
    const Round *newest = round_newest(agent, order->job, order->task);
    if (newest == NULL || newest->order.round < order->round)
        map_set(agent->rounds.newest, task_key(key, order->job, order->task), round);
    return round;
}

void round_trace(Agent *agent, const Round *round, TraceStep step)
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
    round->percent_ms = loop_now_ms(agent->loop) - round->runs_ms;
    if (round->pace_ms == 0)
        round->pace_ms = PACE_FIRST_MS;
    if (round->percent_ms < round->pace_ms)
        return;
    round->pace_ms = round->percent_ms + round->percent_ms / 2;
    round->saved_turn++;
}

void round_runs(Agent *agent, Round *round, const RoundNews *news)
{
    if (round->phase == PHASE_OFFERED || round->phase == PHASE_SENT) {
        round->phase = PHASE_RUNNING;
        round_trace(agent, round, TRACE_RUNS);
    }
    if (round->runs_ms == 0)
        round->runs_ms = round->given_ms != 0 ? round->given_ms : loop_now_ms(agent->loop);
    if (round->saved_turn == 0 || strcmp(round->saved, news->saved) != 0) {
        text_set(round, &round->saved, news->saved);
        round->saved_turn++; /* the next heartbeat tells it */
    }
    pace_take(agent, round, news->percent);
}

void round_retell(Agent *agent, Round *round, RoundWord word, const char *text)
{
    round->phase = PHASE_ENDED;
    round->word = word;
    text_set(round, &round->text, text);
    chain_leave(round);
    chain_join(&agent->rounds.ended, round);
    signal_raise(agent->loop, &agent->to_tell);
}

void round_end(Agent *agent, Round *round, RoundWord word, const char *text, bool guessed)
{
    if (round->phase >= PHASE_ENDED)
        return;
    const int64_t now_ms = loop_now_ms(agent->loop);
    round->guessed = guessed;
    const int64_t since_ms = round->runs_ms != 0 || guessed ? round->runs_ms : round->given_ms;
    round->ran_ms = since_ms != 0 ? now_ms - since_ms : 0;
    round->changed_ms = now_ms;
    /* thousands of ended ones are kept */
    talloc_free((void *)(uintptr_t)round->order.payload);
    talloc_free((void *)(uintptr_t)round->order.saved);
    round->order.payload = round->order.saved = "";
    round_retell(agent, round, word, text);
    round_trace(agent, round, TRACE_OVER);
}

void round_known(Agent *agent, Round *round)
{
    round->phase = PHASE_KNOWN;
    round->changed_ms = loop_now_ms(agent->loop);
    chain_leave(round);
    chain_join(&agent->rounds.known, round);
    round_trace(agent, round, TRACE_KNOWN);
    signal_raise(agent->loop, &agent->for_worker);
}

void round_withdraw(Agent *agent, Round *round, const char *why)
{
    if (agent->settled)
        round_end(agent, round, ROUND_STOPPED, why, true);
    else
        round->phase = PHASE_STOPPING; /* an earlier agent may have given it */
}

void rounds_withdraw(Agent *agent, const char *why)
{
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase == PHASE_OFFERED)
            round_withdraw(agent, round, why);
    }
}

void rounds_stop(Agent *agent)
{
    rounds_withdraw(agent, "the hold lapsed before it started");
    for (Round *round = agent->rounds.lives.first; round != NULL; round = round->next)
        round->phase = PHASE_STOPPING;
    signal_raise(agent->loop, &agent->for_worker);
}

void rounds_gone(Agent *agent, const char *why)
{
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase != PHASE_OFFERED)
            round_end(agent, round, round->phase == PHASE_STOPPING ? ROUND_STOPPED : ROUND_LOST, why, true);
    }
}

void rounds_forget(Agent *agent)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    Rounds *rounds = &agent->rounds;
    while (rounds->known.first != NULL) {
        Round *round = rounds->known.first;
        if (now_ms - round->changed_ms <= REPAIR_KEEP_MS && rounds->known.count <= KNOWN_MOST)
            return;
        char key[KEY_MAX];
        chain_leave(round);
        map_drop(rounds->by_id, round_key(key, round->order.job, round->order.task, round->order.round));
        if (round_newest(agent, round->order.job, round->order.task) == round)
            map_drop(rounds->newest, task_key(key, round->order.job, round->order.task));
        talloc_free(round);
    }
}
