/* What rounds came to, told until it is committed; and told again in a repair. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

static RoundNews newsOf(const Agent *agent, void *mem, const Round *round)
{
    const bool over = round->phase >= PHASE_ENDED;
    return (RoundNews){.job = talloc_strdup(mem, round->order.job),
                       .task = round->order.task,
                       .round = round->order.round,
                       .worker = agent->workerName,
                       .word = over ? round->word : ROUND_RUNNING,
                       .text = talloc_strdup(mem, round->text),
                       .saved = talloc_strdup(mem, round->saved),
                       .ranMs = over                 ? round->ranMs
                                : round->runsMs != 0 ? loopNowMs(agent->loop) - round->runsMs
                                                     : 0};
}

static size_t newsGather(Agent *agent, void *mem, TellAsk *ask)
{
    const size_t count = agent->rounds.ended.count < TELLING_MOST ? agent->rounds.ended.count : TELLING_MOST;
    ask->news = talloc_zero_array(mem, RoundNews, (unsigned)count);
    for (const Round *round = agent->rounds.ended.first; round != NULL && ask->newsCount < count; round = round->next)
        ask->news[ask->newsCount++] = newsOf(agent, mem, round);
    return ask->newsCount;
}

static void told(Agent *agent, const TellAsk *ask)
{
    for (size_t i = 0; i < ask->newsCount; i++) {
        const RoundNews *news = &ask->news[i];
        Round *round = roundFind(agent, news->job, news->task, news->round);
        if (round != NULL && round->phase == PHASE_ENDED && round->word == news->word)
            roundKnown(agent, round);
    }
    /* a worker that has left is let go once nothing of it is open */
    if (agent->workerLeaving && !agent->workerLive && agent->rounds.lives.count + agent->rounds.ended.count == 0)
        beatNow(agent);
}

static void tellMain(void *arg)
{
    Agent *agent = arg;
    while (!loopStopping(agent->loop)) {
        void *mem = talloc_new(agent);
        TellAsk ask = {.agent = agent->workerName, .incarnation = agent->incarnation};
        char address[ADDRESS_MAX];
        if (newsGather(agent, mem, &ask) == 0) {
            talloc_free(mem);
            signalWait(agent->loop, &agent->toTell, loopNowMs(agent->loop) + BEAT_MS * 4);
            continue;
        }
        Status status = STATUS_NO_LEADER;
        if (leaderAddress(agent, address)) {
            ask.number = ++agent->number;
            TellAnswer answer = {0};
            status = courierAsk(agent->courier, mem, address, MESSAGE_TELL, &TellAskShape, &ask, SUBMIT_EXPIRY_MS,
                                &TellAnswerShape, &answer);
            if (status == STATUS_OK)
                told(agent, &ask);
        }
        talloc_free(mem);
        if (status != STATUS_OK) /* told again until it is committed */
            loopSleep(agent->loop, BEAT_MS / 5);
    }
}

static Status onRetell(void *arg, void *mem, const void *question, void *answer)
{
    Agent *agent = arg;
    KeepList *list = answer;
    (void)question;
    const Rounds *rounds = &agent->rounds;
    const size_t most = rounds->lives.count + rounds->ended.count + rounds->known.count;
    RoundList told = {talloc_zero_array(mem, RoundNews, (unsigned)most), 0};
    for (const Round *round = rounds->lives.first; round != NULL; round = round->next)
        if (round->phase != PHASE_OFFERED)
            told.news[told.newsCount++] = newsOf(agent, mem, round);
    const Round *firsts[] = {rounds->ended.first, rounds->known.first};
    for (size_t i = 0; i < sizeof(firsts) / sizeof(firsts[0]); i++)
        for (const Round *round = firsts[i]; round != NULL; round = round->next)
            if (round->word == ROUND_DONE)
                told.news[told.newsCount++] = newsOf(agent, mem, round);
    if (told.newsCount == 0)
        return STATUS_OK;
    list->items = talloc_zero(mem, KeepItem);
    list->items[0].change = CHANGE_ROUNDS;
    list->itemsCount = 1;
    shapePack(&RoundListShape, &told, mem, &list->items[0].payload);
    return STATUS_OK;
}

void tellStart(Agent *agent)
{
    courierHandle(agent->courier, MESSAGE_RETELL, &NothingShape, &KeepListShape, onRetell, agent);
    loopSpawn(agent->loop, "tell", tellMain, agent);
}
