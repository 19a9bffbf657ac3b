/* The progress of running attempts, as their agents report it. */
#include "scheduler/attempt_progress.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "scheduler/worker_score.h"
#include "state.h"

#define PROGRESS_KEY (ID_MAX + 24) /* bytes; a name and a number */
#define PROGRESS_LEAST 256         /* count; fewer are not worth looking through */
#define PERCENT_LEAST 0.5          /* percent; whole percents are reported, so that none may mean half a one */

struct ProgressTable {
    Map *attempts;                /* by task to AttemptProgress */
    size_t swept;                 /* how many were left when they were last looked through */
    uint64_t reports_of_progress; /* reports with a higher percent than the one before */
};

ProgressTable *progress_table_new(void *mem)
{
    ProgressTable *progress_table = talloc_zero(mem, ProgressTable);
    progress_table->attempts = map_new(progress_table);
    return progress_table;
}

void progress_table_reset(ProgressTable *progress_table)
{
    talloc_free(progress_table->attempts);
    progress_table->attempts = map_new(progress_table);
    progress_table->swept = 0;
}

bool progress_credible(const ProgressTable *progress_table)
{
    return progress_table->reports_of_progress >= PACE_CREDIT;
}

static const char *progress_key(char key[PROGRESS_KEY], const char *job, uint64_t task)
{
    snprintf(key, PROGRESS_KEY, "%" PRIu64 " %s", task, job);
    return key;
}

const AttemptProgress *progress_find(const ProgressTable *progress_table, const char *job, uint64_t task,
                                     uint64_t attempt)
{
    char key[PROGRESS_KEY];
    const AttemptProgress *progress = map_get(progress_table->attempts, progress_key(key, job, task));
    return progress != NULL && progress->attempt == attempt ? progress : NULL;
}

/* Entries of tasks that no longer run are dropped whenever the map has doubled since the last time. */
static void progress_sweep(const Scheduler *scheduler, ProgressTable *progress_table)
{
    if (map_count(progress_table->attempts) < PROGRESS_LEAST ||
        map_count(progress_table->attempts) < 2 * progress_table->swept)
        return;
    void *mem = talloc_new(progress_table);
    const char **keys;
    const size_t count = map_keys(progress_table->attempts, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        AttemptProgress *progress = map_get(progress_table->attempts, keys[i]);
        const Job *job = table_job(scheduler->table, progress->job);
        const size_t at = job != NULL ? task_index(job, progress->task) : 0;
        if (job != NULL && at < job->tasks_count && task_on_worker(job->tasks[at].phase) &&
            job->tasks[at].attempt == progress->attempt)
            continue;
        map_drop(progress_table->attempts, keys[i]);
        talloc_free(progress);
    }
    progress_table->swept = map_count(progress_table->attempts);
    talloc_free(mem);
}

/* Takes the progress (percent) between two reports, span_ms apart, as a sample of the worker's slowdown. */
static void worker_slowdown_take(Scheduler *scheduler, const char *worker, const AttemptSaved *report, double percent,
                                 int64_t span_ms)
{
    const Job *job = table_job(scheduler->table, report->job);
    const size_t at = job != NULL ? task_index(job, report->task) : 0;
    const Worker *its = table_worker(scheduler->table, worker);
    if (job == NULL || at >= job->tasks_count || its == NULL || job->spec.lasting)
        return;
    const StepSpec *step = &job->spec.steps[job->tasks[at].step];
    const int64_t estimate = estimate_ms(scheduler->estimates, job, job->tasks[at].step);
    if (estimate <= 0 || step->gang || step->same_rack || span_ms < STILL_LEAST_MS / 2)
        return;
    const double due = (double)span_ms * 10000.0 / ((double)estimate * (double)score_far_percent(scheduler, its, step));
    if (due >= 4) /* less is lost in the rounding to whole percents */
        estimates_slowdown_take(scheduler->estimates, worker,
                                (uint64_t)(due * 1000 / (percent > PERCENT_LEAST ? percent : PERCENT_LEAST)),
                                loop_now_ms(scheduler->loop));
}

void progress_take(Scheduler *scheduler, const char *worker, const AttemptSaved *report)
{
    ProgressTable *progress_table = scheduler->progress_table;
    char key[PROGRESS_KEY];
    if (report->percent_ms <= 0)
        return;
    AttemptProgress *progress = map_get(progress_table->attempts, progress_key(key, report->job, report->task));
    if (progress != NULL && (progress->attempt > report->attempt ||
                             (progress->attempt == report->attempt && progress->ran_ms >= report->percent_ms)))
        return;
    if (progress == NULL) {
        progress_sweep(scheduler, progress_table);
        progress = talloc_zero(progress_table->attempts, AttemptProgress);
        progress->job = talloc_strdup(progress, report->job);
        progress->task = report->task;
        map_set(progress_table->attempts, key, progress);
    }
    const bool goes_on = progress->attempt == report->attempt;
    const uint64_t before = goes_on ? progress->percent : 0;
    const int64_t span_ms = report->percent_ms - (goes_on ? progress->ran_ms : 0);
    const double more = report->percent > before ? (double)(report->percent - before) : 0;
    progress->attempt = report->attempt;
    progress_table->reports_of_progress += more > 0;
    /* an attempt that goes on from a checkpoint begins with its percent */
    if (goes_on && progress_credible(progress_table))
        worker_slowdown_take(scheduler, worker, report, more, span_ms);
    progress->per_ms = goes_on && span_ms > 0 ? more / (double)span_ms : 0;
    /* the first report to this leader does not say since when the percent is unchanged, unless it is 0 */
    if (!goes_on || more > 0)
        progress->unchanged_ms = goes_on || report->percent > 0 ? report->percent_ms : 0;
    progress->percent = report->percent;
    progress->ran_ms = report->percent_ms;
    progress->reported_ms = loop_now_ms(scheduler->loop);
}
