/* Reading of queues and policies, and sharing them between versions. */
#include "shared_parts.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "config_routes.h"

/* --- queues -------------------------------------------------------------------- */

static SharedQueue *shared_queue_of(const ConfigQueue *queue)
{
    return (SharedQueue *)(uintptr_t)queue;
}

static void read_entry(json_object *object, const char *path, SharedQueue *part, Faults *faults)
{
    static const char *const KEYS[] = {"host", "prefix", NULL};
    json_object *value;
    if (!json_object_object_get_ex(object, "entry", &value))
        return;
    const char *here = check_path(faults, path, "entry");
    if (!check_keys(faults, value, here, KEYS))
        return;
    char *host = talloc_strdup(part, check_name(faults, value, here, "host", NULL));
    for (char *at = host; *at != '\0'; at++)
        *at = (char)tolower((unsigned char)*at);
    const char *prefix = check_text(faults, value, here, "prefix", CONFIG_PATH_MAX);
    if (prefix[0] != '/' || strpbrk(prefix, "?# ") != NULL)
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, here, "prefix"),
                  "must be a path prefix starting with /");
    if (strchr(host, ':') != NULL)
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, here, "host"), "must be a host without a port");
    part->queue.host = host;
    part->queue.prefix = talloc_strdup(part, prefix);
    part->prefix_length = strlen(prefix);
    part->route_hash = route_hash(host, prefix, part->prefix_length);
}

static void read_queue(json_object *value, const char *path, SharedQueue *part, Faults *faults)
{
    static const char *const KEYS[] = {"priority", "kind",   "rounds", "stretch", "targetMs", "expiryMs",
                                       "entry",    "tenant", "public", "note",    NULL};
    ConfigQueue *queue = &part->queue;
    if (!check_keys(faults, value, path, KEYS))
        return;
    queue->priority = check_int(faults, value, path, "priority", -1000, 1000, 0);
    queue->kind = talloc_strdup(part, check_name(faults, value, path, "kind", ""));
    queue->attempts = (uint64_t)check_int(faults, value, path, "rounds", 1, ATTEMPTS_MAX, 0);
    queue->stretch_milli = check_milli(faults, value, path, "stretch", 1, CONFIG_STRETCH_MAX * 1000, 0);
    queue->target_ms = check_int(faults, value, path, "targetMs", 0, CONFIG_SPAN_MAX_MS, 0);
    queue->timeout_ms = check_int(faults, value, path, "expiryMs", 1, CONFIG_SPAN_MAX_MS, 0);
    queue->tenant = talloc_strdup(part, check_name(faults, value, path, "tenant", ""));
    queue->is_public = check_bool(faults, value, path, "public", false);
    queue->note = talloc_strdup(part, check_text(faults, value, path, "note", CONFIG_NOTE_MAX));
    read_entry(value, path, part, faults);
}

const ConfigQueue *shared_queue_get(json_object *value, const char *name, const char *path, const ConfigQueue *earlier,
                                    Faults *faults)
{
    SharedQueue *part = earlier != NULL ? shared_queue_of(earlier) : NULL;
    if (part == NULL || part->source != value) {
        part = talloc_zero(NULL, SharedQueue);
        part->source = json_object_get(value);
        part->queue = (ConfigQueue){
            .name = talloc_strdup(part, name), .kind = "", .host = "", .prefix = "", .tenant = "", .note = ""};
        read_queue(value, check_path(faults, path, name), part, faults);
    }
    part->references++;
    return &part->queue;
}

void shared_queue_release(const ConfigQueue *queue)
{
    SharedQueue *part = shared_queue_of(queue);
    if (part == NULL || --part->references > 0)
        return;
    json_object_put(part->source);
    talloc_free(part);
}

/* --- policies -------------------------------------------------------------------- */

static SharedPolicy *shared_policy_of(const ConfigPolicy *policy)
{
    return (SharedPolicy *)(uintptr_t)policy;
}

static void read_policy(json_object *value, const char *path, SharedPolicy *part, Faults *faults)
{
    Failure failure = {0};
    const char *text = json_object_is_type(value, json_type_string) ? json_object_get_string(value) : NULL;
    if (text == NULL || strlen(text) != (size_t)json_object_get_string_len(value))
        fault_add(faults, STATUS_BAD_FIELD, path, "must be the source text of a program");
    else if (lua_policy_new(part, part->policy.name, text, &part->policy.lua, &failure) != STATUS_OK)
        fault_add(faults, STATUS_BAD_POLICY, path, "%s", failure.text);
}

const ConfigPolicy *shared_policy_get(json_object *value, const char *name, const char *path,
                                      const ConfigPolicy *earlier, Faults *faults)
{
    SharedPolicy *part = earlier != NULL ? shared_policy_of(earlier) : NULL;
    if (part == NULL || part->source != value) {
        part = talloc_zero(NULL, SharedPolicy);
        part->source = json_object_get(value);
        part->policy.name = talloc_strdup(part, name);
        read_policy(value, check_path(faults, path, name), part, faults);
    }
    part->references++;
    return &part->policy;
}

void shared_policy_release(const ConfigPolicy *policy)
{
    SharedPolicy *part = shared_policy_of(policy);
    if (part == NULL || --part->references > 0)
        return;
    json_object_put(part->source);
    talloc_free(part);
}
