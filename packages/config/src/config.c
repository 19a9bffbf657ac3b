#include "config/config.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "entries.h"
#include "policy/lua.h"

const char *configFirstText(void)
{
    return "{\"r\":1,\"zoneLoss\":false,\"cells\":{},\"policies\":{}}";
}

/* The objects under a key, by name. Faults in names are told. */
static json_object *named(Faults *faults, json_object *object, const char *path, const char *key, size_t *count)
{
    json_object *value;
    *count = 0;
    if (!json_object_object_get_ex(object, key, &value))
        return NULL;
    if (!json_object_is_type(value, json_type_object)) {
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, path, key), "must be an object");
        return NULL;
    }
    json_object_object_foreach(value, name, one) {
        (void)one;
        if (!checkNameText(name))
            faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, checkPath(faults, path, key), name),
                     "is not a name of 1 to %d letters, digits or ._:-", ID_MAX);
    }
    *count = (size_t)json_object_object_length(value);
    return value;
}

static void readTenants(void *mem, json_object *object, const char *path, ConfigCell *cell, Faults *faults)
{
    static const char *const KEYS[] = {"quota", NULL};
    json_object *all = named(faults, object, path, "tenants", &cell->tenantCount);
    ConfigTenant *tenants = talloc_zero_array(mem, ConfigTenant, (unsigned)cell->tenantCount);
    size_t at = 0;
    if (all != NULL) {
        json_object_object_foreach(all, name, value) {
            const char *here = checkPath(faults, checkPath(faults, path, "tenants"), name);
            tenants[at].name = talloc_strdup(mem, name);
            if (checkKeys(faults, value, here, KEYS))
                tenants[at].quota = checkRoom(faults, value, here, "quota", false);
            at++;
        }
    }
    cell->tenants = tenants;
}

static void readEntry(void *mem, json_object *object, const char *path, ConfigQueue *queue, Faults *faults)
{
    static const char *const KEYS[] = {"host", "prefix", NULL};
    json_object *value;
    if (!json_object_object_get_ex(object, "entry", &value))
        return;
    const char *here = checkPath(faults, path, "entry");
    if (!checkKeys(faults, value, here, KEYS))
        return;
    char *host = talloc_strdup(mem, checkName(faults, value, here, "host", NULL));
    for (char *at = host; *at != '\0'; at++)
        *at = (char)tolower((unsigned char)*at);
    const char *prefix = checkText(faults, value, here, "prefix", CONFIG_PATH_MAX);
    if (prefix[0] != '/' || strpbrk(prefix, "?# ") != NULL)
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, here, "prefix"), "must be the beginning of a path: /...");
    if (strchr(host, ':') != NULL)
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, here, "host"), "must be a host without its port");
    queue->host = host;
    queue->prefix = talloc_strdup(mem, prefix);
}

static ConfigQueue *readQueue(void *mem, json_object *value, const char *name, const char *path, Faults *faults)
{
    static const char *const KEYS[] = {"priority", "kind",  "rounds", "stretch", "targetMs", "expiryMs",
                                       "entry",    "tenant", "note",   NULL};
    ConfigQueue *queue = talloc_zero(mem, ConfigQueue);
    *queue = (ConfigQueue){.name = talloc_strdup(queue, name), .kind = "", .host = "", .prefix = "", .tenant = "", .note = ""};
    if (!checkKeys(faults, value, path, KEYS))
        return queue;
    queue->priority = checkInt(faults, value, path, "priority", -1000, 1000, 0);
    queue->kind = talloc_strdup(queue, checkName(faults, value, path, "kind", ""));
    queue->rounds = (uint64_t)checkInt(faults, value, path, "rounds", 1, ROUNDS_MAX, 0);
    queue->stretchMilli = checkMilli(faults, value, path, "stretch", 1, CONFIG_STRETCH_MAX * 1000, 0);
    queue->targetMs = checkInt(faults, value, path, "targetMs", 0, CONFIG_SPAN_MAX_MS, 0);
    queue->expiryMs = checkInt(faults, value, path, "expiryMs", 1, CONFIG_SPAN_MAX_MS, 0);
    queue->tenant = talloc_strdup(queue, checkName(faults, value, path, "tenant", ""));
    queue->note = talloc_strdup(queue, checkText(faults, value, path, "note", CONFIG_NOTE_MAX));
    readEntry(queue, value, path, queue, faults);
    return queue;
}

