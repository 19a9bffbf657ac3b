#include "config/config.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "document/document.h"
#include "entries.h"
#include "parts.h"

const char *configFirstText(void)
{
    return "{\"r\":1,\"zoneLoss\":false,\"cells\":{},\"policies\":{}}";
}

/* One reading. */
typedef struct Reading {
    Config *config;
    const Config *earlier; /* may be null */
    Faults *faults;
} Reading;

static void checkNamed(Faults *faults, const char *name, const char *path, const char *key)
{
    if (!checkNameText(name))
        faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, checkPath(faults, path, key), name),
                 "is not a name of 1 to %d letters, digits or ._:-", ID_MAX);
}

/* The objects under a key, by name. */
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
    *count = (size_t)json_object_object_length(value);
    return value;
}

/* --- cells ------------------------------------------------------------------------ */

static void readTenants(Config *config, json_object *object, const char *path, ConfigCell *cell, Faults *faults)
{
    static const char *const KEYS[] = {"quota", NULL};
    json_object *all = named(faults, object, path, "tenants", &cell->tenantCount);
    ConfigTenant *tenants = talloc_zero_array(config, ConfigTenant, (unsigned)cell->tenantCount);
    cell->tenants = tenants;
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const char *here = checkPath(faults, checkPath(faults, path, "tenants"), name);
        checkNamed(faults, name, path, "tenants");
        tenants[at].name = talloc_strdup(config, name);
        if (checkKeys(faults, value, here, KEYS))
            tenants[at].quota = checkRoom(faults, value, here, "quota", false);
        at++;
    }
}

static void readQueues(const Reading *reading, json_object *object, const char *path, ConfigCell *cell)
{
    json_object *all = named(reading->faults, object, path, "queues", &cell->queueCount);
    const ConfigQueue **queues = talloc_zero_array(reading->config, const ConfigQueue *, (unsigned)cell->queueCount);
    cell->queues = queues;
    if (all == NULL)
        return;
    const ConfigCell *earlier = reading->earlier != NULL ? configCell(reading->earlier, cell->name) : NULL;
    const char *here = checkPath(reading->faults, path, "queues");
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const ConfigQueue *known = earlier != NULL ? configQueue(earlier, name) : NULL;
        if (known == NULL)
            checkNamed(reading->faults, name, path, "queues");
        const ConfigQueue *queue = queues[at++] = queuePart(value, name, here, known, reading->faults);
        g_hash_table_insert(cell->queueNames, (gpointer)(uintptr_t)queue->name, (gpointer)(uintptr_t)queue);
    }
}

static void readCell(const Reading *reading, json_object *value, const char *path, ConfigCell *cell)
{
    static const char *const KEYS[] = {"share", "limit", "policy", "strict", "tenants", "queues", NULL};
    Faults *faults = reading->faults;
    if (!checkKeys(faults, value, path, KEYS))
        return;
    cell->share = (uint64_t)checkInt(faults, value, path, "share", 1, 1000, 1);
    cell->limit = (uint64_t)checkInt(faults, value, path, "limit", 1, 1000000, QUEUE_LIMIT_DEFAULT);
    cell->policy = talloc_strdup(reading->config, checkName(faults, value, path, "policy", ""));
    cell->strict = checkFlag(faults, value, path, "strict", true);
    readTenants(reading->config, value, path, cell, faults);
    readQueues(reading, value, path, cell);
}

static void readCells(const Reading *reading, json_object *object)
{
    Config *config = reading->config;
    json_object *all = named(reading->faults, object, "", "cells", &config->cellCount);
    ConfigCell *cells = talloc_zero_array(config, ConfigCell, (unsigned)config->cellCount);
    config->cells = cells;
    for (size_t i = 0; i < config->cellCount; i++) {
        cells[i].name = cells[i].policy = "";
        cells[i].queueNames = g_hash_table_new(g_str_hash, g_str_equal);
    }
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        ConfigCell *cell = &cells[at++];
        cell->name = talloc_strdup(config, name);
        checkNamed(reading->faults, name, "", "cells");
        g_hash_table_insert(config->cellNames, (gpointer)(uintptr_t)cell->name, cell);
        readCell(reading, value, checkPath(reading->faults, "cells", name), cell);
    }
}

/* --- what stands beside the cells ------------------------------------------------------ */

