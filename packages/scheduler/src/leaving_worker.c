/* Workers that drain and have reported how long they stay. An attempt that can't end on its worker by then is stopped
 * in time to resume elsewhere. An attempt that makes checkpoints is stopped as soon as another worker has capacity, or
 * else at the last moment that leaves time to save; any other attempt only when it certainly can't end in time. */
#include "leaving_worker.h"

#include <string.h>
#include <talloc.h>

#include "capacity_forecast.h"
#include "stop_list.h"
#include "worker_choice.h"
#include "settings/features.h"

/* Whether the attempt should be stopped now. until_leave_ms: how long the worker stays; elsewhere: another worker has
 * capacity for the task. */
static bool should_stop(const Pass *pass, const TaskOnWorker *on, size_t worker, int64_t until_leave_ms, bool elsewhere)
{
    const Job *job = on->job;
    const JobTask *task = &job->tasks[on->task];
    const bool makes_checkpoints = job->spec.steps[task->step].saves;
    if (task->phase == TASK_PLACED) /* not started yet: no work is lost */
        return pass->clock.log_ms - task->changed_ms > LEAVE_START_TIMEOUT_MS;
    if (task->phase != TASK_RUNNING || job->ending != JOB_ACTIVE)
        return false;
    if (job->spec.lasting)
        return elsewhere || until_leave_ms < LEAVE_STOP_MARGIN_MS;
    const int64_t left_ms = forecast_left_ms(pass, job, task, worker);
    if (left_ms < until_leave_ms - LEAVE_STOP_MARGIN_MS / 2)
        return false;
    if (makes_checkpoints)
        return elsewhere || until_leave_ms < LEAVE_STOP_MARGIN_MS;
    /* estimates are inexact: an attempt that may just end in time is left running */
    return elsewhere && left_ms * 2 / 3 > until_leave_ms;
}

void leaving_attempts_find(Pass *pass, StopList *list)
{
    if (!feature_enabled(pass->scheduler->cluster_settings, FEATURE_LEAVE_EARLY))
        return;
    const int64_t now_ms = loop_now_ms(pass->scheduler->loop);
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const LiveRow *row = liveset_find(pass->scheduler->liveset, pass->input.workers[i].name);
        if (row == NULL || !row->leaving || row->leave_until_ms == 0)
            continue;
        const TaskOnWorker *on;
        const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[i].name, &on);
        for (size_t t = 0; t < count; t++) {
            const int target = choose_other_worker(pass, on[t].job, on[t].task, i);
            if (should_stop(pass, &on[t], i, row->leave_until_ms - now_ms, target >= 0) &&
                !stop_list_add(pass, list, on[t].job, on[t].task, target, LEAVE_STOPS_MAX))
                return;
        }
    }
}