static void readQueues(void *mem, json_object *object, const char *path, ConfigCell *cell, Faults *faults)
{
    json_object *all = named(faults, object, path, "queues", &cell->queueCount);
    const ConfigQueue **queues = talloc_array(mem, const ConfigQueue *, (unsigned)cell->queueCount);
    const char *here = checkPath(faults, path, "queues");
    size_t at = 0;
    if (all != NULL) {
        json_object_object_foreach(all, name, value) {
            queues[at] = readQueue(mem, value, name, checkPath(faults, here, name), faults);
            g_hash_table_insert(cell->queueNames, (gpointer)(uintptr_t)queues[at]->name, (gpointer)(uintptr_t)queues[at]);
            at++;
        }
    }
    cell->queues = queues;
}

static void readCell(Config *config, json_object *value, const char *path, ConfigCell *cell, Faults *faults)
{
    static const char *const KEYS[] = {"share", "limit", "policy", "strict", "tenants", "queues", NULL};
    if (!checkKeys(faults, value, path, KEYS))
        return;
    cell->share = (uint64_t)checkInt(faults, value, path, "share", 1, 1000, 1);
    cell->limit = (uint64_t)checkInt(faults, value, path, "limit", 1, 1000000, QUEUE_LIMIT_DEFAULT);
    cell->policy = talloc_strdup(config, checkName(faults, value, path, "policy", ""));
    cell->strict = checkFlag(faults, value, path, "strict", true);
    readTenants(config, value, path, cell, faults);
    readQueues(config, value, path, cell, faults);
}

static void readCells(Config *config, json_object *object, Faults *faults)
{
    json_object *all = named(faults, object, "", "cells", &config->cellCount);
    ConfigCell *cells = talloc_zero_array(config, ConfigCell, (unsigned)config->cellCount);
    config->cells = cells;
    for (size_t i = 0; i < config->cellCount; i++)
        cells[i].queueNames = g_hash_table_new(g_str_hash, g_str_equal);
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value) {
        ConfigCell *cell = &cells[at++];
        cell->name = talloc_strdup(config, name);
        cell->policy = "";
        g_hash_table_insert(config->cellNames, (gpointer)(uintptr_t)cell->name, cell);
        readCell(config, value, checkPath(faults, "cells", name), cell, faults);
    }
}

static void readKinds(Config *config, json_object *object, Faults *faults)
{
    static const char *const KEYS[] = {"guards", "healthPath", "note", NULL};
    json_object *all = named(faults, object, "", "kinds", &config->kindCount);
    ConfigKind *kinds = talloc_zero_array(config, ConfigKind, (unsigned)config->kindCount);
    config->kinds = kinds;
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value) {
        const char *path = checkPath(faults, checkPath(faults, "", "kinds"), name);
        ConfigKind *kind = &kinds[at++];
        *kind = (ConfigKind){.name = talloc_strdup(config, name), .healthPath = "", .note = ""};
        if (!checkKeys(faults, value, path, KEYS))
            continue;
        kind->guards = checkFlag(faults, value, path, "guards", false);
        kind->healthPath = talloc_strdup(config, checkText(faults, value, path, "healthPath", CONFIG_PATH_MAX));
        kind->note = talloc_strdup(config, checkText(faults, value, path, "note", CONFIG_NOTE_MAX));
    }
}

static void readLimits(Config *config, json_object *object, Faults *faults)
{
    static const char *const KEYS[] = {"headBytes", "bodyBytes", "headMs", "idleMs", NULL};
    json_object *value;
    if (!json_object_object_get_ex(object, "limits", &value) || !checkKeys(faults, value, "limits", KEYS))
        return;
    config->limits.headBytes = (uint64_t)checkInt(faults, value, "limits", "headBytes", 1, CONFIG_BYTES_MAX, 0);
    config->limits.bodyBytes = (uint64_t)checkInt(faults, value, "limits", "bodyBytes", 1, CONFIG_BYTES_MAX, 0);
    config->limits.headMs = checkInt(faults, value, "limits", "headMs", 1, CONFIG_SPAN_MAX_MS, 0);
    config->limits.idleMs = checkInt(faults, value, "limits", "idleMs", 1, CONFIG_SPAN_MAX_MS, 0);
}

