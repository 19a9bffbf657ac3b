/* Jobs come, are cancelled, end and are forgotten. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

void deliverJobAdd(Table *table, const Record *change, const JobAdd *add, ChangeResult *result)
{
    const Job *known = tableJob(table, add->spec.id);
    if (known != NULL) {
        result->status = shape_equal(&JobSpecShape, &known->spec, &add->spec) ? STATUS_OK : STATUS_OTHER_BODY;
        result->number = known->number;
        return;
    }
    Job *job = jobNew(table->mem, &add->spec, &add->terms);
    job->number = table->lastNumber + 1;
    job->acceptedMs = change->at_ms;
    for (size_t i = 0; i < job->tasksCount; i++)
        job->tasks[i].changed_ms = change->at_ms;
    jobEnter(table, job);
    result->number = job->number;
    orphansTake(table, job, change->at_ms);
    jobSettle(table, job, change->at_ms);
}

void deliverJobCancel(Table *table, const Record *change, const JobCancel *cancel, ChangeResult *result)
{
    Job *job = map_get(table->byId, cancel->id);
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
    jobStopTasks(table, job, change->at_ms);
    jobSettle(table, job, change->at_ms);
}

/* A job once shown as ended stays so, though the disks forgot how it came to. */
void deliverJobEnd(Table *table, const Record *change, const JobEnd *end, ChangeResult *result)
{
    Job *job = map_get(table->byId, end->id);
    if (job == NULL || job->phase != JOB_ACTIVE || end->phase == JOB_ACTIVE || end->phase >= JOB_PHASE_COUNT)
        return;
    result->number = job->number;
    if (end->phase == JOB_DONE) {
        for (size_t i = 0; i < job->tasksCount; i++)
            if (!taskEnded(job->tasks[i].phase))
                taskTurn(table, job, &job->tasks[i], TASK_DONE, "", change->at_ms, false);
    } else {
        job->ending = end->phase;
        jobStopTasks(table, job, change->at_ms);
    }
    jobSettle(table, job, change->at_ms);
}

void deliverForget(Table *table, const Record *change, const Forget *forget, ChangeResult *result)
{
    (void)change;
    JobList *ended = &table->ended, *order = &table->order;
    size_t gone = 0;
    while (gone < ended->count && ended->jobs[gone]->endedMs < forget->beforeMs)
        ended->jobs[gone++]->number = 0; /* no job's number: marks it for the walk below */
    if (gone > 0) {
        size_t kept = 0;
        for (size_t i = 0; i < order->count; i++)
            if (order->jobs[i]->number != 0)
                order->jobs[kept++] = order->jobs[i];
        order->count = kept;
        for (size_t i = 0; i < gone; i++) {
            map_drop(table->byId, ended->jobs[i]->spec.id);
            talloc_free(ended->jobs[i]);
        }
        memmove(ended->jobs, ended->jobs + gone, (ended->count - gone) * sizeof(*ended->jobs));
        ended->count -= gone;
    }
    result->number = gone;
    orphansForget(table, forget->beforeMs);
}
