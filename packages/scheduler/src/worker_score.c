/* Outlier ejection of workers: workers that fail or slow their attempts while they claim to be healthy get fewer
 * starts, then none for a growing period; only a bounded share of the fleet is ejected at the same time. */
#include "scheduler/worker_score.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state.h"
#include "settings/features.h"

#define HALVINGS_MAX 7 /* a rate of at most 100 percent is 0 after more halvings than this */

const WorkerScore *score_find(const Scheduler *scheduler, const char *worker)
{
    return map_get(scheduler->scores, worker);
}

/* The current rate: it halves with each SCORE_HALF_LIFE_MS without a bad attempt. */
static uint64_t tally_rate(const Scheduler *scheduler, const WorkerScore *score, const Tally *tally)
{
    const int64_t from = tally->rated_ms > score->ejected_until_ms ? tally->rated_ms : score->ejected_until_ms;
    const int64_t halvings = (loop_now_ms(scheduler->loop) - from) / SCORE_HALF_LIFE_MS;
    if (halvings > HALVINGS_MAX)
        return 0;
    return halvings > 0 ? tally->rate_percent >> halvings : tally->rate_percent;
}

uint64_t score_rate(const Scheduler *scheduler, const char *worker)
{
    const WorkerScore *score = score_find(scheduler, worker);
    if (score == NULL)
        return 0;
    const uint64_t failed = tally_rate(scheduler, score, &score->failed);
    /* a single slow attempt may be due to a single pause */
    const uint64_t slow = score->slow.jobs >= SLOW_SIGNS ? tally_rate(scheduler, score, &score->slow) : 0;
    return failed > slow ? failed : slow;
}

bool score_ejected(const Scheduler *scheduler, const char *worker)
{
    const WorkerScore *score = score_find(scheduler, worker);
    return score != NULL && loop_now_ms(scheduler->loop) < score->ejected_until_ms;
}

static size_t ejected_count(const Scheduler *scheduler, void *mem)
{
    const char **names;
    const size_t count = map_keys(scheduler->scores, mem, &names);
    size_t ejected = 0;
    for (size_t i = 0; i < count; i++)
        ejected += score_ejected(scheduler, names[i]);
    return ejected;
}

/* Ejects the worker when its rate is too high. how: what the worker does, for the log line. */
static void eject_if_bad(Scheduler *scheduler, const char *worker, WorkerScore *score, Tally *tally, const char *how)
{
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    if (tally->rate_percent <= FAILURE_EJECTION_PERCENT || tally->jobs < FAILURE_JOBS ||
        now_ms < score->ejected_until_ms)
        return;
    void *mem = talloc_new(scheduler);
    const Worker **workers;
    const size_t fleet = table_workers(scheduler->table, mem, &workers);
    const size_t ejected = ejected_count(scheduler, mem);
    talloc_free(mem);
    if ((ejected + 1) * EJECTED_WORKERS_DIVISOR > fleet)
        return; /* with so many bad workers, the work or the entire fleet is bad, and ejection helps neither */
    score->ejection_ms = score->ejection_ms == 0                    ? EJECTION_MIN_MS
                         : score->ejection_ms * 2 < EJECTION_MAX_MS ? score->ejection_ms * 2
                                                                    : EJECTION_MAX_MS;
    score->ejected_until_ms = now_ms + score->ejection_ms;
    /* after the ejection the worker is tried again: one more bad attempt ejects it again */
    tally->rate_percent = FAILURE_EJECTION_PERCENT;
    tally->jobs = FAILURE_JOBS - 1;
    if (scheduler_leads(scheduler))
        recorder_write(scheduler->recorder, RECORDER_ALERT, now_ms, "worker %s %s: given nothing for %" PRId64 " ms",
                       worker, how, score->ejection_ms);
}

/* Records one attempt's end in the tally. weight: of this attempt in the rate, in percent. */
static void tally_record(Scheduler *scheduler, const char *worker, WorkerScore *score, Tally *tally, const Job *job,
                         bool bad, uint64_t weight, const char *how)
{
    tally->rate_percent = tally_rate(scheduler, score, tally);
    tally->rated_ms = loop_now_ms(scheduler->loop);
    tally->rate_percent = (tally->rate_percent * (100 - weight) + (bad ? 100 : 0) * weight) / 100;
    if (!bad) {
        tally->jobs = 0;
        if (score->failed.rate_percent < FAILURE_WEIGHT_PERCENT && score->slow.rate_percent < FAILURE_WEIGHT_PERCENT)
            score->ejection_ms = 0; /* the worker does well again: its next ejection is short */
    } else if (job != NULL && job->number != tally->last_job) {
        tally->jobs++;
        tally->last_job = job->number;
    }
    eject_if_bad(scheduler, worker, score, tally, how);
}

/* Run time of a task's first attempt, by log time; -1: not comparable. */
static int64_t first_run_ms(const JobTask *task)
{
    return task->phase == TASK_DONE && task->attempt == 1 && task->started_ms != 0 ? task->changed_ms - task->started_ms
                                                                                   : -1;
}

