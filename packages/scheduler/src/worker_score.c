/* Outlier ejection of workers: those that fail or slow their attempts while they claim health get fewer starts,
 * then none for a growing rest; never too many of them at once. */
#include "scheduler/worker_score.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state.h"
#include "settings/features.h"

#define HALVINGS_MOST 7 /* count; a rate of at most 100 percent that was halved more often is none */

const Score *score_find(const Scheduler *scheduler, const char *worker)
{
    return map_get(scheduler->scores, worker);
}

/* The rate now: it halves with each SCORE_FADE_MS without a bad attempt. */
static uint64_t tally_rate(const Scheduler *scheduler, const Score *score, const Tally *tally)
{
    const int64_t from = tally->rated_ms > score->rest_until_ms ? tally->rated_ms : score->rest_until_ms;
    const int64_t halvings = (loop_now_ms(scheduler->loop) - from) / SCORE_FADE_MS;
    if (halvings > HALVINGS_MOST)
        return 0;
    return halvings > 0 ? tally->rate_percent >> halvings : tally->rate_percent;
}

uint64_t score_rate(const Scheduler *scheduler, const char *worker)
{
    const Score *score = score_find(scheduler, worker);
    if (score == NULL)
        return 0;
    const uint64_t failed = tally_rate(scheduler, score, &score->failed);
    /* one slow attempt alone may have met one pause */
    const uint64_t slow = score->slow.jobs >= SLOW_SIGNS ? tally_rate(scheduler, score, &score->slow) : 0;
    return failed > slow ? failed : slow;
}

bool score_rests(const Scheduler *scheduler, const char *worker)
{
    const Score *score = score_find(scheduler, worker);
    return score != NULL && loop_now_ms(scheduler->loop) < score->rest_until_ms;
}

static size_t resting(const Scheduler *scheduler, void *mem)
{
    const char **names;
    const size_t count = map_keys(scheduler->scores, mem, &names);
    size_t rest = 0;
    for (size_t i = 0; i < count; i++)
        rest += score_rests(scheduler, names[i]);
    return rest;
}

/* Gives the worker a rest when its rate is too high. how: what it does, for the record. */
static void rest_maybe(Scheduler *scheduler, const char *worker, Score *score, Tally *tally, const char *how)
{
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    if (tally->rate_percent <= SCORE_REST || tally->jobs < SCORE_JOBS || now_ms < score->rest_until_ms)
        return;
    void *mem = talloc_new(scheduler);
    const Worker **workers;
    const size_t fleet = table_workers(scheduler->table, mem, &workers);
    const size_t rest = resting(scheduler, mem);
    talloc_free(mem);
    if ((rest + 1) * SCORE_SHARE > fleet)
        return; /* so many at once: the work is bad, or the whole fleet is; a rest helps neither */
    score->rest_ms = score->rest_ms == 0                      ? SCORE_REST_MS
                     : score->rest_ms * 2 < SCORE_REST_MAX_MS ? score->rest_ms * 2
                                                              : SCORE_REST_MAX_MS;
    score->rest_until_ms = now_ms + score->rest_ms;
    /* after the rest it is tried again: one more bad attempt sends it back */
    tally->rate_percent = SCORE_REST;
    tally->jobs = SCORE_JOBS - 1;
    if (scheduler_leads(scheduler))
        recorder_write(scheduler->recorder, RECORDER_ALERT, now_ms, "worker %s %s: given nothing for %" PRId64 " ms",
                       worker, how, score->rest_ms);
}

/* Takes one attempt's end into the tally, with that weight in percent. */
static void tally_take(Scheduler *scheduler, const char *worker, Score *score, Tally *tally, const Job *job, bool bad,
                       uint64_t weight, const char *how)
{
    tally->rate_percent = tally_rate(scheduler, score, tally);
    tally->rated_ms = loop_now_ms(scheduler->loop);
    tally->rate_percent = (tally->rate_percent * (100 - weight) + (bad ? 100 : 0) * weight) / 100;
    if (!bad) {
        tally->jobs = 0;
        if (score->failed.rate_percent < SCORE_WEIGHT && score->slow.rate_percent < SCORE_WEIGHT)
            score->rest_ms = 0; /* it does well again: the next rest begins short */
    } else if (job != NULL && job->number != tally->last_job) {
        tally->jobs++;
        tally->last_job = job->number;
    }
    rest_maybe(scheduler, worker, score, tally, how);
}

/* A first attempt's time on its worker, by the log; -1: not to be compared. */
static int64_t took_ms(const JobTask *task)
{
    return task->phase == TASK_DONE && task->attempt == 1 && task->started_ms != 0 ? task->changed_ms - task->started_ms
                                                                                   : -1;
}