static void readPolicies(const Reading *reading, json_object *object)
{
    Config *config = reading->config;
    json_object *all = named(reading->faults, object, "", "policies", &config->policyCount);
    const ConfigPolicy **policies = talloc_zero_array(config, const ConfigPolicy *, (unsigned)config->policyCount);
    config->policies = policies;
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const ConfigPolicy *known = reading->earlier != NULL ? configPolicy(reading->earlier, name) : NULL;
        checkNamed(reading->faults, name, "", "policies");
        policies[at++] = policyPart(value, name, "policies", known, reading->faults);
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
    json_object_object_foreach(all, name, value)
    {
        const char *path = checkPath(faults, "kinds", name);
        ConfigKind *kind = &kinds[at++];
        checkNamed(faults, name, "", "kinds");
        *kind = (ConfigKind){.name = talloc_strdup(config, name), .healthPath = "", .note = ""};
        g_hash_table_insert(config->kindNames, (gpointer)(uintptr_t)kind->name, kind);
        if (!checkKeys(faults, value, path, KEYS))
            continue;
        kind->guards = checkFlag(faults, value, path, "guards", false);
        kind->healthPath = talloc_strdup(config, checkText(faults, value, path, "healthPath", CONFIG_PATH_MAX));
        kind->note = talloc_strdup(config, checkText(faults, value, path, "note", CONFIG_NOTE_MAX));
    }
}

static void readLimits(ConfigLimits *limits, json_object *object, Faults *faults)
{
    static const char *const KEYS[] = {"headBytes", "bodyBytes", "headMs", "idleMs", NULL};
    json_object *value;
    if (!json_object_object_get_ex(object, "limits", &value) || !checkKeys(faults, value, "limits", KEYS))
        return;
    limits->head_bytes = (uint64_t)checkInt(faults, value, "limits", "headBytes", 1, CONFIG_BYTES_MAX, 0);
    limits->body_bytes = (uint64_t)checkInt(faults, value, "limits", "bodyBytes", 1, CONFIG_BYTES_MAX, 0);
    limits->head_ms = checkInt(faults, value, "limits", "headMs", 1, CONFIG_SPAN_MAX_MS, 0);
    limits->idle_ms = checkInt(faults, value, "limits", "idleMs", 1, CONFIG_SPAN_MAX_MS, 0);
}

/* --- what names something elsewhere in the document ------------------------------------ */

static void checkQueue(const Config *config, const ConfigCell *cell, const ConfigQueue *queue, bool kindsGiven,
                       Faults *faults)
{
    if (queue->kind[0] != '\0' && kindsGiven && configKind(config, queue->kind) == NULL)
        faultAdd(faults, STATUS_BAD_FIELD,
                 talloc_asprintf(faults->mem, "cells.%s.queues.%s.kind", cell->name, queue->name),
                 "there is no kind %s", queue->kind);
    if (queue->tenant[0] != '\0' && configTenant(cell, queue->tenant) == NULL)
        faultAdd(faults, STATUS_BAD_FIELD,
                 talloc_asprintf(faults->mem, "cells.%s.queues.%s.tenant", cell->name, queue->name),
                 "the cell has no tenant %s", queue->tenant);
}

/* The same host and prefix twice is a fault of the later one. */
static void enterQueue(ConfigEntries *entries, const ConfigCell *cell, const ConfigQueue *queue, Faults *faults)
{
    const QueuePart *part = (const QueuePart *)queue;
    const char *first = cell->tenantCount > 0 ? cell->tenants[0].name : "";
    const ConfigPlace place = {cell, queue, queue->tenant[0] != '\0' ? queue->tenant : first, part->prefixLength};
    const ConfigPlace *other;
    if (queue->host[0] != '\0' && !entriesAdd(entries, &place, part->entryHash, &other))
        faultAdd(faults, STATUS_BAD_FIELD,
                 talloc_asprintf(faults->mem, "cells.%s.queues.%s.entry", cell->name, queue->name),
                 "queue %s of cell %s has this host and prefix", other->queue->name, other->cell->name);
}

