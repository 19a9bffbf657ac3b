/* Workers that drain and have reported how long they stay. An attempt that can't end there by then is stopped in
 * time to go on elsewhere: one that checkpoints, as soon as another worker has capacity, or else at its last moment
 * to save; one that does not, only when it is sure not to end in time. */
#include "leaving_worker.h"

#include <string.h>
#include <talloc.h>

#include "capacity_forecast.h"
#include "stop_list.h"
#include "worker_choice.h"
#include "settings/features.h"

/* stays_ms: for how long the worker stays; elsewhere: another worker has capacity for the task. */
static bool must_go(const Pass *pass, const TaskOn *on, size_t worker, int64_t until_leave_ms, bool elsewhere)
{
    const Job *job = on->job;
    const JobTask *task = &job->tasks[on->task];
    const bool saves = job->spec.steps[task->step].saves;
    if (task->phase == TASK_PLACED) /* not begun: no work is lost */
        return pass->clock.log_ms - task->changed_ms > LEAVE_START_MS;
    if (task->phase != TASK_RUNNING || job->ending != JOB_ACTIVE)
        return false;
    if (job->spec.lasting)
        return elsewhere || until_leave_ms < LEAVE_LAST_MS;
    const int64_t left_ms = forecast_left_ms(pass, job, task, worker);
    if (left_ms < until_leave_ms - LEAVE_LAST_MS / 2)
        return false;
    if (saves)
        return elsewhere || until_leave_ms < LEAVE_LAST_MS;
    /* estimates are inexact: an attempt that might just end is left to try */
    return elsewhere && left_ms * 2 / 3 > until_leave_ms;
}

void leaving_find(Pass *pass, StopList *list)
{
    if (!feature_on(pass->scheduler->bounds, FEATURE_LEAVE_EARLY))
        return;
    const int64_t now_ms = loop_now_ms(pass->scheduler->loop);
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const LiveRow *row = liveset_find(pass->scheduler->liveset, pass->input.workers[i].name);
        if (row == NULL || !row->leaving || row->leave_until_ms == 0)
            continue;
        const TaskOn *on;
        const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[i].name, &on);
        for (size_t t = 0; t < count; t++) {
            const int at = choose_elsewhere(pass, on[t].job, on[t].task, i);
            if (must_go(pass, &on[t], i, row->leave_until_ms - now_ms, at >= 0) &&
                !stop_add(pass, list, on[t].job, on[t].task, at, LEAVE_STOPS_MOST))
                return;
        }
    }
}
