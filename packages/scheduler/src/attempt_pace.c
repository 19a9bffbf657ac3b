/* The pace of running attempts, from the progress that their agents report. */
#include "scheduler/attempt_pace.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "scheduler/worker_score.h"
#include "state.h"

#define PACE_KEY (ID_MAX + 24) /* bytes; a name and a number */
#define PACES_LEAST 256        /* count; fewer are not worth looking through */
#define PERCENT_LEAST 0.5      /* percent; reported are whole percents, so no progress may be half a one */

struct Paces {
    Map *attempts;  /* by task to Pace */
    size_t kept;    /* of them when they were last looked through */
    uint64_t moves; /* reports of progress */
};

Paces *paces_new(void *mem)
{
    Paces *paces = talloc_zero(mem, Paces);
    paces->attempts = map_new(paces);
    return paces;
}

void paces_reset(Paces *paces)
{
    talloc_free(paces->attempts);
    paces->attempts = map_new(paces);
    paces->kept = 0;
}

bool paces_credible(const Paces *paces)
{
    return paces->moves >= PACE_CREDIT;
}

static const char *pace_key(char key[PACE_KEY], const char *job, uint64_t task)
{
    snprintf(key, PACE_KEY, "%" PRIu64 " %s", task, job);
    return key;
}

const Pace *pace_find(const Paces *paces, const char *job, uint64_t task, uint64_t attempt)
{
    char key[PACE_KEY];
    const Pace *pace = map_get(paces->attempts, pace_key(key, job, task));
    return pace != NULL && pace->attempt == attempt ? pace : NULL;
}

/* Entries of tasks that no longer run are dropped whenever the map has doubled since the last time. */
static void paces_sweep(const Scheduler *scheduler, Paces *paces)
{
    if (map_count(paces->attempts) < PACES_LEAST || map_count(paces->attempts) < 2 * paces->kept)
        return;
    void *mem = talloc_new(paces);
    const char **keys;
    const size_t count = map_keys(paces->attempts, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        Pace *pace = map_get(paces->attempts, keys[i]);
        const Job *job = table_job(scheduler->table, pace->job);
        const size_t at = job != NULL ? task_index(job, pace->task) : 0;
        if (job != NULL && at < job->tasks_count && task_on_worker(job->tasks[at].phase) &&
            job->tasks[at].attempt == pace->attempt)
            continue;
        map_drop(paces->attempts, keys[i]);
        talloc_free(pace);
    }
    paces->kept = map_count(paces->attempts);
    talloc_free(mem);
}

/* What the progress between two reports says of the worker's speed. */
static void worker_take(Scheduler *scheduler, const char *worker, const AttemptSaved *reported, double percent,
                        int64_t span_ms)
{
    const Job *job = table_job(scheduler->table, reported->job);
    const size_t at = job != NULL ? task_index(job, reported->task) : 0;
    const Worker *its = table_worker(scheduler->table, worker);
    if (job == NULL || at >= job->tasks_count || its == NULL || job->spec.lasting)
        return;
    const StepSpec *step = &job->spec.steps[job->tasks[at].step];
    const int64_t estimate = estimate_ms(scheduler->estimates, job, job->tasks[at].step);
    if (estimate <= 0 || step->gang || step->same_rack || span_ms < STILL_LEAST_MS / 2)
        return;
    const double due = (double)span_ms * 10000.0 / ((double)estimate * (double)score_far_percent(scheduler, its, step));
    if (due >= 4) /* less is lost in the rounding to whole percents */
        estimates_pace(scheduler->estimates, worker,
                       (uint64_t)(due * 1000 / (percent > PERCENT_LEAST ? percent : PERCENT_LEAST)),
                       loop_now_ms(scheduler->loop));
}

void pace_take(Scheduler *scheduler, const char *worker, const AttemptSaved *reported)
{
    Paces *paces = scheduler->paces;
    char key[PACE_KEY];
    if (reported->percent_ms <= 0)
        return;
    Pace *pace = map_get(paces->attempts, pace_key(key, reported->job, reported->task));
    if (pace != NULL && (pace->attempt > reported->attempt ||
                         (pace->attempt == reported->attempt && pace->ran_ms >= reported->percent_ms)))
        return;
    if (pace == NULL) {
        paces_sweep(scheduler, paces);
        pace = talloc_zero(paces->attempts, Pace);
        pace->job = talloc_strdup(pace, reported->job);
        pace->task = reported->task;
        map_set(paces->attempts, key, pace);
    }
    const bool goes_on = pace->attempt == reported->attempt;
    const uint64_t before = goes_on ? pace->percent : 0;
    const int64_t span_ms = reported->percent_ms - (goes_on ? pace->ran_ms : 0);
    const double more = reported->percent > before ? (double)(reported->percent - before) : 0;
    pace->attempt = reported->attempt;
    paces->moves += more > 0;
    /* an attempt that goes on from a checkpoint begins with its percent */
    if (goes_on && paces_credible(paces))
        worker_take(scheduler, worker, reported, more, span_ms);
    pace->per_ms = goes_on && span_ms > 0 ? more / (double)span_ms : 0;
    /* the first report that this leader hears does not say when progress was last made, unless none has been */
    if (!goes_on || more > 0)
        pace->still_ms = goes_on || reported->percent > 0 ? reported->percent_ms : 0;
    pace->percent = reported->percent;
    pace->ran_ms = reported->percent_ms;
    pace->told_ms = loop_now_ms(scheduler->loop);
}
