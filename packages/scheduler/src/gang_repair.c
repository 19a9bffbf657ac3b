/* Repairs gangs of which only some members run. Members are placed, ended and stopped together, so this has one cause
 * only: the disks lost a placement, agents have reported their attempts again, and the agent of at least one member is
 * lost. The running members are stopped, and the entire gang is placed again. */
#include "gang_repair.h"

#include <talloc.h>

#include "settings/features.h"

/* Whether the task runs while another member of its gang waits. */
static bool in_incomplete_gang(const TaskOnWorker *on)
{
    const Job *job = on->job;
    const JobTask *task = &job->tasks[on->task];
    const StepSpec *step = &job->spec.steps[task->step];
    if (!step->gang || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
        return false;
    const size_t first = task_first_of_step(job, task);
    for (size_t i = first; i < first + step->count; i++)
        if (job->tasks[i].phase == TASK_WAITING)
            return true;
    return false;
}

void gangs_repair(Scheduler *scheduler, void *mem)
{
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    if (now_ms < scheduler->gangs_repair_ms || !feature_enabled(scheduler->cluster_settings, FEATURE_GANG_REPAIR))
        return;
    scheduler->gangs_repair_ms = now_ms + GANG_REPAIR_INTERVAL_MS;
    StopList list = {.why = "its gang is not whole"};
    const char *worker;
    for (size_t i = 0; (worker = table_busy_worker(scheduler->table, i)) != NULL; i++) {
        const TaskOnWorker *on;
        const size_t count = table_tasks_on(scheduler->table, worker, &on);
        for (size_t t = 0; t < count; t++) {
            if (!in_incomplete_gang(&on[t]))
                continue;
            const JobTask *task = &on[t].job->tasks[on[t].task];
            list.attempts = talloc_realloc(mem, list.attempts, AttemptId, (unsigned)(list.attempts_count + 1));
            list.attempts[list.attempts_count++] =
                (AttemptId){talloc_strdup(mem, on[t].job->spec.id), task_number(task), task->attempt};
        }
    }
    ChangeResult result;
    if (list.attempts_count > 0)
        scheduler_submit(scheduler, mem, CHANGE_STOP, &StopList_shape, &list, &result);
}
