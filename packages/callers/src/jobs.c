/* Jobs as callers submit them by id, ask for them and cancel them. */
#include "jobs.h"

#include <string.h>
#include <talloc.h>

const Job *job_take(Way *way, const JobSpec *spec, const JobTerms *terms, bool *fresh)
{
    CallerService *callers = way->callers;
    const Config *config = in_force_config(callers->in_force);
    *fresh = false;
    if (!job_admissible(way->faults, spec, config, callers->table)) {
        way_refuse(way);
        return NULL;
    }
    size_t tasks = 0;
    for (size_t i = 0; i < spec->steps_count; i++)
        tasks += (size_t)(spec->steps[i].count * (spec->turns > 1 ? spec->turns : 1));
    if (table_waiting(callers->table, spec->cell) + tasks > config_cell(config, spec->cell)->limit) {
        callers->counts.crowded++;
        show_refusal(way->task, STATUS_QUEUE_FULL, "too much waits in this cell; nothing was taken: come back", NULL);
        return NULL;
    }
    const JobAdd add = {*spec, *terms};
    ChangeResult result;
    if (!way_delivered(way, way_submit(way, CHANGE_JOB_ADD, &JobAdd_shape, &add, &result)))
        return NULL;
    const Job *job = table_job(callers->table, spec->id);
    if (result.status != STATUS_OK || job == NULL) {
        show_refusal(way->task, result.status, "another job has this id", NULL);
        return NULL;
    }
    *fresh = true;
    return job;
}

bool job_again(Way *way, const Job *known, const JobSpec *spec)
{
    if (!shape_equal(&JobSpec_shape, &known->spec, spec)) {
        show_refusal(way->task, STATUS_OTHER_BODY, "another job has this id", NULL);
        return false;
    }
    /* whoever carries this answer may be the only one that has heard it */
    RepairItem item = {CHANGE_JOB_ADD, 0, {0}};
    const JobAdd add = {known->spec, known->terms};
    shape_pack(&JobAdd_shape, &add, way->mem, &item.payload);
    way_keep(way, &item);
    return true;
}

JobTerms job_terms(const ConfigQueue *queue)
{
    if (queue == NULL)
        return (JobTerms){.kind = ""};
    return (JobTerms){queue->attempts, queue->stretch_milli, queue->target_ms, queue->priority,
                      queue->kind != NULL ? queue->kind : ""};
}

void job_post(Way *way)
{
    JobSpec spec;
    if (!job_read(way->faults, (const char *)way->task->body.data, way->task->body.count, &spec)) {
        way_refuse(way);
        return;
    }
    /* the same job again gets the first answer, whatever has changed since */
    const Job *job = table_job(way->callers->table, spec.id);
    bool fresh = false;
    if (job != NULL) {
        if (!job_again(way, job, &spec))
            return;
    } else {
        const ConfigCell *cell = config_cell(in_force_config(way->callers->in_force), spec.cell);
        const JobTerms terms = job_terms(cell != NULL ? config_queue(cell, spec.queue) : NULL);
        job = job_take(way, &spec, &terms, &fresh);
        if (job == NULL)
            return;
    }
    show_result(way->task, fresh || way->task->again ? 201 : 200, show_job_short(job));
}

void job_get(Way *way)
{
    const Job *job = table_job(way->callers->table, way->name);
    if (job == NULL)
        show_refusal(way->task, STATUS_UNKNOWN_JOB, "there is no job of this id", NULL);
    else {
        way_keep_end(way, job);
        show_result(way->task, 200, show_job(job, way_clock(way)));
    }
}

bool job_cancelled(Way *way, ChangeResult *result)
{
    const JobCancel cancel = {way->name};
    return way_delivered(way, way_submit(way, CHANGE_JOB_CANCEL, &JobCancel_shape, &cancel, result));
}

void job_cancel(Way *way)
{
    ChangeResult result;
    if (table_job(way->callers->table, way->name) == NULL) {
        show_refusal(way->task, STATUS_UNKNOWN_JOB, "there is no job of this id", NULL);
        return;
    }
    if (!job_cancelled(way, &result))
        return;
    const Job *job = table_job(way->callers->table, way->name);
    if (result.status != STATUS_OK || job == NULL)
        show_refusal(way->task, result.status, "the job had ended before", NULL);
    else
        show_result(way->task, 200, show_job_short(job));
}

void job_list(Way *way)
{
    int64_t after = 0, limit = LIST_PAGE;
    query_int(way->faults, way->task->query, "after", 0, INT64_MAX, &after);
    query_int(way->faults, way->task->query, "limit", 1, LIST_PAGE_MAX, &limit);
    const char *cell = query_value(way->mem, way->task->query, "cell");
    const char *phase = query_value(way->mem, way->task->query, "phase");
    if (way->faults->count > 0) {
        way_refuse(way);
        return;
    }
    Job *const *jobs;
    const size_t count = table_jobs(way->callers->table, &jobs);
    size_t low = 0, high = count;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (jobs[middle]->number <= (uint64_t)after)
            low = middle + 1;
        else
            high = middle;
    }
    json_object *body = json_object_new_object(), *list = json_object_new_array();
    int64_t shown = 0;
    size_t at = low;
    for (; at < count && shown < limit; at++) {
        const Job *job = jobs[at];
        if ((cell != NULL && strcmp(job->spec.cell, cell) != 0) ||
            (phase != NULL && strcmp(job_phase_word(job->phase), phase) != 0))
            continue;
        way_keep_end(way, job);
        json_object_array_add(list, show_job_short(job));
        shown++;
    }
    json_object_object_add(body, "jobs", list);
    if (at < count)
        json_object_object_add(body, "next", json_object_new_int64((int64_t)jobs[at - 1]->number));
    show_result(way->task, 200, body);
}
