/* Jobs at the address of their queue, its entry: host and path name the queue, what follows its prefix is the job's
 * id, a key names the tenant. Queue and key are looked up in the newest committed configuration at each request. */
#include "entry.h"

#include <string.h>
#include <talloc.h>

#include "jobs.h"

/* 410 for an unknown job: the leader knows all that was committed, so there is none. */
#define GONE_HTTP 410
#define NO_ENTRY_HTTP 404

/* A refusal with an HTTP code of its own. */
static void entry_refuse(CallerRequest *request, int http, Status status, const char *text)
{
    show_refusal(request->task, status, text, NULL);
    request->task->code = http;
}

static void entry_show(CallerRequest *request, int http, const Job *job)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "id", json_object_new_string(job->spec.id));
    json_object_object_add(body, "phase", json_object_new_string(show_phase(job)));
    show_result(request->task, http, body);
}

/* An earlier leader may have taken the job, before its queue or key went: a retry of that is not refused for good.
 * True: it has its result. */
static bool taken_before(CallerRequest *request)
{
    if (!request->task->again || table_job(request->callers->table, request->name) == NULL)
        return false;
    show_refusal(request->task, STATUS_EXPIRED, "its queue or key is gone, and it may have been taken before", NULL);
    return true;
}

/* --- keys --------------------------------------------------------------------------------------- */

/* Whether the request may call the queue: by a tenant's key, which decides its tenant, or, where none is needed, also
 * without. False: it has its result. */
static bool key_passes(CallerRequest *request, const ConfigPlace *place)
{
    request->caller = config_tenant_of_key(place->cell, request->task->key_digest);
    if (request->caller != NULL || place->queue->is_public || !place->cell->keyed)
        return true;
    if (!taken_before(request))
        show_refusal(request->task, STATUS_UNKNOWN_KEY, "no tenant has this key, and the queue is not public", NULL);
    request->callers->counts.unknown_keys++;
    return false;
}

/* Whether the job is shown to the request, to read, cancel or submit again: to its tenant's own callers. That of a
 * tenant that is not called by key, or in a public queue, is shown to whoever may call the queue, that of a tenant that
 * is gone to nobody. */
static bool job_shown(const CallerRequest *request, const Job *job)
{
    const ConfigCell *cell = config_cell(in_force_config(request->callers->in_force), job->spec.cell);
    const ConfigQueue *queue = cell != NULL ? config_queue(cell, job->spec.queue) : NULL;
    if (queue != NULL && queue->is_public) /* calls there need no key */
        return true;
    const ConfigTenant *tenant = cell != NULL ? config_tenant(cell, job->spec.tenant) : NULL;
    if (tenant == NULL)
        return cell == NULL || !cell->keyed;
    return !tenant->keyed || tenant == request->caller;
}

static bool job_refused(CallerRequest *request, const Job *job)
{
    if (job_shown(request, job))
        return false;
    show_refusal(request->task, STATUS_OTHER_TENANT, "the job is another tenant's", NULL);
    return true;
}

/* --- requests ----------------------------------------------------------------------------------- */

static int64_t waiting_in(const Table *table, const ConfigPlace *place)
{
    return (int64_t)table_waiting_in(table, place->cell->name, place->queue->name);
}

static void entry_post(CallerRequest *request, const ConfigPlace *place)
{
    JobSpec spec;
    const char *tenant = request->caller != NULL ? request->caller->name : place->tenant;
    if (!job_read_at(request->faults, (const char *)request->task->body.data, request->task->body.count, request->name,
                     place->cell->name, tenant, place->queue->name, &spec)) {
        request_refuse(request);
        return;
    }
    const Job *job = table_job(request->callers->table, spec.id);
    bool fresh = false;
    if (job != NULL) {
        /* an id is one job at every entry: it stays in the queue that accepted it, and its tenant's */
        spec.cell = job->spec.cell;
        spec.queue = job->spec.queue;
        if (job_shown(request, job))
            spec.tenant = job->spec.tenant;
        if (!job_resubmitted(request, job, &spec))
            return;
    } else {
        const JobTerms terms = job_terms(place->queue, config_tenant(place->cell, spec.tenant));
        job = job_accept(request, &spec, &terms, &fresh);
        if (job == NULL)
            return;
    }
    entry_show(request, fresh || request->task->again ? 201 : 200, job);
}

