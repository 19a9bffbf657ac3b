/* Routes of /v1/config: operators read and change the configuration. */
#include "configs.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "document/document.h"

#define DIGEST_HEAD_BYTES 80 /* size of the head of the digested text, in bytes: "put" or "patch", and two numbers */

/* --- reading ----------------------------------------------------------------------- */

/* Shows a version. The text is sent as it is stored, so that operators get their document back as they sent it. */
static void show_config(CallerRequest *request, uint64_t version, const char *text)
{
    HttpExchange *task = request->task;
    char head[64];
    const int length = snprintf(head, sizeof(head), "{\"revision\":%" PRIu64 ",\"config\":", version);
    task->code = 200;
    task->content_type = "application/json";
    bytes_add(task, &task->response_body, head, (size_t)length);
    bytes_add(task, &task->response_body, text, strlen(text));
    bytes_add(task, &task->response_body, "}", 1);
}

/* Shows the newest version: as parsed already if it is a patch, so that it need not be assembled again. */
static void show_newest(CallerRequest *request)
{
    const Versions *versions = table_versions(request->service->table);
    const uint64_t newest = versions_newest(versions);
    const Config *config = in_force_config(request->service->in_force);
    const char *text;
    if (newest == 0)
        text = config_default_text();
    else if (versions->rows[versions->count - 1].patch && config->version == newest) /* already parsed */
        text = document_text(request->mem, config->tree);
    else
        text = versions_text(versions, request->mem, newest);
    show_config(request, newest, text);
}

void config_get(CallerRequest *request)
{
    const Versions *versions = table_versions(request->service->table);
    int64_t version = 0, have = -1, wait_ms = 0;
    query_int(request->faults, request->task->query, "revision", 0, INT64_MAX, &version);
    query_int(request->faults, request->task->query, "have", 0, INT64_MAX, &have);
    query_int(request->faults, request->task->query, "waitMs", 0, CONFIG_WATCH_WAIT_MS * 2, &wait_ms);
    if (request->faults->count > 0) {
        request_refuse(request);
        return;
    }
    if (version > 0) {
        const char *text = versions_text(versions, request->mem, (uint64_t)version);
        if (text == NULL)
            show_refusal(request->task, STATUS_UNKNOWN_VERSION, "this revision is not in the stored history", NULL);
        else
            show_config(request, (uint64_t)version, text);
        return;
    }
    const int64_t until_ms = loop_now_ms(request->service->loop) + wait_ms;
    while (have >= 0 && versions_newest(table_versions(request->service->table)) <= (uint64_t)have)
        if (!signal_wait(request->service->loop, replication_changed_signal(request->service->replication), until_ms))
            break;
    if (!replication_leading(request->service->replication))
        show_refusal(request->task, STATUS_NOT_LEADER, "leadership was lost meanwhile: retry later", NULL);
    else
        show_newest(request);
}

void config_history(CallerRequest *request)
{
    const Versions *versions = table_versions(request->service->table);
    json_object *body = json_object_new_object(), *list = json_object_new_array();
    for (size_t i = versions->first_text; i < versions->count; i++)
        json_object_array_add(list, json_object_new_uint64(versions->rows[i].version));
    json_object_object_add(body, "revisions", list);
    show_result(request->task, 200, body);
}

/* --- changing ------------------------------------------------------------------------ */

/* Refuses a change that is not based on the version in force, and states that version. */
static void refuse_stale(CallerRequest *request, uint64_t current)
{
    json_object *body = show_failure(STATUS_STALE_VERSION, "another revision is in force: use that as the base", NULL);
    json_object_object_add(body, "current", json_object_new_uint64(current));
    request->task->status = STATUS_STALE_VERSION;
    show_result(request->task, status_http(STATUS_STALE_VERSION), body);
}

static void show_accepted(CallerRequest *request, uint64_t version)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "revision", json_object_new_uint64(version));
    show_result(request->task, 200, body);
}

/* Digest of a call that states its version, by which the call is recognised when it is sent again. The digest only
 * distinguishes calls; it need not resist forgery. */
static const char *call_digest(CallerRequest *request, bool patch, uint64_t base, uint64_t version)
{
    char head[DIGEST_HEAD_BYTES];
    const int length =
        snprintf(head, sizeof(head), "%s %" PRIu64 " %" PRIu64 "\n", patch ? "patch" : "put", base, version);
    GChecksum *sum = g_checksum_new(G_CHECKSUM_MD5);
    g_checksum_update(sum, (const guchar *)head, length);
    g_checksum_update(sum, request->task->body.data, (gssize)request->task->body.count);
    const char *digest = talloc_strdup(request->mem, g_checksum_get_string(sum));
    g_checksum_free(sum);
    return digest;
}

/* Returns the complete document that results from a patch; null, with a fault, if the patch is not an object. The text
 * to be committed is the patch, unless there is no version yet. */
static json_object *patch_apply(CallerRequest *request, const Config *in_force, json_object *patch, ConfigSet *set)
{
    if (!json_object_is_type(patch, json_type_object)) {
        fault_add(request->faults, STATUS_BAD_JSON, "", "a patch must be an object");
        return NULL;
    }
    json_object *tree = document_merge(in_force->tree, patch);
    set->patch = in_force->version > 0;
    set->text = document_text(request->mem, set->patch ? patch : tree);
    return tree;
}