static int span_order(const void *a, const void *b)
{
    const int64_t one = *(const int64_t *)a, other = *(const int64_t *)b;
    return one < other ? -1 : one > other;
}

/* Compares the task's time with the median of the other tasks of its own step, never with an absolute time:
 * tasks of a step do alike work. False: too few others. */
static bool compared(const Job *job, size_t at, bool *slow)
{
    const JobTask *mine = &job->tasks[at];
    const int64_t mine_ms = took_ms(mine);
    int64_t *spans = talloc_array(NULL, int64_t, (unsigned)job->tasks_count);
    size_t count = 0;
    for (size_t t = 0; t < job->tasks_count && mine_ms >= 0 && count < SLOW_OTHERS_MOST; t++)
        if (t != at && job->tasks[t].step == mine->step && took_ms(&job->tasks[t]) >= 0)
            spans[count++] = took_ms(&job->tasks[t]);
    bool enough = count >= SLOW_OTHERS;
    if (enough) {
        qsort(spans, count, sizeof(*spans), span_order);
        const int64_t median_ms = spans[count / 2];
        enough = median_ms >= SLOW_LEAST_MS;
        *slow = mine_ms >= median_ms * SLOW_TIMES;
    }
    talloc_free(spans);
    return enough;
}

uint64_t score_far_percent(const Scheduler *scheduler, const Worker *worker, const StepSpec *step)
{
    const bool far = step->near[0] != '\0' && strcmp(step->near, worker->rack) != 0;
    return far ? (uint64_t)scheduler->bounds->far_percent : 100;
}

/* Takes the attempt's time into the estimates, where it was spent on the task's work alone. */
static void estimate_take(Scheduler *scheduler, const AttemptUpdate *update, const Job *job, const JobTask *task)
{
    const Worker *worker = table_worker(scheduler->table, update->worker);
    const StepSpec *step = &job->spec.steps[task->step];
    const bool whole = task->attempt == 1 || !step->saves;
    const int64_t ran_ms = update->ran_ms > 0 && whole ? update->ran_ms : took_ms(task);
    /* a gang, and a step that is spread over racks, waits for others as well */
    if (feature_on(scheduler->bounds, FEATURE_ESTIMATES) && worker != NULL && ran_ms > 0 && !step->gang &&
        !step->same_rack && !job->spec.lasting)
        estimates_end_take(scheduler->estimates, job, task->step, update->worker, ran_ms,
                           score_far_percent(scheduler, worker, step), loop_now_ms(scheduler->loop));
}

void score_stalled(Scheduler *scheduler, const char *worker, const Job *job)
{
    if (!feature_on(scheduler->bounds, FEATURE_EJECT_FAILING))
        return;
    Score *score = map_get(scheduler->scores, worker);
    if (score == NULL) {
        score = talloc_zero(scheduler->scores, Score);
        map_set(scheduler->scores, worker, score);
    }
    tally_take(scheduler, worker, score, &score->failed, job, true, SCORE_WEIGHT, "lets its work stand still");
}

void score_take(Scheduler *scheduler, const AttemptList *list)
{
    for (size_t i = 0; i < list->updates_count; i++) {
        const AttemptUpdate *update = &list->updates[i];
        if (update->word != ATTEMPT_FAILED && update->word != ATTEMPT_DONE)
            continue;
        Score *score = map_get(scheduler->scores, update->worker);
        const Job *job = table_job(scheduler->table, update->job);
        bool slow = false;
        const size_t at = job != NULL ? task_index(job, update->task) : 0;
        const bool ended = update->word == ATTEMPT_DONE && job != NULL && at < job->tasks_count &&
                           job->tasks[at].attempt == update->attempt;
        const bool known = ended && compared(job, at, &slow);
        if (ended)
            estimate_take(scheduler, update, job, &job->tasks[at]);
        if (score == NULL &&
            ((update->word == ATTEMPT_DONE && !slow) || table_worker(scheduler->table, update->worker) == NULL))
            continue;
        if (score == NULL) {
            score = talloc_zero(scheduler->scores, Score);
            map_set(scheduler->scores, update->worker, score);
        }
        if (feature_on(scheduler->bounds, FEATURE_EJECT_FAILING))
            tally_take(scheduler, update->worker, score, &score->failed, job, update->word == ATTEMPT_FAILED,
                       SCORE_WEIGHT, "fails its work");
        /* attempts that ran at the same time as one already counted may have met the same pause, which counts once */
        const bool beside = slow && job->tasks[at].started_ms < score->slow_end_ms;
        if (known && !beside && feature_on(scheduler->bounds, FEATURE_EJECT_SLOW))
            tally_take(scheduler, update->worker, score, &score->slow, job, slow, SLOW_WEIGHT, "is slow");
        if (known && slow && !beside)
            score->slow_end_ms = job->tasks[at].changed_ms;
    }
}
