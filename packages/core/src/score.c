/* Workers that fail their work while they claim health: fewer starts, then none
 * for a growing span, never for too many of them at once. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

const Score *scoreFind(const Core *core, const char *worker)
{
    return mapGet(core->scores, worker);
}

uint64_t scoreRate(const Core *core, const char *worker)
{
    const Score *score = scoreFind(core, worker);
    const int64_t from = score == NULL ? 0 : score->ratedMs > score->restUntilMs ? score->ratedMs : score->restUntilMs;
    const int64_t halvings = score == NULL ? 0 : (loopNowMs(core->loop) - from) / SCORE_FADE_MS;
    if (score == NULL || halvings > 7)
        return 0;
    return halvings > 0 ? score->ratePercent >> halvings : score->ratePercent;
}

bool scoreRests(const Core *core, const char *worker)
{
    const Score *score = scoreFind(core, worker);
    return score != NULL && loopNowMs(core->loop) < score->restUntilMs;
}

static size_t resting(const Core *core, void *mem)
{
    const char **names;
    const size_t count = mapKeys(core->scores, mem, &names);
    size_t rest = 0;
    for (size_t i = 0; i < count; i++)
        rest += scoreRests(core, names[i]);
    return rest;
}

static void restMaybe(Core *core, const char *worker, Score *score)
{
    const int64_t nowMs = loopNowMs(core->loop);
    if (score->ratePercent <= SCORE_REST || score->jobs < SCORE_JOBS || nowMs < score->restUntilMs)
        return;
    void *mem = talloc_new(core);
    const Worker **workers;
    const size_t fleet = tableWorkers(core->table, mem, &workers);
    const size_t rest = resting(core, mem);
    talloc_free(mem);
    if ((rest + 1) * SCORE_SHARE > fleet)
        return; /* so many at once: the work is bad, or the fleet is; resting helps neither */
    score->restMs = score->restMs == 0                      ? SCORE_REST_MS
                    : score->restMs * 2 < SCORE_REST_MAX_MS ? score->restMs * 2
                                                            : SCORE_REST_MAX_MS;
    score->restUntilMs = nowMs + score->restMs;
    /* after the rest it is tried again: a single failure sends it back */
    score->ratePercent = SCORE_REST;
    score->jobs = SCORE_JOBS - 1;
    if (viewLeading(core->view))
        ringSay(core->ring, RING_ALERT, nowMs, "worker %s fails its work: given nothing for %" PRId64 " ms", worker,
                score->restMs);
}

void scoreTake(Core *core, const RoundList *list)
{
    for (size_t i = 0; i < list->newsCount; i++) {
        const RoundNews *news = &list->news[i];
        if (news->word != ROUND_FAILED && news->word != ROUND_DONE)
            continue;
        Score *score = mapGet(core->scores, news->worker);
        const Job *job = tableJob(core->table, news->job);
        if (score == NULL && (news->word == ROUND_DONE || tableWorker(core->table, news->worker) == NULL))
            continue;
        if (score == NULL) {
            score = talloc_zero(core->scores, Score);
            mapSet(core->scores, news->worker, score);
        }
        score->ratePercent = scoreRate(core, news->worker);
        score->ratedMs = loopNowMs(core->loop);
        const uint64_t now = news->word == ROUND_FAILED ? 100 : 0;
        score->ratePercent = (score->ratePercent * (100 - SCORE_WEIGHT) + now * SCORE_WEIGHT) / 100;
        if (news->word == ROUND_DONE) {
            score->jobs = 0;
            if (score->ratePercent < SCORE_WEIGHT)
                score->restMs = 0; /* it does well again: forgiven */
        } else if (job != NULL && job->number != score->lastJob) {
            score->jobs++;
            score->lastJob = job->number;
        }
        restMaybe(core, news->worker, score);
    }
}
