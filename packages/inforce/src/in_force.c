/* The configuration in force: parses a version of the state table when it is first requested. */
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
    const Config *config;        /* the table's newest version that could be parsed; null: not requested yet */
    uint64_t loads;              /* table_load_count when config was parsed */
    uint64_t stamp;              /* grows with each new config */
    uint64_t unreadable_version; /* a version that cannot be parsed; UINT64_MAX: none */
    CheckedConfig *checked;      /* list of the configurations that are being committed */
    uint64_t limits_version,
        limits_loads; /* version of the limits applied in this process, and table_load_count then */
};

InForce *in_force_new(void *mem, Loop *loop, Recorder *recorder, const Table *table)
{
    InForce *in_force = talloc_zero(mem, InForce);
    in_force->loop = loop;
    in_force->recorder = recorder;
    in_force->table = table;
    return in_force;
}

uint64_t in_force_generation(const InForce *in_force)
{
    return in_force->stamp;
}

/* Returns the document of the table's newest version, derived from the present document if the table has not been
 * replaced since that was parsed. */
static json_object *newest_tree(const InForce *in_force, bool same_load)
{
    const Versions *versions = table_versions(in_force->table);
    if (versions_newest(versions) == 0)
        return document_parse(config_default_text());
    const bool have = same_load && in_force->config != NULL && in_force->config->version > 0;
    return versions_tree(versions, have ? in_force->config->tree : NULL, have ? in_force->config->version : 0);
}

/* Parses the newest version. If that fails, returns null, so that the present configuration stays in force; if there is
 * none, returns the initial configuration. */
static const Config *config_load(InForce *in_force, uint64_t version, bool same_load)
{
    void *mem = talloc_new(in_force);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    json_object *tree = newest_tree(in_force, same_load);
    const Config *config = config_build(in_force, tree, version, in_force->config, faults);
    json_object_put(tree);
    if (config == NULL) { /* the version was checked before its commit, perhaps by a later release */
        recorder_write(in_force->recorder, RECORDER_ALERT, loop_now_ms(in_force->loop),
                       "configuration version %" PRIu64 " can't be read: %s %s", version, faults->list[0].path,
                       faults->list[0].text);
        in_force->unreadable_version = version;
        if (in_force->config == NULL) {
            const char *first = config_default_text();
            config = config_read(in_force, first, strlen(first), 0, faults);
        }
    }
    talloc_free(mem);
    return config;
}

/* Returns the newest version as it was checked before its commit, if it is among the checked configurations; else null.
 * The caller owns the result. */
static const Config *checked_config_take(InForce *in_force, const Version *newest)
{
    for (CheckedConfig *candidate = in_force->checked; candidate != NULL; candidate = candidate->next)
        if (candidate->config != NULL && candidate->set.version == newest->version &&
            candidate->set.base == newest->base && candidate->set.patch == newest->patch &&
            candidate->loads == table_load_count(in_force->table) && strcmp(candidate->set.text, newest->text) == 0) {
            const Config *config = talloc_steal(in_force, candidate->config);
            candidate->config = NULL;
            return config;
        }
    return NULL;
}

const Config *in_force_config(InForce *in_force)
{
    const Versions *versions = table_versions(in_force->table);
    const uint64_t version = versions_newest(versions), loads = table_load_count(in_force->table);
    const bool same_load = in_force->loads == loads;
    if (in_force->config != NULL && same_load &&
        (in_force->config->version == version || in_force->unreadable_version == version))
        return in_force->config;
    in_force->unreadable_version = UINT64_MAX;
    const Config *config = version > 0 ? checked_config_take(in_force, &versions->rows[versions->count - 1]) : NULL;
    if (config == NULL)
        config = config_load(in_force, version, same_load);
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
    checked->loads = table_load_count(in_force->table);
    checked->next = in_force->checked;
    in_force->checked = checked;
}

void checked_config_remove(InForce *in_force, CheckedConfig *checked)
{
    CheckedConfig **candidate = &in_force->checked;
    while (*candidate != checked)
        candidate = &(*candidate)->next;
    *candidate = checked->next;
}

void in_force_limits_apply(InForce *in_force)
{
    const Versions *versions = table_versions(in_force->table);
    const uint64_t newest = versions_newest(versions), loads = table_load_count(in_force->table);
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
        const char *text;
        const uint64_t count = lua_policy_failures(in_force->config->policies[i]->lua, &text);
        if (count > 0)
            *last = text;
        failures += count;
    }
    return failures;
}
