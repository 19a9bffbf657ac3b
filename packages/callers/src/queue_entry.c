/* Requests at a queue's own address (its entry): host and path prefix identify the queue, the rest of the path is the
 * job's id, and a key identifies the tenant. Queue and key are looked up in the newest committed configuration at each
 * request. */
#include "queue_entry.h"

#include <string.h>
#include <talloc.h>

#include "jobs.h"

/* 410 for an unknown job: the leader knows all committed jobs, so the job does not exist. */
#define HTTP_GONE 410
#define HTTP_NOT_FOUND 404

/* Refuses the request with an HTTP code other than the usual one for the status. */
static void entry_refuse(CallerRequest *request, int code, Status status, const char *text)
{
    show_refusal(request->task, status, text, NULL);
    request->task->code = code;
}

static void entry_show(CallerRequest *request, int code, const Job *job)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "id", json_object_new_string(job->spec.id));
    json_object_object_add(body, "phase", json_object_new_string(show_phase(job)));
    show_result(request->task, code, body);
}

/* Handles a retry for a known job whose queue or key has been removed: an earlier leader may have accepted the job
 * before that, so the refusal must not be definite. Returns true if the request has its result. */
static bool maybe_accepted_before(CallerRequest *request)
{
    if (!request->task->is_retry || table_job(request->service->table, request->name) == NULL)
        return false;
    show_refusal(request->task, STATUS_EXPIRED,
                 "the queue or key of the job was removed, and the job may have been accepted before", NULL);
    return true;
}

/* --- keys --------------------------------------------------------------------------------------- */

/* Whether the request may use the queue: with a tenant's key, which determines the tenant, or without one where no key
 * is needed. False: the request has its result. */
static bool key_allows(CallerRequest *request, const ConfigRoute *place)
{
    request->caller = config_tenant_of_key(place->cell, request->task->key_digest);
    if (request->caller != NULL || place->queue->is_public || !place->cell->keyed)
        return true;
    if (!maybe_accepted_before(request))
        show_refusal(request->task, STATUS_UNKNOWN_KEY, "no tenant has this key, and the queue is not public", NULL);
    request->service->counts.unknown_keys++;
    return false;
}

/* Whether the request may read, cancel or resubmit the job. Callers with the key of the job's tenant may. If the tenant
 * has no keys, or the queue is public, every caller of the queue may. If the tenant has been removed, nobody may,
 * unless the cell has been removed too or uses no keys. */
static bool job_visible(const CallerRequest *request, const Job *job)
{
    const ConfigCell *cell = config_cell(in_force_config(request->service->in_force), job->spec.cell);
    const ConfigQueue *queue = cell != NULL ? config_queue(cell, job->spec.queue) : NULL;
    if (queue != NULL && queue->is_public) /* requests to a public queue need no key */
        return true;
    const ConfigTenant *tenant = cell != NULL ? config_tenant(cell, job->spec.tenant) : NULL;
    if (tenant == NULL)
        return cell == NULL || !cell->keyed;
    return !tenant->keyed || tenant == request->caller;
}

static bool job_refuse_invisible(CallerRequest *request, const Job *job)
{
    if (job_visible(request, job))
        return false;
    show_refusal(request->task, STATUS_OTHER_TENANT, "the job belongs to another tenant", NULL);
    return true;
}

/* --- requests ----------------------------------------------------------------------------------- */

static int64_t waiting_tasks(const Table *table, const ConfigRoute *place)
{
    return (int64_t)table_queue_active_jobs(table, place->cell->name, place->queue->name);
}

/* The tenant of a job that this caller submits here. */
static const char *entry_tenant(const CallerRequest *request, const ConfigRoute *place)
{
    return request->caller != NULL ? request->caller->name : place->tenant;
}