static void checkCells(const Reading *reading, json_object *tree)
{
    Config *config = reading->config;
    const bool kindsGiven = json_object_object_get_ex(tree, "kinds", NULL);
    size_t count = 0;
    for (size_t i = 0; i < config->cellCount; i++)
        count += config->cells[i].queueCount;
    ConfigEntries *entries = entriesNew(config, count);
    config->entries = entries;
    for (size_t i = 0; i < config->cellCount; i++) {
        const ConfigCell *cell = &config->cells[i];
        if (cell->policy[0] != '\0' && configPolicy(config, cell->policy) == NULL)
            faultAdd(reading->faults, STATUS_BAD_FIELD,
                     talloc_asprintf(reading->faults->mem, "cells.%s.policy", cell->name), "there is no policy %s",
                     cell->policy);
        for (size_t k = 0; k < cell->queueCount && cell->queues[k] != NULL; k++) {
            checkQueue(config, cell, cell->queues[k], kindsGiven, reading->faults);
            enterQueue(entries, cell, cell->queues[k], reading->faults);
        }
    }
}

/* --- the whole ------------------------------------------------------------------------ */

static int configFree(Config *config)
{
    for (size_t i = 0; i < config->cellCount; i++) {
        for (size_t k = 0; k < config->cells[i].queueCount; k++)
            queuePartLeave(config->cells[i].queues[k]);
        g_hash_table_destroy(config->cells[i].queueNames);
    }
    for (size_t i = 0; i < config->policyCount; i++)
        policyPartLeave(config->policies[i]);
    g_hash_table_destroy(config->cellNames);
    g_hash_table_destroy(config->kindNames);
    json_object_put(config->tree);
    return 0;
}

const Config *configBuild(void *mem, json_object *tree, uint64_t revision, const Config *earlier, Faults *faults)
{
    static const char *const KEYS[] = {"r",     "zoneLoss", "rackLoss", "cells", "policies",
                                       "kinds", "limits",   "note",     NULL};
    const size_t before = faults->seen;
    Config *config = talloc_zero(mem, Config);
    config->revision = revision;
    config->tree = json_object_get(tree);
    config->note = "";
    config->cellNames = g_hash_table_new(g_str_hash, g_str_equal);
    config->kindNames = g_hash_table_new(g_str_hash, g_str_equal);
    talloc_set_destructor(config, configFree);
    const Reading reading = {config, earlier, faults};
    if (checkKeys(faults, tree, "", KEYS)) {
        config->rNamed = json_object_object_get_ex(tree, "r", NULL);
        config->r = (uint64_t)checkInt(faults, tree, "", "r", 0, PLAN_R_MAX, 1);
        config->zoneLoss = checkFlag(faults, tree, "", "zoneLoss", false);
        config->rackLoss = checkFlag(faults, tree, "", "rackLoss", false);
        config->note = talloc_strdup(config, checkText(faults, tree, "", "note", CONFIG_NOTE_MAX));
        readPolicies(&reading, tree);
        readKinds(config, tree, faults);
        readLimits(&config->limits, tree, faults);
        readCells(&reading, tree);
        checkCells(&reading, tree);
    }
    if (faults->seen == before)
        return config;
    talloc_free(config);
    return NULL;
}

const Config *configRead(void *mem, const char *text, size_t count, uint64_t revision, Faults *faults)
{
    if (count > CONFIG_BODY_MAX) {
        faultAdd(faults, STATUS_TOO_LARGE, "", "a configuration has at most %d bytes", CONFIG_BODY_MAX);
        return NULL;
    }
    json_object *tree = checkParse(faults, text, count);
    if (tree == NULL)
        return NULL;
    const Config *config = configBuild(mem, tree, revision, NULL, faults);
    json_object_put(tree);
    return config;
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
    json_object *tree = document_parse(text);
    json_object *result = document_merged(tree, patch);
    const char *out = document_text(mem, result);
    json_object_put(result);
    json_object_put(tree);
    json_object_put(patch);
    return out;
}

/* --- finding ---------------------------------------------------------------------------- */

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
    return g_hash_table_lookup(config->kindNames, name);
}

const ConfigPlace *configEntry(const Config *config, const char *host, const char *path)
{
    return entriesFind(config->entries, host, path);
}

const ConfigPolicy *configPolicy(const Config *config, const char *name)
{
    for (size_t i = 0; i < config->policyCount; i++)
        if (config->policies[i] != NULL && strcmp(config->policies[i]->name, name) == 0)
            return config->policies[i];
    return NULL;
}
