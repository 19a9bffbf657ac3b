/* Attempts that are stopped so that they begin anew elsewhere: looked for now and then,
 * committed together, a few at a time. */
#include <talloc.h>

#include "pass.h"

bool stop_add(Pass *pass, StopList *list, const Job *job, size_t task, int at, size_t most)
{
    if (list->attempts_count >= most)
        return false;
    if (at >= 0) {
        PlanWorker *to = &pass->input.workers[at];
        to->free = room_less(to->free, job->spec.steps[job->tasks[task].step].room);
    }
    if (list->attempts == NULL)
        list->attempts =
            talloc_array(pass->mem, AttemptId, STOPS_MOST > LEAVE_STOPS_MOST ? STOPS_MOST : LEAVE_STOPS_MOST);
    list->attempts[list->attempts_count++] =
        (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(&job->tasks[task]), job->tasks[task].attempt};
    return true;
}

bool stop_look(Pass *pass)
{
    Controller *controller = pass->controller;
    const int64_t now_ms = loop_now_ms(controller->loop);
    if (now_ms < controller->stop_look_ms)
        return false;
    controller->stop_look_ms = now_ms + STOP_LOOK_MS;
    StopList list = {.why = "goes on better elsewhere"};
    leave_find(pass, &list);
    slow_find(pass, &list);
    if (list.attempts_count == 0)
        return false;
    ChangeResult result;
    if (controller_submit(controller, pass->mem, CHANGE_STOP, &StopList_shape, &list, &result, NULL) == STATUS_OK) {
        controller->counts.slowed += result.number;
        recorder_write(controller->recorder, RECORDER_NOTE, now_ms, "%zu rounds are begun anew elsewhere",
                       list.attempts_count);
    }
    return true;
}
