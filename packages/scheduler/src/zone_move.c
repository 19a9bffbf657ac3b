/* Empties a zone that is drained with moves: stops one task at a time, where another worker has capacity for it now and
 * the plan would hold with the task there. The task starts again only after its stop is confirmed. Gangs, and tasks
 * that no other worker can run, stay until they end. */
#include "zone_move.h"

#include <string.h>
#include <talloc.h>

#include "assurance.h"

/* Whether any zone is drained with moves. */
static bool any_zone_moves(const Pass *pass)
{
    const char **zones;
    const size_t count = table_drained_zones(pass->scheduler->table, pass->mem, &zones);
    for (size_t i = 0; i < count; i++)
        if (table_zone_is_moving(pass->scheduler->table, zones[i]))
            return true;
    return false;
}

/* Whether the r-loss plan would hold with the task on the worker with that index. */
static bool plan_survives_move(Pass *pass, const Job *job, const JobTask *task, const PlanNeed *need, int at)
{
    if (job->spec.protection != PROTECTION_PROTECTED || !pass->plan_required)
        return true;
    PlanWorker *to = &pass->input.workers[at];
    const Resources before = to->free;
    to->free = resources_subtract(to->free, job->spec.steps[task->step].resources);
    pass_assured_task_add(pass, &job->spec, need, (size_t)at);
    const bool survives = pass_survives_losses(pass);
    pass->input.task_count--;
    to->free = before;
    return survives;
}

/* Finds an attempt on the worker that may be moved now; false: there is none. */
static bool movable_attempt_find(Pass *pass, const char *worker, AttemptId *attempt)
{
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, worker, &on);
    for (size_t t = 0; t < count; t++) {
        const Job *job = on[t].job;
        const JobTask *task = &job->tasks[on[t].task];
        if (task->phase != TASK_RUNNING || job->spec.steps[task->step].gang || job->ending != JOB_ACTIVE)
            continue;
        const PlanNeed need = pass_need(job, task->step);
        const int at = plan_choose(pass->input.workers, pass->input.worker_count, &need, NULL);
        if (at < 0 || !plan_survives_move(pass, job, task, &need, at))
            continue;
        *attempt = (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(task), task->attempt};
        return true;
    }
    return false;
}

/* Whether an attempt on the worker is being stopped. */
static bool any_stopping(const Pass *pass, const char *worker)
{
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, worker, &on);
    for (size_t t = 0; t < count; t++)
        if (on[t].job->tasks[on[t].task].phase == TASK_STOPPING)
            return true;
    return false;
}

bool move_one_task(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    AttemptId attempt;
    bool found = false;
    if (!any_zone_moves(pass))
        return false;
    for (size_t i = 0; i < pass->input.worker_count; i++)
        if (table_zone_is_moving(scheduler->table, pass->input.workers[i].zone) &&
            any_stopping(pass, pass->input.workers[i].name))
            return false; /* the previous move is not finished yet */
    for (size_t i = 0; i < pass->input.worker_count && !found; i++)
        found = table_zone_is_moving(scheduler->table, pass->input.workers[i].zone) &&
                movable_attempt_find(pass, pass->input.workers[i].name, &attempt);
    if (!found)
        return false;
    const StopList list = {&attempt, 1, "moved off a drained zone"};
    ChangeResult result;
    if (scheduler_submit(scheduler, pass->mem, CHANGE_STOP, &StopList_shape, &list, &result) == STATUS_OK)
        scheduler->counts.moved += result.number;
    return true;
}
