#include "config/config.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
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

static void readQueues(void *mem, json_object *object, const char *path, ConfigCell *cell, Faults *faults)
{
    static const char *const KEYS[] = {"priority", NULL};
    json_object *all = named(faults, object, path, "queues", &cell->queueCount);
    ConfigQueue *queues = talloc_zero_array(mem, ConfigQueue, (unsigned)cell->queueCount);
    size_t at = 0;
    if (all != NULL) {
        json_object_object_foreach(all, name, value) {
            const char *here = checkPath(faults, checkPath(faults, path, "queues"), name);
            queues[at].name = talloc_strdup(mem, name);
            if (checkKeys(faults, value, here, KEYS))
                queues[at].priority = checkInt(faults, value, here, "priority", -1000, 1000, 0);
            at++;
        }
    }
    cell->queues = queues;
}

static void readCell(void *mem, json_object *value, const char *path, ConfigCell *cell, Faults *faults)
{
    static const char *const KEYS[] = {"share", "limit", "policy", "tenants", "queues", NULL};
    if (!checkKeys(faults, value, path, KEYS))
        return;
    cell->share = (uint64_t)checkInt(faults, value, path, "share", 1, 1000, 1);
    cell->limit = (uint64_t)checkInt(faults, value, path, "limit", 1, 1000000, QUEUE_LIMIT_DEFAULT);
    cell->policy = talloc_strdup(mem, checkName(faults, value, path, "policy", ""));
    readTenants(mem, value, path, cell, faults);
    readQueues(mem, value, path, cell, faults);
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
    static const char *const KEYS[] = {"r", "zoneLoss", "rackLoss", "cells", "policies", NULL};
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
    if (checkKeys(faults, object, "", KEYS)) {
        config->r = (uint64_t)checkInt(faults, object, "", "r", 0, PLAN_R_MAX, 1);
        config->zoneLoss = checkFlag(faults, object, "", "zoneLoss", false);
        config->rackLoss = checkFlag(faults, object, "", "rackLoss", false);
        readPolicies(config, object, config, faults);
        json_object *cells = named(faults, object, "", "cells", &config->cellCount);
        ConfigCell *list = talloc_zero_array(config, ConfigCell, (unsigned)config->cellCount);
        config->cells = list;
        size_t at = 0;
        if (cells != NULL) {
            json_object_object_foreach(cells, name, value) {
                const char *path = checkPath(faults, "cells", name);
                list[at].name = talloc_strdup(config, name);
                list[at].policy = "";
                readCell(config, value, path, &list[at], faults);
                if (list[at].policy[0] != '\0' && configPolicy(config, list[at].policy) == NULL)
                    faultAdd(faults, STATUS_BAD_FIELD, checkPath(faults, path, "policy"), "there is no policy %s",
                             list[at].policy);
                at++;
            }
        }
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
    for (size_t i = 0; i < config->cellCount; i++)
        if (strcmp(config->cells[i].name, name) == 0)
            return &config->cells[i];
    return NULL;
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
    for (size_t i = 0; i < cell->queueCount; i++)
        if (strcmp(cell->queues[i].name, name) == 0)
            return &cell->queues[i];
    return NULL;
}

const ConfigPolicy *configPolicy(const Config *config, const char *name)
{
    for (size_t i = 0; i < config->policyCount; i++)
        if (config->policies[i].name != NULL && strcmp(config->policies[i].name, name) == 0)
            return &config->policies[i];
    return NULL;
}