/* Returns the new document. If it differs little from the one in force, the text to be committed is the difference, and
 * the new document shares equal subtrees with the one in force. */
static json_object *document_replace(CallerRequest *request, const Config *in_force, json_object *whole, ConfigSet *set)
{
    json_object *patch = in_force->version > 0 ? document_difference(in_force->tree, whole) : NULL;
    const char *text = patch != NULL ? document_text(request->mem, patch) : NULL;
    json_object *tree;
    if (text != NULL && strlen(text) < request->task->body.count / 2) {
        set->patch = true;
        set->text = text;
        tree = document_merge(in_force->tree, patch);
    } else {
        set->text = talloc_strndup(request->mem, (const char *)request->task->body.data, request->task->body.count);
        tree = json_object_get(whole);
    }
    json_object_put(patch);
    return tree;
}

/* Adds a fault if the document exceeds the limit: many patches together can produce a document that is larger than one
 * call may send. The text is produced only if the sum of the sizes does not show that it is small enough. */
static void check_size(CallerRequest *request, json_object *tree)
{
    if (versions_newest_size_max(table_versions(request->service->table)) + request->task->body.count <=
        CONFIG_BODY_MAX)
        return;
    if (strlen(document_text(request->mem, tree)) > CONFIG_BODY_MAX)
        fault_add(request->faults, STATUS_TOO_LARGE, "", "with this patch the configuration exceeds %d bytes",
                  CONFIG_BODY_MAX);
}

/* Returns the configuration that the call requests, allocated on request->mem; null, with faults, if it has any. */
static const Config *config_parse(CallerRequest *request, const Config *in_force, bool patch, ConfigSet *set)
{
    const Bytes *body = &request->task->body;
    if (body->count > CONFIG_BODY_MAX) {
        fault_add(request->faults, STATUS_TOO_LARGE, "", "a configuration has at most %d bytes", CONFIG_BODY_MAX);
        return NULL;
    }
    json_object *sent = check_parse(request->faults, (const char *)body->data, body->count);
    if (sent == NULL)
        return NULL;
    json_object *tree =
        patch ? patch_apply(request, in_force, sent, set) : document_replace(request, in_force, sent, set);
    json_object_put(sent);
    if (patch && tree != NULL)
        check_size(request, tree);
    const Config *config =
        tree != NULL ? config_build(request->mem, tree, set->version, in_force, request->faults) : NULL;
    json_object_put(tree);
    return config;
}

/* Reads the versions that the call is based on and that it sets, 0 if not stated. False: the request has faults. */
static bool query_versions(CallerRequest *request, uint64_t *base, uint64_t *version)
{
    int64_t base_given = -1, version_given = 0;
    if (query_value(request->mem, request->task->query, "base") == NULL)
        fault_add(request->faults, STATUS_BAD_FIELD, "?base",
                  "is missing: state the revision that this change is based on");
    query_int(request->faults, request->task->query, "base", 0, INT64_MAX, &base_given);
    query_int(request->faults, request->task->query, "revision", 1, INT64_MAX, &version_given);
    *base = (uint64_t)base_given;
    *version = (uint64_t)version_given;
    return request->faults->count == 0;
}

/* Suspends the coroutine. Serves a call that replaces the configuration or, with patch, changes it. */
static void config_set(CallerRequest *request, bool patch)
{
    CallerService *service = request->service;
    ConfigSet set = {.text = "", .digest = "", .patch = false};
    if (!query_versions(request, &set.base, &set.version)) {
        request_refuse(request);
        return;
    }
    const Versions *versions = table_versions(service->table);
    if (set.version != 0)
        set.digest = call_digest(request, patch, set.base, set.version);
    const uint64_t current = versions_newest(versions), known = versions_find_digest(versions, set.digest);
    if (known != 0) { /* a retry: the call was accepted, whatever has changed since */
        show_accepted(request, known);
        return;
    }
    if (set.base != current) {
        refuse_stale(request, current);
        return;
    }
    if (set.version == 0)
        set.version = current + 1;
    else if (set.version <= current)
        fault_add(request->faults, STATUS_BAD_FIELD, "?revision", "must be above %" PRIu64 ", the revision in force",
                  current);
    const Config *config = config_parse(request, in_force_config(service->in_force), patch, &set);
    if (config == NULL || request->faults->count > 0) {
        request_refuse(request);
        return;
    }
    set.limits = config->limits;
    CheckedConfig checked = {.set = set, .config = config};
    checked_config_add(service->in_force, &checked);
    ChangeResult result;
    const Status status = request_submit(request, CHANGE_CONFIG_SET, &ConfigSet_shape, &set, &result);
    /* in_force_config takes over the checked configuration before another change is delivered */
    if (status == STATUS_OK && result.status == STATUS_OK)
        in_force_config(service->in_force);
    checked_config_remove(service->in_force, &checked);
    if (!request_delivered(request, status))
        return;
    if (result.status == STATUS_OK)
        show_accepted(request, result.number);
    else
        refuse_stale(request, result.number);
}

void config_put(CallerRequest *request)
{
    config_set(request, false);
}

void config_apply_patch(CallerRequest *request)
{
    config_set(request, true);
}
