/* The r-loss plan: collects the tasks that it must include, checks whether it holds, and marks running tasks that it
 * can include by now. */
#include "assurance.h"

#include <string.h>
#include <talloc.h>

#include "preemptible_capacity.h"

void pass_assured_task_add(Pass *pass, const JobSpec *spec, const PlanNeed *need, size_t worker)
{
    PlanInput *input = &pass->input;
    if (input->task_count == pass->task_capacity) {
        pass->task_capacity = pass->task_capacity ? pass->task_capacity * 2 : 64;
        input->tasks = talloc_realloc(pass->mem, input->tasks, PlanTask, (unsigned)pass->task_capacity);
    }
    input->tasks[input->task_count++] = (PlanTask){*need, worker, preemptible_cell(pass, spec)};
}

bool pass_survives_losses(Pass *pass)
{
    pass->checks++;
    pass->scheduler->counts.plan_checks++;
    const bool survives = plan_always_possible(&pass->input, NULL);
    if (!survives)
        pass->scheduler->counts.plan_refusals++;
    return survives;
}

void pass_assured_tasks_add(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    preemptible_add(pass);
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const TaskOnWorker *tasks_on;
        const size_t count = table_tasks_on(scheduler->table, pass->input.workers[i].name, &tasks_on);
        for (size_t t = 0; t < count; t++) {
            const Job *job = tasks_on[t].job;
            const JobTask *task = &job->tasks[tasks_on[t].task];
            /* where the configuration names no loss, the check covers all protected tasks and is only shown */
            const bool counts = pass->plan_required ? task->assured : job->spec.protection == PROTECTION_PROTECTED;
            if (!counts || task->phase == TASK_STOPPING)
                continue;
            const PlanNeed need = pass_need(job, task->step);
            pass_assured_task_add(pass, &job->spec, &need, i);
        }
    }
}

PlanInput planner_input(Scheduler *scheduler, void *mem)
{
    Pass *pass = pass_new(scheduler, mem);
    pass_assured_tasks_add(pass);
    return pass->input;
}

void assure_running_tasks(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    StopList list = {0};
    Job *const *jobs;
    const size_t count = table_active_jobs(scheduler->table, &jobs);
    for (size_t j = 0; j < count && pass->checks < pass->checks_max; j++) {
        const Job *job = jobs[j];
        if (job->spec.protection != PROTECTION_PROTECTED)
            continue;
        for (size_t t = 0; t < job->tasks_count && pass->checks < pass->checks_max; t++) {
            const JobTask *task = &job->tasks[t];
            const size_t worker = task_on_worker(task->phase) ? pass_worker_index(pass, task->worker) : SIZE_MAX;
            if (task->assured || worker == SIZE_MAX || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
                continue;
            const PlanNeed need = pass_need(job, task->step);
            pass_assured_task_add(pass, &job->spec, &need, worker);
            if (!pass_survives_losses(pass)) {
                pass->input.task_count--;
                continue;
            }
            list.attempts = talloc_realloc(pass->mem, list.attempts, AttemptId, (unsigned)(list.attempts_count + 1));
            list.attempts[list.attempts_count++] =
                (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(task), task->attempt};
        }
    }
    list.why = "";
    ChangeResult result;
    if (list.attempts_count > 0)
        scheduler_submit(scheduler, pass->mem, CHANGE_ASSURE, &StopList_shape, &list, &result);
}
