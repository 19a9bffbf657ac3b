/* The progress of running attempts, as their agents report it. */
#include "scheduler/attempt_progress.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "scheduler/worker_score.h"
#include "state.h"

#define PROGRESS_KEY_BYTES (ID_MAX + 24) /* buffer size in bytes for a task number and a job id */
#define PROGRESS_SWEEP_MIN 256           /* a table with fewer entries is not swept */
/* in percent: progress is reported in whole percents, so 0 may be up to half a percent */
#define PERCENT_ROUNDING 0.5

struct ProgressTable {
    Map *attempts;                /* task (progress_key) to AttemptProgress */
    size_t left_by_sweep;         /* number of entries left by the last sweep */
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
    progress_table->left_by_sweep = 0;
}

bool progress_credible(const ProgressTable *progress_table)
{
    return progress_table->reports_of_progress >= PROGRESS_REPORTS_MIN;
}

/* The key of a task in attempts, written to key. */
static const char *progress_key(char key[PROGRESS_KEY_BYTES], const char *job, uint64_t task)
{
    snprintf(key, PROGRESS_KEY_BYTES, "%" PRIu64 " %s", task, job);
    return key;
}

const AttemptProgress *progress_find(const ProgressTable *progress_table, const char *job, uint64_t task,
                                     uint64_t attempt)
{
    char key[PROGRESS_KEY_BYTES];
    const AttemptProgress *progress = map_get(progress_table->attempts, progress_key(key, job, task));
    return progress != NULL && progress->attempt == attempt ? progress : NULL;
}

/* Drops the entries of tasks that no longer run, whenever the map has doubled in size since the last sweep. */
static void progress_sweep(const Scheduler *scheduler, ProgressTable *progress_table)
{
    if (map_count(progress_table->attempts) < PROGRESS_SWEEP_MIN ||
        map_count(progress_table->attempts) < 2 * progress_table->left_by_sweep)
        return;
    void *mem = talloc_new(progress_table);
    const char **keys;
    const size_t count = map_keys(progress_table->attempts, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        AttemptProgress *progress = map_get(progress_table->attempts, keys[i]);
        const Job *job = table_job(scheduler->table, progress->job);
        const size_t index = job != NULL ? task_index(job, progress->task) : 0;
        if (job != NULL && index < job->tasks_count && task_on_worker(job->tasks[index].phase) &&
            job->tasks[index].attempt == progress->attempt)
            continue;
        map_remove(progress_table->attempts, keys[i]);
        talloc_free(progress);
    }
    progress_table->left_by_sweep = map_count(progress_table->attempts);
    talloc_free(mem);
}

/* Records a sample of the worker's slowdown: percent of progress within span_ms, between two reports. */
static void worker_slowdown_record(Scheduler *scheduler, const char *worker, const AttemptSaved *report, double percent,
                                   int64_t span_ms)
{
    const Job *job = table_job(scheduler->table, report->job);
    const size_t index = job != NULL ? task_index(job, report->task) : 0;
    const Worker *worker_row = table_worker(scheduler->table, worker);
    if (job == NULL || index >= job->tasks_count || worker_row == NULL || job->spec.lasting)
        return;
    const StepSpec *step = &job->spec.steps[job->tasks[index].step];
    const int64_t estimate = estimate_ms(scheduler->estimates, job, job->tasks[index].step);
    if (estimate <= 0 || step->gang || step->same_rack || span_ms < STALLED_MIN_MS / 2)
        return;
    const double expected_percent =
        (double)span_ms * 10000.0 / ((double)estimate * (double)score_far_percent(scheduler, worker_row, step));
    if (expected_percent >= 4) /* a smaller expected progress is lost in the rounding to whole percents */
        estimates_record_slowdown(
            scheduler->estimates, worker,
            (uint64_t)(expected_percent * 1000 / (percent > PERCENT_ROUNDING ? percent : PERCENT_ROUNDING)),
            loop_now_ms(scheduler->loop));
}

void progress_record(Scheduler *scheduler, const char *worker, const AttemptSaved *report)
{
    ProgressTable *progress_table = scheduler->progress_table;
    char key[PROGRESS_KEY_BYTES];
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
    const bool known_attempt = progress->attempt == report->attempt;
    const uint64_t previous_percent = known_attempt ? progress->percent : 0;
    const int64_t span_ms = report->percent_ms - (known_attempt ? progress->ran_ms : 0);
    const double gained_percent = report->percent > previous_percent ? (double)(report->percent - previous_percent) : 0;
    progress->attempt = report->attempt;
    progress_table->reports_of_progress += gained_percent > 0;
    /* an attempt that resumes from a checkpoint starts with its percent, so the first report is no sample */
    if (known_attempt && progress_credible(progress_table))
        worker_slowdown_record(scheduler, worker, report, gained_percent, span_ms);
    progress->per_ms = known_attempt && span_ms > 0 ? gained_percent / (double)span_ms : 0;
    /* the first report to this leader does not show how long the percent has been unchanged, unless it is 0 */
    if (!known_attempt || gained_percent > 0)
        progress->unchanged_ms = known_attempt || report->percent > 0 ? report->percent_ms : 0;
    progress->percent = report->percent;
    progress->ran_ms = report->percent_ms;
    progress->reported_ms = loop_now_ms(scheduler->loop);
}
