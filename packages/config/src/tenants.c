/* Reading the tenants of a cell: quotas, weights and keys. Faults identify keys by position, never by their text. */
#include "tenants.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "keys.h"
#include "reader.h"

/* Returns the tenant's list of keys; null when there is none. Records a fault when the value is not a list. */
static json_object *key_list(Faults *faults, json_object *object, const char *path)
{
    json_object *list;
    if (!json_object_object_get_ex(object, "keys", &list))
        return NULL;
    if (json_object_is_type(list, json_type_array))
        return list;
    fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, "keys"), "must be a list of keys");
    return NULL;
}

/* Adds a key of the tenant. Returns null or, owned by mem, a description of what is wrong with the key. */
static const char *add_key(ConfigKeys *keys, json_object *value, const ConfigTenant *tenant, void *mem)
{
    const char *text = json_object_is_type(value, json_type_string) ? json_object_get_string(value) : NULL;
    if (text == NULL || strlen(text) != (size_t)json_object_get_string_len(value) || !key_is_valid(text))
        return talloc_asprintf(mem, "must be a key of 1 to %d visible ASCII characters", CONFIG_KEY_MAX);
    uint8_t digest[KEY_DIGEST_BYTES];
    key_digest(text, digest);
    const ConfigTenant *other = keys_add(keys, digest, tenant);
    if (other == NULL)
        return NULL;
    return other == tenant ? "key occurs twice" : talloc_asprintf(mem, "this key belongs to tenant %s", other->name);
}

static void read_keys(ConfigKeys *keys, json_object *list, const char *path, ConfigTenant *tenant, Faults *faults)
{
    tenant->keyed = list != NULL;
    tenant->key_count = list != NULL ? json_object_array_length(list) : 0;
    for (size_t i = 0; i < tenant->key_count; i++) {
        const char *error = add_key(keys, json_object_array_get_idx(list, i), tenant, faults->mem);
        if (error != NULL)
            fault_add(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "%s.keys[%zu]", path, i), "%s", error);
    }
}

static void read_tenant(Config *config, json_object *value, const char *path, ConfigTenant *tenant, Faults *faults)
{
    static const char *const KEYS[] = {"quota", "weight", "keys", "note", NULL};
    if (!check_keys(faults, value, path, KEYS))
        return;
    tenant->quota = check_resources(faults, value, path, "quota", false);
    tenant->weight_milli =
        check_milli(faults, value, path, "weight", 1, UINT64_C(1000) * CONFIG_WEIGHT_MAX, tenant->weight_milli);
    tenant->note = talloc_strdup(config, check_text(faults, value, path, "note", CONFIG_NOTE_MAX));
}

/* Returns an upper bound on the number of keys of all tenants. */
static size_t max_key_count(json_object *tenants)
{
    size_t max = 0;
    json_object_object_foreach(tenants, name, value)
    {
        json_object *list;
        (void)name;
        if (json_object_is_type(value, json_type_object) && json_object_object_get_ex(value, "keys", &list) &&
            json_object_is_type(list, json_type_array))
            max += json_object_array_length(list);
    }
    return max;
}

void read_tenants(Config *config, json_object *object, const char *path, ConfigCell *cell, Faults *faults)
{
    json_object *all = read_members(faults, object, path, "tenants", &cell->tenant_count);
    ConfigTenant *tenants = talloc_zero_array(config, ConfigTenant, (unsigned)cell->tenant_count);
    ConfigKeys *keys = keys_new(config, all != NULL ? max_key_count(all) : 0);
    cell->tenants = tenants;
    cell->keys = keys;
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const char *here = check_path(faults, check_path(faults, path, "tenants"), name);
        ConfigTenant *tenant = &tenants[at++];
        check_member_name(faults, name, path, "tenants");
        *tenant = (ConfigTenant){.name = talloc_strdup(config, name), .weight_milli = 1000, .note = ""};
        g_hash_table_insert(cell->tenant_names, (gpointer)(uintptr_t)tenant->name, tenant);
        read_tenant(config, value, here, tenant, faults);
        read_keys(keys, key_list(faults, value, here), here, tenant, faults);
        cell->keyed |= tenant->keyed;
    }
}
