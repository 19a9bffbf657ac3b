/* A list of attempts that are stopped by one change. */
#include "stop_list.h"

#include <talloc.h>

bool stop_list_add(Pass *pass, StopList *list, const Job *job, size_t task, int target, size_t limit)
{
    if (list->attempts_count >= limit)
        return false;
    if (target >= 0) {
        PlanWorker *to = &pass->input.workers[target];
        to->free = resources_subtract(to->free, job->spec.steps[job->tasks[task].step].resources);
    }
    if (list->attempts == NULL)
        list->attempts =
            talloc_array(pass->mem, AttemptId, SLOW_STOPS_MAX > LEAVE_STOPS_MAX ? SLOW_STOPS_MAX : LEAVE_STOPS_MAX);
    list->attempts[list->attempts_count++] =
        (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(&job->tasks[task]), job->tasks[task].attempt};
    return true;
}
