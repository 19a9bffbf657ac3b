/* Jobs come, are cancelled, end and are forgotten. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

void deliver_job_add(Table *table, const Record *change, const JobAdd *add, ChangeResult *result)
{
    const Job *known = table_job(table, add->spec.id);
    if (known != NULL) {
        result->status = shape_equal(&JobSpec_shape, &known->spec, &add->spec) ? STATUS_OK : STATUS_OTHER_BODY;
        result->number = known->number;
        return;
    }
    Job *job = job_new(table->mem, &add->spec, &add->terms);
    job->number = table->last_number + 1;
    job->accepted_ms = change->at_ms;
    for (size_t i = 0; i < job->tasks_count; i++)
        job->tasks[i].changed_ms = change->at_ms;
    job_enter(table, job);
    result->number = job->number;
    orphans_take(table, job, change->at_ms);
    job_settle(table, job, change->at_ms);
}

void deliver_job_cancel(Table *table, const Record *change, const JobCancel *cancel, ChangeResult *result)
{
    Job *job = map_get(table->by_id, cancel->id);
    if (job == NULL) {
        result->status = STATUS_UNKNOWN_JOB;
        return;
    }
    result->number = job->number;
    if (job->phase != JOB_ACTIVE) {
        result->status = job->phase == JOB_CANCELLED ? STATUS_OK : STATUS_ALREADY_ENDED;
        return;
    }
    if (job->ending == JOB_ACTIVE)
        job->ending = JOB_CANCELLED;
    job_stop_tasks(table, job, change->at_ms);
    job_settle(table, job, change->at_ms);
}

/* A job once shown as ended stays so, though the disks forgot how it came to. */
void deliver_job_end(Table *table, const Record *change, const JobEnd *end, ChangeResult *result)
{
    Job *job = map_get(table->by_id, end->id);
    if (job == NULL || job->phase != JOB_ACTIVE || end->phase == JOB_ACTIVE || end->phase >= JOB_PHASE_COUNT)
        return;
    result->number = job->number;
    if (end->phase == JOB_DONE) {
        for (size_t i = 0; i < job->tasks_count; i++)
            if (!task_ended(job->tasks[i].phase))
                task_turn(table, job, &job->tasks[i], TASK_DONE, "", change->at_ms, false);
    } else {
        job->ending = end->phase;
        job_stop_tasks(table, job, change->at_ms);
    }
    job_settle(table, job, change->at_ms);
}

void deliver_forget(Table *table, const Record *change, const Forget *forget, ChangeResult *result)
{
    (void)change;
    JobList *ended = &table->ended, *order = &table->order;
    size_t gone = 0;
    while (gone < ended->count && ended->jobs[gone]->ended_ms < forget->before_ms)
        ended->jobs[gone++]->number = 0; /* no job's number: marks it for the walk below */
    if (gone > 0) {
        size_t kept = 0;
        for (size_t i = 0; i < order->count; i++)
            if (order->jobs[i]->number != 0)
                order->jobs[kept++] = order->jobs[i];
        order->count = kept;
        for (size_t i = 0; i < gone; i++) {
            map_drop(table->by_id, ended->jobs[i]->spec.id);
            talloc_free(ended->jobs[i]);
        }
        memmove(ended->jobs, ended->jobs + gone, (ended->count - gone) * sizeof(*ended->jobs));
        ended->count -= gone;
    }
    result->number = gone;
    orphans_forget(table, forget->before_ms);
}
