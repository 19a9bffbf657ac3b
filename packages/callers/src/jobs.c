/* Jobs as callers submit them by id, ask for them and cancel them. */
#include "jobs.h"

#include <string.h>
#include <talloc.h>

const Job *job_accept(CallerRequest *request, const JobSpec *spec, const JobTerms *terms, bool *fresh)
{
    CallerService *callers = request->callers;
    const Config *config = in_force_config(callers->in_force);
    *fresh = false;
    if (!job_admissible(request->faults, spec, config, callers->table)) {
        request_refuse(request);
        return NULL;
    }
    size_t tasks = 0;
    for (size_t i = 0; i < spec->steps_count; i++)
        tasks += (size_t)(spec->steps[i].count * (spec->turns > 1 ? spec->turns : 1));
    if (table_waiting(callers->table, spec->cell) + tasks > config_cell(config, spec->cell)->limit) {
        callers->counts.crowded++;
        show_refusal(request->task, STATUS_QUEUE_FULL, "too much waits in this cell; nothing was taken: come back",
                     NULL);
        return NULL;
    }
    if (replication_admit(callers->replication, request->task->body.count) != STATUS_OK) {
        callers->counts.crowded++;
        show_refusal(request->task, STATUS_STATE_FULL, "the state is full; nothing was taken: come back", NULL);
        return NULL;
    }
    const JobAdd add = {*spec, *terms};
    ChangeResult result;
    if (!request_delivered(request, request_submit(request, CHANGE_JOB_ADD, &JobAdd_shape, &add, &result)))
        return NULL;
    const Job *job = table_job(callers->table, spec->id);
    if (result.status != STATUS_OK || job == NULL) {
        show_refusal(request->task, result.status, "another job has this id", NULL);
        return NULL;
    }
    *fresh = true;
    return job;
}

bool job_resubmitted(CallerRequest *request, const Job *known, const JobSpec *spec)
{
    if (!shape_equal(&JobSpec_shape, &known->spec, spec)) {
        show_refusal(request->task, STATUS_OTHER_BODY, "another job has this id", NULL);
        return false;
    }
    /* the node that brings this answer may be the only one that did: it keeps the job for repair too */
    RepairItem item = {CHANGE_JOB_ADD, 0, {0}};
    const JobAdd add = {known->spec, known->terms};
    shape_pack(&JobAdd_shape, &add, request->mem, &item.payload);
    request_keep(request, &item);
    return true;
}

JobTerms job_terms(const ConfigQueue *queue, const ConfigTenant *tenant)
{
    const Resources quota = tenant != NULL ? tenant->quota : (Resources){0};
    if (queue == NULL)
        return (JobTerms){.kind = "", .quota = quota};
    return (JobTerms){.attempt_limit = queue->attempts,
                      .stretch_milli = queue->stretch_milli,
                      .target_ms = queue->target_ms,
                      .priority = queue->priority,
                      .kind = queue->kind != NULL ? queue->kind : "",
                      .quota = quota};
}

void job_post(CallerRequest *request)
{
    JobSpec spec;
    if (!job_read(request->faults, (const char *)request->task->body.data, request->task->body.count, &spec)) {
        request_refuse(request);
        return;
    }
    /* the same job again gets the first answer, whatever has changed since */
    const Job *job = table_job(request->callers->table, spec.id);
    bool fresh = false;
    if (job != NULL) {
        if (!job_resubmitted(request, job, &spec))
            return;
    } else {
        const ConfigCell *cell = config_cell(in_force_config(request->callers->in_force), spec.cell);
        const JobTerms terms = job_terms(cell != NULL ? config_queue(cell, spec.queue) : NULL,
                                         cell != NULL ? config_tenant(cell, spec.tenant) : NULL);
        job = job_accept(request, &spec, &terms, &fresh);
        if (job == NULL)
            return;
    }
    show_result(request->task, fresh || request->task->again ? 201 : 200, show_job_short(job));
}

void job_get(CallerRequest *request)
{
    const Job *job = table_job(request->callers->table, request->name);
    if (job == NULL)
        show_refusal(request->task, STATUS_UNKNOWN_JOB, "there is no job of this id", NULL);
    else {
        request_keep_end(request, job);
        const Resources left = quota_left(request->callers->table, in_force_config(request->callers->in_force), job);
        show_result(request->task, 200, show_job(job, request_clock(request), left));
    }
}

bool job_submit_cancel(CallerRequest *request, ChangeResult *result)
{
    const JobCancel cancel = {request->name};
    return request_delivered(request, request_submit(request, CHANGE_JOB_CANCEL, &JobCancel_shape, &cancel, result));
}

void job_cancel(CallerRequest *request)
{
    ChangeResult result;
    if (table_job(request->callers->table, request->name) == NULL) {
        show_refusal(request->task, STATUS_UNKNOWN_JOB, "there is no job of this id", NULL);
        return;
    }
    if (!job_submit_cancel(request, &result))
        return;
    const Job *job = table_job(request->callers->table, request->name);
    if (result.status != STATUS_OK || job == NULL)
        show_refusal(request->task, result.status, "the job had ended before", NULL);
    else
        show_result(request->task, 200, show_job_short(job));
}

void job_list(CallerRequest *request)
{
    int64_t after = 0, limit = LIST_PAGE;
    query_int(request->faults, request->task->query, "after", 0, INT64_MAX, &after);
    query_int(request->faults, request->task->query, "limit", 1, LIST_PAGE_MAX, &limit);
    const char *cell = query_value(request->mem, request->task->query, "cell");
    const char *phase = query_value(request->mem, request->task->query, "phase");
    if (request->faults->count > 0) {
        request_refuse(request);
        return;
    }
    Job *const *jobs;
    const size_t count = table_jobs(request->callers->table, &jobs);
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
        request_keep_end(request, job);
        json_object_array_add(list, show_job_short(job));
        shown++;
    }
    json_object_object_add(body, "jobs", list);
    if (at < count)
        json_object_object_add(body, "next", json_object_new_int64((int64_t)jobs[at - 1]->number));
    show_result(request->task, 200, body);
}