/* What names something elsewhere in the document. */
static void checkCell(const Config *config, const ConfigCell *cell, bool kindsGiven, Faults *faults)
{
    const char *path = talloc_asprintf(faults->mem, "cells.%s", cell->name);
    if (cell->policy[0] != '\0' && configPolicy(config, cell->policy) == NULL)
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, path, "policy"), "there is no policy %s", cell->policy);
    for (size_t i = 0; i < cell->queueCount; i++) {
        const ConfigQueue *queue = cell->queues[i];
        if (queue->kind[0] != '\0' && kindsGiven && configKind(config, queue->kind) == NULL)
            faultAdd(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "%s.queues.%s.kind", path, queue->name),
                     "there is no kind %s", queue->kind);
        if (queue->tenant[0] != '\0' && configTenant(cell, queue->tenant) == NULL)
            faultAdd(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "%s.queues.%s.tenant", path, queue->name),
                     "the cell has no tenant %s", queue->tenant);
    }
}

/* All cells' entries; the same host and prefix twice is a fault of the later one. */
static void enterCells(Config *config, Faults *faults)
{
    size_t count = 0;
    for (size_t i = 0; i < config->cellCount; i++)
        count += config->cells[i].queueCount;
    ConfigEntries *entries = entriesNew(config, count);
    config->entries = entries;
    for (size_t i = 0; i < config->cellCount; i++) {
        const ConfigCell *cell = &config->cells[i];
        const char *first = cell->tenantCount > 0 ? cell->tenants[0].name : "";
        for (size_t k = 0; k < cell->queueCount; k++) {
            const ConfigQueue *queue = cell->queues[k], *known;
            const ConfigPlace place = {cell, queue, queue->tenant[0] != '\0' ? queue->tenant : first, strlen(queue->prefix)};
            const ConfigPlace *other;
            if (queue->host[0] == '\0' || entriesAdd(entries, &place, &other))
                continue;
            known = other->queue;
            faultAdd(faults, STATUS_BAD_FIELD,
                     talloc_asprintf(faults->mem, "cells.%s.queues.%s.entry", cell->name, queue->name),
                     "queue %s of cell %s has this host and prefix", known->name, other->cell->name);
        }
    }
}

static int configFree(Config *config)
{
    g_hash_table_destroy(config->cellNames);
    for (size_t i = 0; i < config->cellCount; i++)
        g_hash_table_destroy(config->cells[i].queueNames);
    return 0;
}

static void readPolicies(void *mem, json_object *object, Config *config, Faults *faults)
{
    json_object *all = named(faults, object, "", "policies", &config->policyCount);
    ConfigPolicy *policies = talloc_zero_array(mem, ConfigPolicy, (unsigned)config->policyCount);
    size_t at = 0;
    if (all != NULL) {
        json_object_object_foreach(all, name, value) {
            LuaPolicy *tried;
            Mishap mishap = {0};
            if (!json_object_is_type(value, json_type_string))
                faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, "policies", name), "must be the text of a program");
            else if (luaPolicyNew(config, name, json_object_get_string(value), &tried, &mishap) != STATUS_OK)
                faultAdd(faults, STATUS_BAD_POLICY, checkPath(faults, "policies", name), "%s", mishap.text);
            else
                policies[at] = (ConfigPolicy){talloc_strdup(mem, name), talloc_strdup(mem, json_object_get_string(value))};
            at++;
        }
    }
    config->policies = policies;
}

