#include <string.h>
#include <talloc.h>

#include "pass.h"

/* Running unassured work that a plan can now include. */
void assure_more(Pass *pass)
{
    Controller *controller = pass->controller;
    StopList list = {0};
    Job *const *jobs;
    const size_t count = table_active(controller->table, &jobs);
    for (size_t j = 0; j < count && pass->checks < pass->checks_max; j++) {
        const Job *job = jobs[j];
        if (job->spec.protection != PROTECTION_PROTECTED)
            continue;
        for (size_t t = 0; t < job->tasks_count && pass->checks < pass->checks_max; t++) {
            const JobTask *task = &job->tasks[t];
            const size_t at = task_on_worker(task->phase) ? pass_place(pass, task->worker) : SIZE_MAX;
            if (task->assured || at == SIZE_MAX || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
                continue;
            const PlanNeed need = pass_need(job, task->step);
            pass_count(pass, &job->spec, &need, at);
            if (!pass_holds(pass)) {
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
        controller_submit(controller, pass->mem, CHANGE_ASSURE, &StopList_shape, &list, &result, NULL);
}