static void entry_get(CallerRequest *request)
{
    const Job *job = table_job(request->callers->table, request->name);
    if (job == NULL) {
        entry_refuse(request, GONE_HTTP, STATUS_UNKNOWN_JOB, "there is no job of this id");
        return;
    }
    if (job_refused(request, job))
        return;
    request_keep_end(request, job);
    entry_show(request, 200, job);
}

static void entry_cancel(CallerRequest *request)
{
    ChangeResult result;
    const Job *job = table_job(request->callers->table, request->name);
    if (job == NULL) {
        entry_refuse(request, GONE_HTTP, STATUS_UNKNOWN_JOB, "there is no job of this id");
        return;
    }
    if (job_refused(request, job) || !job_submit_cancel(request, &result))
        return;
    /* a job that had ended before stays as it is, which is what was asked for */
    job = table_job(request->callers->table, request->name);
    if (job == NULL)
        entry_refuse(request, GONE_HTTP, STATUS_UNKNOWN_JOB, "there is no job of this id");
    else
        entry_show(request, 200, job);
}

static void entry_count(CallerRequest *request, const ConfigPlace *place)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "waiting", json_object_new_int64(waiting_in(request->callers->table, place)));
    show_result(request->task, 200, body);
}

void entry_serve(CallerRequest *request)
{
    CallerService *callers = request->callers;
    const char *method = request->task->method, *path = request->task->path + strlen(ENTRY_PATH);
    const bool post = strcmp(method, "POST") == 0, get = strcmp(method, "GET") == 0;
    if (!post && !get && strcmp(method, "DELETE") != 0) {
        show_refusal(request->task, STATUS_BAD_METHOD, "jobs are posted, got and deleted", NULL);
        return;
    }
    if (versions_newest(table_versions(callers->table)) == 0) {
        show_refusal(request->task, STATUS_NO_CONFIG, "there is no document yet; nothing was taken: come back", NULL);
        return;
    }
    const char *host = query_value(request->mem, request->task->query, "host");
    const ConfigPlace *place =
        config_entry(in_force_config(callers->in_force), host != NULL ? host : request->task->host, path);
    if (place == NULL) {
        request->name = strrchr(path, '/') + 1;
        if (!taken_before(request))
            entry_refuse(request, NO_ENTRY_HTTP, STATUS_UNKNOWN_QUEUE, "no queue has its entry here");
        return;
    }
    request->name = path + place->prefix_length;
    if (!key_passes(request, place))
        return;
    const uint64_t body_most = in_force_config(callers->in_force)->limits.body_bytes;
    if (body_most > 0 && request->task->body.count > body_most) {
        show_refusal(request->task, STATUS_TOO_LARGE, "the body is above the limit of the configuration", NULL);
        return;
    }
    if (request->name[0] == '\0' && get)
        entry_count(request, place);
    else if (request->name[0] == '\0')
        show_refusal(request->task, STATUS_BAD_METHOD, "an id must follow", NULL);
    else if (!check_name_text(request->name) && post)
        show_refusal(request->task, STATUS_BAD_FIELD, "an id is of letters, digits and ._:-", NULL);
    else if (!check_name_text(request->name))
        entry_refuse(request, GONE_HTTP, STATUS_UNKNOWN_JOB, "no job can have this id");
    else if (post)
        entry_post(request, place);
    else if (get)
        entry_get(request);
    else
        entry_cancel(request);
}
