#include "parts.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "entries.h"

/* --- queues -------------------------------------------------------------------- */

static QueuePart *partOfQueue(const ConfigQueue *queue)
{
    return (QueuePart *)(uintptr_t)queue;
}

static void readEntry(json_object *object, const char *path, QueuePart *part, Faults *faults)
{
    static const char *const KEYS[] = {"host", "prefix", NULL};
    json_object *value;
    if (!json_object_object_get_ex(object, "entry", &value))
        return;
    const char *here = checkPath(faults, path, "entry");
    if (!checkKeys(faults, value, here, KEYS))
        return;
    char *host = talloc_strdup(part, checkName(faults, value, here, "host", NULL));
    for (char *at = host; *at != '\0'; at++)
        *at = (char)tolower((unsigned char)*at);
    const char *prefix = checkText(faults, value, here, "prefix", CONFIG_PATH_MAX);
    if (prefix[0] != '/' || strpbrk(prefix, "?# ") != NULL)
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, here, "prefix"), "must be the beginning of a path: /...");
    if (strchr(host, ':') != NULL)
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, here, "host"), "must be a host without its port");
    part->queue.host = host;
    part->queue.prefix = talloc_strdup(part, prefix);
    part->prefixLength = strlen(prefix);
    part->entryHash = entryHash(host, prefix, part->prefixLength);
}

static void readQueue(json_object *value, const char *path, QueuePart *part, Faults *faults)
{
    static const char *const KEYS[] = {"priority", "kind",  "rounds", "stretch", "targetMs",
                                       "expiryMs", "entry", "tenant", "note",    NULL};
    ConfigQueue *queue = &part->queue;
    if (!checkKeys(faults, value, path, KEYS))
        return;
    queue->priority = checkInt(faults, value, path, "priority", -1000, 1000, 0);
    queue->kind = talloc_strdup(part, checkName(faults, value, path, "kind", ""));
    queue->rounds = (uint64_t)checkInt(faults, value, path, "rounds", 1, ROUNDS_MAX, 0);
    queue->stretch_milli = checkMilli(faults, value, path, "stretch", 1, CONFIG_STRETCH_MAX * 1000, 0);
    queue->target_ms = checkInt(faults, value, path, "targetMs", 0, CONFIG_SPAN_MAX_MS, 0);
    queue->expiry_ms = checkInt(faults, value, path, "expiryMs", 1, CONFIG_SPAN_MAX_MS, 0);
    queue->tenant = talloc_strdup(part, checkName(faults, value, path, "tenant", ""));
    queue->note = talloc_strdup(part, checkText(faults, value, path, "note", CONFIG_NOTE_MAX));
    readEntry(value, path, part, faults);
}

const ConfigQueue *queuePart(json_object *value, const char *name, const char *path, const ConfigQueue *earlier,
                             Faults *faults)
{
    QueuePart *part = earlier != NULL ? partOfQueue(earlier) : NULL;
    if (part == NULL || part->from != value) {
        part = talloc_zero(NULL, QueuePart);
        part->from = json_object_get(value);
        part->queue = (ConfigQueue){
            .name = talloc_strdup(part, name), .kind = "", .host = "", .prefix = "", .tenant = "", .note = ""};
        readQueue(value, checkPath(faults, path, name), part, faults);
    }
    part->users++;
    return &part->queue;
}

void queuePartLeave(const ConfigQueue *queue)
{
    QueuePart *part = partOfQueue(queue);
    if (part == NULL || --part->users > 0)
        return;
    json_object_put(part->from);
    talloc_free(part);
}

/* --- policies -------------------------------------------------------------------- */

static PolicyPart *partOfPolicy(const ConfigPolicy *policy)
{
    return (PolicyPart *)(uintptr_t)policy;
}

static void readPolicy(json_object *value, const char *path, PolicyPart *part, Faults *faults)
{
    Failure failure = {0};
    const char *text = json_object_is_type(value, json_type_string) ? json_object_get_string(value) : NULL;
    if (text == NULL || strlen(text) != (size_t)json_object_get_string_len(value))
        faultAdd(faults, STATUS_BAD_FIELD, path, "must be the text of a program");
    else if (luaPolicyNew(part, part->policy.name, text, &part->policy.lua, &failure) != STATUS_OK)
        faultAdd(faults, STATUS_BAD_POLICY, path, "%s", failure.text);
}

const ConfigPolicy *policyPart(json_object *value, const char *name, const char *path, const ConfigPolicy *earlier,
                               Faults *faults)
{
    PolicyPart *part = earlier != NULL ? partOfPolicy(earlier) : NULL;
    if (part == NULL || part->from != value) {
        part = talloc_zero(NULL, PolicyPart);
        part->from = json_object_get(value);
        part->policy.name = talloc_strdup(part, name);
        readPolicy(value, checkPath(faults, path, name), part, faults);
    }
    part->users++;
    return &part->policy;
}

void policyPartLeave(const ConfigPolicy *policy)
{
    PolicyPart *part = partOfPolicy(policy);
    if (part == NULL || --part->users > 0)
        return;
    json_object_put(part->from);
    talloc_free(part);
}
