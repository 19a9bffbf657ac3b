/* One version of the configuration: reading, patching and look-ups. */
#include "config/config.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "document/document.h"
#include "config_routes.h"
#include "keys.h"
#include "shared_parts.h"
#include "reader.h"

const char *config_default_text(void)
{
    return "{\"r\":1,\"zoneLoss\":false,\"cells\":{},\"policies\":{}}";
}

void check_member_name(Faults *faults, const char *name, const char *path, const char *key)
{
    if (!is_valid_name(name))
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, check_path(faults, path, key), name),
                  "is not a name of 1 to %d letters, digits or ._:-", ID_MAX);
}

json_object *read_members(Faults *faults, json_object *object, const char *path, const char *key, size_t *count)
{
    json_object *value;
    *count = 0;
    if (!json_object_object_get_ex(object, key, &value))
        return NULL;
    if (!json_object_is_type(value, json_type_object)) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "must be an object");
        return NULL;
    }
    *count = (size_t)json_object_object_length(value);
    return value;
}

/* --- policies, kinds and limits ------------------------------------------------------ */

static void read_policies(const ConfigReader *reader, json_object *object)
{
    Config *config = reader->config;
    json_object *all = read_members(reader->faults, object, "", "policies", &config->policy_count);
    const ConfigPolicy **policies = talloc_zero_array(config, const ConfigPolicy *, (unsigned)config->policy_count);
    config->policies = policies;
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const ConfigPolicy *known = reader->earlier != NULL ? config_policy(reader->earlier, name) : NULL;
        check_member_name(reader->faults, name, "", "policies");
        policies[at++] = shared_policy_get(value, name, "policies", known, reader->faults);
    }
}

static void read_kinds(Config *config, json_object *object, Faults *faults)
{
    static const char *const KEYS[] = {"guards", "healthPath", "note", NULL};
    json_object *all = read_members(faults, object, "", "kinds", &config->kind_count);
    ConfigKind *kinds = talloc_zero_array(config, ConfigKind, (unsigned)config->kind_count);
    config->kinds = kinds;
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const char *path = check_path(faults, "kinds", name);
        ConfigKind *kind = &kinds[at++];
        check_member_name(faults, name, "", "kinds");
        *kind = (ConfigKind){.name = talloc_strdup(config, name), .health_path = "", .note = ""};
        g_hash_table_insert(config->kind_names, (gpointer)(uintptr_t)kind->name, kind);
        if (!check_keys(faults, value, path, KEYS))
            continue;
        kind->guards = check_bool(faults, value, path, "guards", false);
        kind->health_path = talloc_strdup(config, check_text(faults, value, path, "healthPath", CONFIG_PATH_MAX));
        kind->note = talloc_strdup(config, check_text(faults, value, path, "note", CONFIG_NOTE_MAX));
    }
}

static void read_limits(ConfigLimits *limits, json_object *object, Faults *faults)
{
    static const char *const KEYS[] = {"headBytes", "bodyBytes", "headMs", "idleMs", NULL};
    json_object *value;
    if (!json_object_object_get_ex(object, "limits", &value) || !check_keys(faults, value, "limits", KEYS))
        return;
    limits->head_bytes = (uint64_t)check_int(faults, value, "limits", "headBytes", 1, CONFIG_BYTES_MAX, 0);
    limits->body_bytes = (uint64_t)check_int(faults, value, "limits", "bodyBytes", 1, CONFIG_BYTES_MAX, 0);
    limits->head_ms = check_int(faults, value, "limits", "headMs", 1, CONFIG_SPAN_MAX_MS, 0);
    limits->idle_ms = check_int(faults, value, "limits", "idleMs", 1, CONFIG_SPAN_MAX_MS, 0);
}

/* --- the entire document --------------------------------------------------------------- */

static int config_free(Config *config)
{
    for (size_t i = 0; i < config->cell_count; i++) {
        for (size_t k = 0; k < config->cells[i].queue_count; k++)
            shared_queue_release(config->cells[i].queues[k]);
        g_hash_table_destroy(config->cells[i].queue_names);
        g_hash_table_destroy(config->cells[i].tenant_names);
    }
    for (size_t i = 0; i < config->policy_count; i++)
        shared_policy_release(config->policies[i]);
    g_hash_table_destroy(config->cell_names);
    g_hash_table_destroy(config->kind_names);
    json_object_put(config->tree);
    return 0;
}