const Config *configRead(void *mem, const char *text, size_t count, uint64_t revision, Faults *faults)
{
    static const char *const KEYS[] = {"r",     "zoneLoss", "rackLoss", "cells", "policies",
                                       "kinds", "limits",   "note",     NULL};
    if (count > CONFIG_BODY_MAX) {
        faultAdd(faults, STATUS_TOO_LARGE, "", "a configuration has at most %d bytes", CONFIG_BODY_MAX);
        return NULL;
    }
    const size_t before = faults->seen;
    json_object *object = checkParse(faults, text, count);
    if (object == NULL)
        return NULL;
    Config *config = talloc_zero(mem, Config);
    config->revision = revision;
    config->note = "";
    config->cellNames = g_hash_table_new(g_str_hash, g_str_equal);
    talloc_set_destructor(config, configFree);
    if (checkKeys(faults, object, "", KEYS)) {
        config->r = (uint64_t)checkInt(faults, object, "", "r", 0, PLAN_R_MAX, 1);
        config->zoneLoss = checkFlag(faults, object, "", "zoneLoss", false);
        config->rackLoss = checkFlag(faults, object, "", "rackLoss", false);
        config->note = talloc_strdup(config, checkText(faults, object, "", "note", CONFIG_NOTE_MAX));
        readPolicies(config, object, config, faults);
        readKinds(config, object, faults);
        readLimits(config, object, faults);
        readCells(config, object, faults);
        const bool kindsGiven = json_object_object_get_ex(object, "kinds", NULL);
        for (size_t i = 0; i < config->cellCount; i++)
            checkCell(config, &config->cells[i], kindsGiven, faults);
        enterCells(config, faults);
    }
    json_object_put(object);
    if (faults->seen == before)
        return config;
    talloc_free(config);
    return NULL;
}

static json_object *merged(json_object *target, json_object *patch)
{
    if (!json_object_is_type(patch, json_type_object))
        return json_object_get(patch);
    json_object *result = json_object_new_object();
    if (json_object_is_type(target, json_type_object)) {
        json_object_object_foreach(target, key, value)
            json_object_object_add(result, key, json_object_get(value));
    }
    json_object_object_foreach(patch, name, change) {
        if (change == NULL) {
            json_object_object_del(result, name);
            continue;
        }
        json_object *old = NULL;
        json_object_object_get_ex(result, name, &old);
        json_object_object_add(result, name, merged(old, change));
    }
    return result;
}

const char *configPatch(void *mem, const char *text, const char *patchText, size_t patchCount, Faults *faults)
{
    json_object *patch = checkParse(faults, patchText, patchCount);
    if (patch == NULL)
        return NULL;
    if (!json_object_is_type(patch, json_type_object)) {
        faultAdd(faults, STATUS_BAD_JSON, "", "a patch must be an object");
        json_object_put(patch);
        return NULL;
    }
    json_object *target = json_tokener_parse(text);
    json_object *result = merged(target, patch);
    const char *out = talloc_strdup(mem, json_object_to_json_string_ext(result, JSON_C_TO_STRING_PLAIN));
    json_object_put(result);
    json_object_put(target);
    json_object_put(patch);
    return out;
}

const ConfigCell *configCell(const Config *config, const char *name)
{
    return g_hash_table_lookup(config->cellNames, name);
}

const ConfigTenant *configTenant(const ConfigCell *cell, const char *name)
{
    for (size_t i = 0; i < cell->tenantCount; i++)
        if (strcmp(cell->tenants[i].name, name) == 0)
            return &cell->tenants[i];
    return NULL;
}

const ConfigQueue *configQueue(const ConfigCell *cell, const char *name)
{
    return g_hash_table_lookup(cell->queueNames, name);
}

const ConfigKind *configKind(const Config *config, const char *name)
{
    for (size_t i = 0; i < config->kindCount; i++)
        if (strcmp(config->kinds[i].name, name) == 0)
            return &config->kinds[i];
    return NULL;
}

const ConfigPlace *configEntry(const Config *config, const char *host, const char *path)
{
    return entriesFind(config->entries, host, path);
}

const ConfigPolicy *configPolicy(const Config *config, const char *name)
{
    for (size_t i = 0; i < config->policyCount; i++)
        if (config->policies[i].name != NULL && strcmp(config->policies[i].name, name) == 0)
            return &config->policies[i];
    return NULL;
}
