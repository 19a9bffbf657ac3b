/* Routes of /v1/jobs: callers submit jobs, read and list them, and cancel them. */
#include "jobs.h"

#include <string.h>
#include <talloc.h>

const Job *job_accept(CallerRequest *request, const JobSpec *spec, const JobTerms *terms, bool *created)
{
    CallerService *service = request->service;
    const Config *config = in_force_config(service->in_force);
    *created = false;
    if (!job_admissible(request->faults, spec, config, service->table)) {
        request_refuse(request);
        return NULL;
    }
    size_t tasks = 0;
    for (size_t i = 0; i < spec->steps_count; i++)
        tasks += (size_t)(spec->steps[i].count * (spec->turns > 1 ? spec->turns : 1));
    if (table_waiting_tasks(service->table, spec->cell) + tasks > config_cell(config, spec->cell)->limit) {
        service->counts.crowded++;
        show_refusal(request->task, STATUS_QUEUE_FULL,
                     "too many tasks wait in this cell; the job was not accepted: retry later", NULL);
        return NULL;
    }
    if (replication_admit(service->replication, request->task->body.count) != STATUS_OK) {
        service->counts.crowded++;
        show_refusal(request->task, STATUS_STATE_FULL, "the state is full; the job was not accepted: retry later",
                     NULL);
        return NULL;
    }
    const JobAdd add = {*spec, *terms};
    ChangeResult result;
    if (!request_delivered(request, request_submit(request, CHANGE_JOB_ADD, &JobAdd_shape, &add, &result)))
        return NULL;
    const Job *job = table_job(service->table, spec->id);
    if (result.status != STATUS_OK || job == NULL) {
        show_refusal(request->task, result.status, "another job has this id", NULL);
        return NULL;
    }
    *created = true;
    return job;
}

bool job_resubmitted(CallerRequest *request, const Job *known, const JobSpec *spec)
{
    if (!shape_equal(&JobSpec_shape, &known->spec, spec)) {
        show_refusal(request->task, STATUS_OTHER_BODY, "another job has this id", NULL);
        return false;
    }
    /* the node that returned the first answer may be lost, so the node that returns this one holds the job too */
    RepairItem item = {CHANGE_JOB_ADD, 0, {0}};
    const JobAdd add = {known->spec, known->terms};
    shape_pack(&JobAdd_shape, &add, request->mem, &item.payload);
    request_add_repair_item(request, &item);
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
    /* a resubmitted job gets the first answer, whatever has changed since */
    const Job *job = table_job(request->service->table, spec.id);
    bool created = false;
    if (job != NULL) {
        if (!job_resubmitted(request, job, &spec))
            return;
    } else {
        const ConfigCell *cell = config_cell(in_force_config(request->service->in_force), spec.cell);
        const JobTerms terms = job_terms(cell != NULL ? config_queue(cell, spec.queue) : NULL,
                                         cell != NULL ? config_tenant(cell, spec.tenant) : NULL);
        job = job_accept(request, &spec, &terms, &created);
        if (job == NULL)
            return;
    }
    show_result(request->task, created || request->task->is_retry ? 201 : 200, show_job_short(job));
}

void job_get(CallerRequest *request)
{
    const Job *job = table_job(request->service->table, request->name);
    if (job == NULL)
        show_refusal(request->task, STATUS_UNKNOWN_JOB, "no job has this id", NULL);
    else {
        request_add_job_end(request, job);
        const Resources left = quota_left(request->service->table, in_force_config(request->service->in_force), job);
        show_result(request->task, 200, show_job(job, request_clock(request), left));
    }
}

/* Whether the state can record the cancellation of an unknown job; false: the request has been refused. */
static bool early_cancel_admitted(CallerRequest *request)
{
    if (table_early_cancels(request->service->table) < EARLY_CANCELS_MAX &&
        replication_admit(request->service->replication, sizeof(JobCancel)) == STATUS_OK)
        return true;
    request->service->counts.crowded++;
    show_refusal(request->task, STATUS_STATE_FULL,
                 "the cancellation of an unknown job can't be recorded now; it has no effect: retry later", NULL);
    return false;
}

bool job_submit_cancel(CallerRequest *request, const Job *job, const char *cell, const char *tenant,
                       ChangeResult *result)
{
    if (job == NULL && !early_cancel_admitted(request))
        return false;
    const JobCancel cancel = {.id = request->name,
                              .early = true,
                              .cell = job != NULL ? job->spec.cell : cell,
                              .tenant = job != NULL ? job->spec.tenant : tenant};
    if (!request_delivered(request, request_submit(request, CHANGE_JOB_CANCEL, &JobCancel_shape, &cancel, result)))
        return false;
    if (result->status != STATUS_STATE_FULL && result->status != STATUS_OTHER_TENANT)
        return true;
    show_refusal(request->task, result->status, "the cancellation has no effect", NULL);
    return false;
}

void job_cancel(CallerRequest *request)
{
    ChangeResult result;
    const Job *job = table_job(request->service->table, request->name);
    if (!job_submit_cancel(request, job, "", "", &result))
        return;
    job = table_job(request->service->table, request->name);
    if (job == NULL)
        show_refusal(request->task, STATUS_UNKNOWN_JOB, "no job has this id; one that is submitted late is cancelled",
                     NULL);
    else if (result.status != STATUS_OK)
        show_refusal(request->task, result.status, "the job has already ended", NULL);
    else
        show_result(request->task, 200, show_job_short(job));
}

void job_list(CallerRequest *request)
{
    int64_t after = 0, limit = LIST_PAGE_DEFAULT;
    query_int(request->faults, request->task->query, "after", 0, INT64_MAX, &after);
    query_int(request->faults, request->task->query, "limit", 1, LIST_PAGE_MAX, &limit);
    const char *cell = query_value(request->mem, request->task->query, "cell");
    const char *phase = query_value(request->mem, request->task->query, "phase");
    if (request->faults->count > 0) {
        request_refuse(request);
        return;
    }
    Job *const *jobs;
    const size_t count = table_jobs(request->service->table, &jobs);
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
            (phase != NULL && strcmp(job_phase_name(job->phase), phase) != 0))
            continue;
        request_add_job_end(request, job);
        json_object_array_add(list, show_job_short(job));
        shown++;
    }
    json_object_object_add(body, "jobs", list);
    if (at < count)
        json_object_object_add(body, "next", json_object_new_int64((int64_t)jobs[at - 1]->number));
    show_result(request->task, 200, body);
}