const Config *config_build(void *mem, json_object *tree, uint64_t version, const Config *earlier, Faults *faults)
{
    static const char *const KEYS[] = {"r",     "zoneLoss", "rackLoss", "cells", "policies",
                                       "kinds", "limits",   "note",     NULL};
    const size_t before = faults->seen;
    Config *config = talloc_zero(mem, Config);
    config->version = version;
    config->tree = json_object_get(tree);
    config->note = "";
    config->cell_names = g_hash_table_new(g_str_hash, g_str_equal);
    config->kind_names = g_hash_table_new(g_str_hash, g_str_equal);
    talloc_set_destructor(config, config_free);
    const ConfigReader reader = {config, earlier, faults};
    if (check_keys(faults, tree, "", KEYS)) {
        config->r_given = json_object_object_get_ex(tree, "r", NULL);
        config->r = (uint64_t)check_int(faults, tree, "", "r", 0, PLAN_LOSSES_MAX, 1);
        config->zone_loss = check_bool(faults, tree, "", "zoneLoss", false);
        config->rack_loss = check_bool(faults, tree, "", "rackLoss", false);
        config->note = talloc_strdup(config, check_text(faults, tree, "", "note", CONFIG_NOTE_MAX));
        read_policies(&reader, tree);
        read_kinds(config, tree, faults);
        read_limits(&config->limits, tree, faults);
        read_cells(&reader, tree);
        check_cells(&reader, tree);
    }
    if (faults->seen == before)
        return config;
    talloc_free(config);
    return NULL;
}

const Config *config_read(void *mem, const char *text, size_t count, uint64_t version, Faults *faults)
{
    if (count > CONFIG_BODY_MAX) {
        fault_add(faults, STATUS_TOO_LARGE, "", "a configuration has at most %d bytes", CONFIG_BODY_MAX);
        return NULL;
    }
    json_object *tree = check_parse(faults, text, count);
    if (tree == NULL)
        return NULL;
    const Config *config = config_build(mem, tree, version, NULL, faults);
    json_object_put(tree);
    return config;
}

const char *config_patched_text(void *mem, const char *text, const char *patch_text, size_t patch_count, Faults *faults)
{
    json_object *patch = check_parse(faults, patch_text, patch_count);
    if (patch == NULL)
        return NULL;
    if (!json_object_is_type(patch, json_type_object)) {
        fault_add(faults, STATUS_BAD_JSON, "", "a patch must be an object");
        json_object_put(patch);
        return NULL;
    }
    json_object *tree = document_parse(text);
    json_object *result = document_merge(tree, patch);
    const char *out = document_text(mem, result);
    json_object_put(result);
    json_object_put(tree);
    json_object_put(patch);
    return out;
}

/* --- look-ups --------------------------------------------------------------------------- */

const ConfigCell *config_cell(const Config *config, const char *name)
{
    return g_hash_table_lookup(config->cell_names, name);
}

const ConfigTenant *config_tenant(const ConfigCell *cell, const char *name)
{
    return g_hash_table_lookup(cell->tenant_names, name);
}

const ConfigTenant *config_tenant_of_key(const ConfigCell *cell, Bytes digest)
{
    return digest.count == KEY_DIGEST_BYTES ? keys_find(cell->keys, digest.data) : NULL;
}

const ConfigQueue *config_queue(const ConfigCell *cell, const char *name)
{
    return g_hash_table_lookup(cell->queue_names, name);
}

const ConfigKind *config_kind(const Config *config, const char *name)
{
    return g_hash_table_lookup(config->kind_names, name);
}

const ConfigRoute *config_find_route(const Config *config, const char *host, const char *path)
{
    return routes_find(config->routes, host, path);
}

const ConfigPolicy *config_policy(const Config *config, const char *name)
{
    for (size_t i = 0; i < config->policy_count; i++)
        if (config->policies[i] != NULL && strcmp(config->policies[i]->name, name) == 0)
            return config->policies[i];
    return NULL;
}
