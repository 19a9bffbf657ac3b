/* Forecasts when a worker will have free capacity, from the tasks that run there and their expected run times. */
#include "capacity_forecast.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "scheduler/attempt_progress.h"
#include "scheduler/worker_score.h"
#include "settings/features.h"

int64_t forecast_left_ms(const Pass *pass, const Job *job, const JobTask *task, size_t worker)
{
    const Scheduler *scheduler = pass->scheduler;
    if (task->phase == TASK_STOPPING)
        return STOP_DURATION_MS;
    const int64_t estimate = estimate_ms(scheduler->estimates, job, task->step);
    if (estimate <= 0 || job->spec.lasting)
        return INT64_MAX;
    const AttemptProgress *progress =
        progress_find(scheduler->progress_table, job->spec.id, task_number(task), task->attempt);
    if (progress != NULL && progress->per_ms > 0) {
        const double left_ms = (100 - (double)progress->percent) / progress->per_ms -
                               (double)(loop_now_ms(scheduler->loop) - progress->reported_ms);
        return left_ms > REMAINING_TIME_MIN_MS ? (int64_t)left_ms : REMAINING_TIME_MIN_MS;
    }
    const Worker *worker_row = table_worker(scheduler->table, task->worker);
    const StepSpec *step = &job->spec.steps[task->step];
    const uint64_t far_percent = worker_row != NULL ? score_far_percent(scheduler, worker_row, step) : 100;
    const int64_t whole_ms = estimate * (int64_t)far_percent / 100 * (int64_t)pass->slowdowns[worker] / 1000;
    const int64_t ran_ms = pass->clock.log_ms - task->changed_ms;
    /* an attempt that has run for longer than expected may end at any time: assume at least an eighth of the run time,
     * which is a guess */
    return whole_ms - ran_ms > whole_ms / 8 ? whole_ms - ran_ms : whole_ms / 8 + REMAINING_TIME_MIN_MS;
}

/* The expected end of an attempt, and the capacity that it then frees. */
typedef struct ExpectedEnd {
    int64_t left_ms;
    Resources resources;
} ExpectedEnd;

static int expected_end_order(const void *a, const void *b)
{
    const ExpectedEnd *one = a, *other = b;
    return one->left_ms < other->left_ms ? -1 : one->left_ms > other->left_ms;
}

int64_t forecast_free_ms(const Pass *pass, size_t worker, Resources need)
{
    Resources free = pass->input.workers[worker].free;
    if (resources_fits(need, free))
        return 0;
    if (!feature_enabled(pass->scheduler->cluster_settings, FEATURE_FORECAST))
        return INT64_MAX;
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[worker].name, &on);
    ExpectedEnd *ends = talloc_array(pass->mem, ExpectedEnd, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        const JobTask *task = &on[i].job->tasks[on[i].task];
        ends[i] =
            (ExpectedEnd){forecast_left_ms(pass, on[i].job, task, worker), on[i].job->spec.steps[task->step].resources};
    }
    qsort(ends, count, sizeof(*ends), expected_end_order);
    int64_t left_ms = INT64_MAX;
    for (size_t i = 0; i < count && left_ms == INT64_MAX && ends[i].left_ms < INT64_MAX; i++) {
        free = resources_add(free, ends[i].resources);
        if (resources_fits(need, free))
            left_ms = ends[i].left_ms;
    }
    talloc_free(ends);
    return left_ms;
}

/* Whether the task stays on the worker for longer than within_ms. */
static bool task_stays(const Pass *pass, size_t worker, const TaskOnWorker *on, int64_t within_ms)
{
    if (on->job->spec.lasting)
        return true;
    if (within_ms == INT64_MAX)
        return false;
    const int64_t left_ms = forecast_left_ms(pass, on->job, &on->job->tasks[on->task], worker);
    return left_ms < INT64_MAX && left_ms > within_ms;
}

Resources forecast_capacity(const Pass *pass, size_t worker, int64_t within_ms)
{
    Resources resources = pass->input.workers[worker].resources;
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[worker].name, &on);
    for (size_t i = 0; i < count; i++)
        if (task_stays(pass, worker, &on[i], within_ms))
            resources =
                resources_subtract(resources, on[i].job->spec.steps[on[i].job->tasks[on[i].task].step].resources);
    return resources;
}

size_t forecast_staying_tasks(const Pass *pass, size_t worker, const Job *job, uint64_t step, uint64_t turn,
                              int64_t within_ms)
{
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[worker].name, &on);
    size_t staying = 0;
    for (size_t i = 0; i < count; i++) {
        const JobTask *task = &on[i].job->tasks[on[i].task];
        staying +=
            on[i].job == job && task->step == step && task->turn == turn && task_stays(pass, worker, &on[i], within_ms);
    }
    return staying;
}
