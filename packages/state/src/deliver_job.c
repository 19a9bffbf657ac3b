/* Delivery of JOB_ADD, JOB_CANCEL, JOB_END and FORGET. */
#include "deliver.h"

#include <string.h>
#include <talloc.h>

#include "early_cancel.h"
#include "orphan.h"
#include "phase.h"

/* Ends the job as cancelled, unless it is being ended already. */
static void job_cancel(Table *table, Job *job, int64_t at_ms)
{
    if (job->ending == JOB_ACTIVE)
        job->ending = JOB_CANCELLED;
    job_stop_tasks(table, job, at_ms);
}

void deliver_job_add(Table *table, const Record *change, const JobAdd *add, ChangeResult *result)
{
    const Job *known = map_get(table->by_id, add->spec.id);
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
    table_insert_job(table, job);
    result->number = job->number;
    orphans_apply(table, job, change->at_ms);
    if (early_cancel_applies(table, &job->spec))
        job_cancel(table, job, change->at_ms);
    job_end_if_complete(table, job, change->at_ms);
}

void deliver_job_cancel(Table *table, const Record *change, const JobCancel *cancel, ChangeResult *result)
{
    Job *job = map_get(table->by_id, cancel->id);
    if (job == NULL) {
        result->status = cancel->early ? early_cancel_record(table, cancel, change->at_ms) : STATUS_UNKNOWN_JOB;
        return;
    }
    if (!early_cancel_covers(cancel->cell, cancel->tenant, &job->spec)) {
        result->status = STATUS_OTHER_TENANT;
        return;
    }
    result->number = job->number;
    if (job->phase != JOB_ACTIVE) {
        result->status = job->phase == JOB_CANCELLED ? STATUS_OK : STATUS_ALREADY_ENDED;
        return;
    }
    job_cancel(table, job, change->at_ms);
    job_end_if_complete(table, job, change->at_ms);
}

/* Ends a job that a caller has already seen as ended, although the disks lost that end. */
void deliver_job_end(Table *table, const Record *change, const JobEnd *end, ChangeResult *result)
{
    Job *job = map_get(table->by_id, end->id);
    if (job == NULL || job->phase != JOB_ACTIVE || end->phase == JOB_ACTIVE || end->phase >= JOB_PHASE_COUNT)
        return;
    result->number = job->number;
    if (end->phase == JOB_DONE) {
        for (size_t i = 0; i < job->tasks_count; i++)
            if (!task_ended(job->tasks[i].phase))
                task_set_phase(table, job, &job->tasks[i], TASK_DONE, "", change->at_ms, PHASE_BY_LEADER);
    } else {
        job->ending = end->phase;
        job_stop_tasks(table, job, change->at_ms);
    }
    job_end_if_complete(table, job, change->at_ms);
}

/* Removes the jobs whose number is 0 from the order of acceptance. */
static void order_compact(JobList *order)
{
    size_t kept = 0;
    for (size_t i = 0; i < order->count; i++)
        if (order->jobs[i]->number != 0)
            order->jobs[kept++] = order->jobs[i];
    order->count = kept;
}

/* Frees the first count ended jobs. */
static void ended_free(Table *table, size_t count)
{
    JobList *ended = &table->ended;
    for (size_t i = 0; i < count; i++) {
        map_remove(table->by_id, ended->jobs[i]->spec.id);
        talloc_free(ended->jobs[i]);
    }
    memmove(ended->jobs, ended->jobs + count, (ended->count - count) * sizeof(*ended->jobs));
    ended->count -= count;
}

void deliver_forget(Table *table, const Record *change, const Forget *forget, ChangeResult *result)
{
    (void)change;
    const JobList *ended = &table->ended;
    size_t dropped = 0;
    while (dropped < ended->count && ended->jobs[dropped]->ended_ms < forget->before_ms)
        ended->jobs[dropped++]->number = 0; /* marks the job for order_compact; 0 is not a valid number */
    if (dropped > 0) {
        order_compact(&table->accepted);
        ended_free(table, dropped);
    }
    result->number = dropped;
    orphans_forget(table, forget->before_ms);
    early_cancels_forget(table, forget->before_ms);
}