static int duration_order(const void *a, const void *b)
{
    const int64_t one = *(const int64_t *)a, other = *(const int64_t *)b;
    return one < other ? -1 : one > other;
}

/* Compares the task's run time with the median of the other tasks of its own step, never with an absolute time, since
 * tasks of a step do similar work. slow (out): it took much longer. False: there are too few other tasks. */
static bool compare_with_step(const Job *job, size_t at, bool *slow)
{
    const JobTask *own = &job->tasks[at];
    const int64_t own_ms = first_run_ms(own);
    int64_t *durations = talloc_array(NULL, int64_t, (unsigned)job->tasks_count);
    size_t count = 0;
    for (size_t t = 0; t < job->tasks_count && own_ms >= 0 && count < SLOW_MEDIAN_MAX; t++)
        if (t != at && job->tasks[t].step == own->step && first_run_ms(&job->tasks[t]) >= 0)
            durations[count++] = first_run_ms(&job->tasks[t]);
    bool enough = count >= SLOW_MEDIAN_MIN;
    if (enough) {
        qsort(durations, count, sizeof(*durations), duration_order);
        const int64_t median_ms = durations[count / 2];
        enough = median_ms >= SLOW_MEDIAN_MIN_MS;
        *slow = own_ms >= median_ms * SLOW_TIMES;
    }
    talloc_free(durations);
    return enough;
}

uint64_t score_far_percent(const Scheduler *scheduler, const Worker *worker, const StepSpec *step)
{
    const bool far = step->near[0] != '\0' && strcmp(step->near, worker->rack) != 0;
    return far ? (uint64_t)scheduler->cluster_settings->far_percent : 100;
}

/* Records the attempt's run time in the estimates, if all of that time was spent on the task's work. */
static void estimate_record(Scheduler *scheduler, const AttemptUpdate *update, const Job *job, const JobTask *task)
{
    const Worker *worker = table_worker(scheduler->table, update->worker);
    const StepSpec *step = &job->spec.steps[task->step];
    const bool whole = task->attempt == 1 || !step->saves;
    const int64_t ran_ms = update->ran_ms > 0 && whole ? update->ran_ms : first_run_ms(task);
    /* members of a gang, and tasks of a step that is slower across racks, also wait for other tasks */
    if (feature_enabled(scheduler->cluster_settings, FEATURE_ESTIMATES) && worker != NULL && ran_ms > 0 &&
        !step->gang && !step->same_rack && !job->spec.lasting)
        estimates_record_run(scheduler->estimates, job, task->step, update->worker, ran_ms,
                             score_far_percent(scheduler, worker, step), loop_now_ms(scheduler->loop));
}

void score_record_stall(Scheduler *scheduler, const char *worker, const Job *job)
{
    if (!feature_enabled(scheduler->cluster_settings, FEATURE_EJECT_FAILING))
        return;
    WorkerScore *score = map_get(scheduler->scores, worker);
    if (score == NULL) {
        score = talloc_zero(scheduler->scores, WorkerScore);
        map_set(scheduler->scores, worker, score);
    }
    tally_record(scheduler, worker, score, &score->failed, job, true, FAILURE_WEIGHT_PERCENT,
                 "makes no progress on its work");
}

void score_record_ends(Scheduler *scheduler, const AttemptList *list)
{
    for (size_t i = 0; i < list->updates_count; i++) {
        const AttemptUpdate *update = &list->updates[i];
        if (update->word != ATTEMPT_FAILED && update->word != ATTEMPT_DONE)
            continue;
        WorkerScore *score = map_get(scheduler->scores, update->worker);
        const Job *job = table_job(scheduler->table, update->job);
        bool slow = false;
        const size_t at = job != NULL ? task_index(job, update->task) : 0;
        const bool ended = update->word == ATTEMPT_DONE && job != NULL && at < job->tasks_count &&
                           job->tasks[at].attempt == update->attempt;
        const bool comparable = ended && compare_with_step(job, at, &slow);
        if (ended)
            estimate_record(scheduler, update, job, &job->tasks[at]);
        if (score == NULL &&
            ((update->word == ATTEMPT_DONE && !slow) || table_worker(scheduler->table, update->worker) == NULL))
            continue;
        if (score == NULL) {
            score = talloc_zero(scheduler->scores, WorkerScore);
            map_set(scheduler->scores, update->worker, score);
        }
        if (feature_enabled(scheduler->cluster_settings, FEATURE_EJECT_FAILING))
            tally_record(scheduler, update->worker, score, &score->failed, job, update->word == ATTEMPT_FAILED,
                         FAILURE_WEIGHT_PERCENT, "fails its work");
        /* attempts that ran at the same time as one already counted may have met the same pause, which counts once */
        const bool concurrent = slow && job->tasks[at].started_ms < score->slow_end_ms;
        if (comparable && !concurrent && feature_enabled(scheduler->cluster_settings, FEATURE_EJECT_SLOW))
            tally_record(scheduler, update->worker, score, &score->slow, job, slow, SLOW_WEIGHT_PERCENT, "is slow");
        if (comparable && slow && !concurrent)
            score->slow_end_ms = job->tasks[at].changed_ms;
    }
}
