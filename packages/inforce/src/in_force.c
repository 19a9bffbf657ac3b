/* The configuration in force: reads a version of the state table when it is first asked for. */
#include "inforce/in_force.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "document/document.h"
#include "routing/limits.h"
#include "policy/lua.h"

struct InForce {
    Loop *loop;
    Recorder *recorder;
    const Table *table;
    const Config *config; /* the table's newest version that could be read; null: not asked for yet */
    uint64_t loads;       /* table_loads when it was read */
    uint64_t stamp;
    uint64_t unread; /* a version that can't be read */
    CheckedConfig *checked;
    uint64_t limits_version, limits_loads; /* of the limits that this process keeps */
};

InForce *in_force_new(void *mem, Loop *loop, Recorder *recorder, const Table *table)
{
    InForce *in_force = talloc_zero(mem, InForce);
    in_force->loop = loop;
    in_force->recorder = recorder;
    in_force->table = table;
    return in_force;
}

uint64_t in_force_stamp(const InForce *in_force)
{
    return in_force->stamp;
}

/* The document of the table's newest version, made from the one that was read before where it can be. */
static json_object *tree_read(const InForce *in_force, bool same_load)
{
    const Versions *versions = table_versions(in_force->table);
    if (versions_newest(versions) == 0)
        return document_parse(config_first_text());
    const bool have = same_load && in_force->config != NULL && in_force->config->version > 0;
    return versions_tree(versions, have ? in_force->config->tree : NULL, have ? in_force->config->version : 0);
}

static const Config *config_now(InForce *in_force, uint64_t version, bool same_load)
{
    void *mem = talloc_new(in_force);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    json_object *tree = tree_read(in_force, same_load);
    const Config *config = config_build(in_force, tree, version, in_force->config, faults);
    json_object_put(tree);
    if (config == NULL) { /* it was checked before it was committed: by a later release, perhaps */
        recorder_write(in_force->recorder, RECORDER_ALERT, loop_now_ms(in_force->loop),
                       "configuration version %" PRIu64 " can't be read: %s %s", version, faults->list[0].path,
                       faults->list[0].text);
        in_force->unread = version;
        if (in_force->config == NULL) {
            const char *first = config_first_text();
            config = config_read(in_force, first, strlen(first), 0, faults);
        }
    }
    talloc_free(mem);
    return config;
}

/* A configuration that was checked before it was committed is not read again. */
static const Config *checked_config_take(InForce *in_force, const Version *newest)
{
    for (CheckedConfig *at = in_force->checked; at != NULL; at = at->next)
        if (at->config != NULL && at->set.version == newest->version && at->set.base == newest->base &&
            at->set.patch == newest->patch && at->loads == table_loads(in_force->table) &&
            strcmp(at->set.text, newest->text) == 0) {
            const Config *config = talloc_steal(in_force, at->config);
            at->config = NULL;
            return config;
        }
    return NULL;
}

const Config *in_force_config(InForce *in_force)
{
    const Versions *versions = table_versions(in_force->table);
    const uint64_t version = versions_newest(versions), loads = table_loads(in_force->table);
    const bool same_load = in_force->loads == loads;
    if (in_force->config != NULL && same_load && (in_force->config->version == version || in_force->unread == version))
        return in_force->config;
    in_force->unread = UINT64_MAX;
    const Config *config = version > 0 ? checked_config_take(in_force, &versions->rows[versions->count - 1]) : NULL;
    if (config == NULL)
        config = config_now(in_force, version, same_load);
    in_force->loads = loads;
    if (config == NULL)
        return in_force->config;
    talloc_free((void *)(uintptr_t)in_force->config);
    in_force->config = config;
    in_force->stamp++;
    return config;
}

void checked_config_add(InForce *in_force, CheckedConfig *checked)
{
    checked->loads = table_loads(in_force->table);
    checked->next = in_force->checked;
    in_force->checked = checked;
}

void checked_config_remove(InForce *in_force, CheckedConfig *checked)
{
    CheckedConfig **at = &in_force->checked;
    while (*at != checked)
        at = &(*at)->next;
    *at = checked->next;
}

void in_force_limits_apply(InForce *in_force)
{
    const Versions *versions = table_versions(in_force->table);
    const uint64_t newest = versions_newest(versions), loads = table_loads(in_force->table);
    if (newest == 0 || (newest == in_force->limits_version && loads == in_force->limits_loads))
        return;
    in_force->limits_version = newest;
    in_force->limits_loads = loads;
    limits_apply(in_force->loop, versions_limits(versions));
}

const Policy *in_force_policy(const InForce *in_force, const ConfigCell *cell)
{
    const ConfigPolicy *policy =
        cell != NULL && cell->policy[0] != '\0' ? config_policy(in_force->config, cell->policy) : NULL;
    return policy != NULL && policy->lua != NULL ? lua_policy(policy->lua) : policy_builtin();
}

uint64_t in_force_policy_failures(const InForce *in_force, const char **last)
{
    uint64_t failures = 0;
    *last = "";
    for (size_t i = 0; in_force->config != NULL && i < in_force->config->policy_count; i++) {
        const char *words;
        const uint64_t some = lua_policy_failures(in_force->config->policies[i]->lua, &words);
        if (some > 0)
            *last = words;
        failures += some;
    }
    return failures;
}
