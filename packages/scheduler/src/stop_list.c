/* A list of attempts to be stopped by one change. */
#include "stop_list.h"

#include <talloc.h>

bool stop_add(Pass *pass, StopList *list, const Job *job, size_t task, int at, size_t most)
{
    if (list->attempts_count >= most)
        return false;
    if (at >= 0) {
        PlanWorker *to = &pass->input.workers[at];
        to->free = resources_less(to->free, job->spec.steps[job->tasks[task].step].resources);
    }
    if (list->attempts == NULL)
        list->attempts =
            talloc_array(pass->mem, AttemptId, STOPS_MOST > LEAVE_STOPS_MOST ? STOPS_MOST : LEAVE_STOPS_MOST);
    list->attempts[list->attempts_count++] =
        (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(&job->tasks[task]), job->tasks[task].attempt};
    return true;
}