static void entry_post(CallerRequest *request, const ConfigRoute *place)
{
    JobSpec spec;
    if (!job_read_at(request->faults, (const char *)request->task->body.data, request->task->body.count, request->name,
                     place->cell->name, entry_tenant(request, place), place->queue->name, &spec)) {
        request_refuse(request);
        return;
    }
    const Job *job = table_job(request->service->table, spec.id);
    bool created = false;
    if (job != NULL) {
        /* an id denotes the same job at every entry: the job stays in the queue and with the tenant that it was
         * accepted for */
        spec.cell = job->spec.cell;
        spec.queue = job->spec.queue;
        if (job_visible(request, job))
            spec.tenant = job->spec.tenant;
        if (!job_resubmitted(request, job, &spec))
            return;
    } else {
        const JobTerms terms = job_terms(place->queue, config_tenant(place->cell, spec.tenant));
        job = job_accept(request, &spec, &terms, &created);
        if (job == NULL)
            return;
    }
    entry_show(request, created || request->task->is_retry ? 201 : 200, job);
}

static void entry_get(CallerRequest *request)
{
    const Job *job = table_job(request->service->table, request->name);
    if (job == NULL) {
        entry_refuse(request, HTTP_GONE, STATUS_UNKNOWN_JOB, "no job has this id");
        return;
    }
    if (job_refuse_invisible(request, job))
        return;
    request_add_job_end(request, job);
    entry_show(request, 200, job);
}

/* The cancellation of an unknown job is answered 410 once it is recorded: its submission may still be on the way. */
static void entry_cancel(CallerRequest *request, const ConfigRoute *place)
{
    ChangeResult result;
    const Job *job = table_job(request->service->table, request->name);
    if (job != NULL && job_refuse_invisible(request, job))
        return;
    if (!job_submit_cancel(request, job, place->cell->name, entry_tenant(request, place), &result))
        return;
    /* a job that ended before stays as it is, which satisfies the request */
    job = table_job(request->service->table, request->name);
    if (job == NULL)
        entry_refuse(request, HTTP_GONE, STATUS_UNKNOWN_JOB,
                     "no job has this id; one that is submitted late is cancelled");
    else
        entry_show(request, 200, job);
}

static void entry_count(CallerRequest *request, const ConfigRoute *place)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "waiting", json_object_new_int64(waiting_tasks(request->service->table, place)));
    show_result(request->task, 200, body);
}

void entry_serve(CallerRequest *request)
{
    CallerService *service = request->service;
    const char *method = request->task->method, *path = request->task->path + strlen(ENTRY_PATH);
    const bool post = strcmp(method, "POST") == 0, get = strcmp(method, "GET") == 0;
    if (!post && !get && strcmp(method, "DELETE") != 0) {
        show_refusal(request->task, STATUS_BAD_METHOD, "jobs are posted, got and deleted", NULL);
        return;
    }
    if (versions_newest(table_versions(service->table)) == 0) {
        show_refusal(request->task, STATUS_NO_CONFIG,
                     "there is no configuration yet; the request was not accepted: retry later", NULL);
        return;
    }
    const char *host = query_value(request->mem, request->task->query, "host");
    const ConfigRoute *place =
        config_find_route(in_force_config(service->in_force), host != NULL ? host : request->task->host, path);
    if (place == NULL) {
        request->name = strrchr(path, '/') + 1;
        if (!maybe_accepted_before(request))
            entry_refuse(request, HTTP_NOT_FOUND, STATUS_UNKNOWN_QUEUE, "no queue has its entry at this host and path");
        return;
    }
    request->name = path + place->prefix_length;
    if (!key_allows(request, place))
        return;
    const uint64_t body_most = in_force_config(service->in_force)->limits.body_bytes;
    if (body_most > 0 && request->task->body.count > body_most) {
        show_refusal(request->task, STATUS_TOO_LARGE, "the body exceeds the limit that the configuration sets", NULL);
        return;
    }
    if (request->name[0] == '\0' && get)
        entry_count(request, place);
    else if (request->name[0] == '\0')
        show_refusal(request->task, STATUS_BAD_METHOD, "the path must end with the id of a job", NULL);
    else if (!is_valid_name(request->name) && post)
        show_refusal(request->task, STATUS_BAD_FIELD, "an id must consist of letters, digits and ._:-", NULL);
    else if (!is_valid_name(request->name))
        entry_refuse(request, HTTP_GONE, STATUS_UNKNOWN_JOB, "no job can have this id");
    else if (post)
        entry_post(request, place);
    else if (get)
        entry_get(request);
    else
        entry_cancel(request, place);
}
