/* The configuration in force: reads a version of the table when it is first asked for. */
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
    const Config *config; /* of the table's newest version that could be read; null: not asked for yet */
    uint64_t loads;       /* table_loads when it was read */
    uint64_t stamp;
    uint64_t unread; /* a version that can't be read */
    Trial *trials;
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

/* The document of the table, made from the one that was read before where it can be. */
static json_object *tree_now(const InForce *in_force, bool same_load)
{
    const Versions *versions = table_versions(in_force->table);
    if (versions_newest(versions) == 0)
        return document_parse(config_first_text());
    const bool have = same_load && in_force->config != NULL && in_force->config->version > 0;
    return versions_tree(versions, have ? in_force->config->tree : NULL, have ? in_force->config->version : 0);
}

static const Config *read_now(InForce *in_force, uint64_t version, bool same_load)
{
    void *mem = talloc_new(in_force);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    json_object *tree = tree_now(in_force, same_load);
    const Config *config = config_build(in_force, tree, version, in_force->config, faults);
    json_object_put(tree);
    if (config == NULL) { /* it was checked before it was committed, perhaps by a later release */
        recorder_write(in_force->recorder, RECORDER_ALERT, loop_now_ms(in_force->loop),
                       "revision %" PRIu64 " can't be read: %s %s", version, faults->list[0].path,
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
static const Config *trial_take(InForce *in_force, const Version *newest)
{
    for (Trial *at = in_force->trials; at != NULL; at = at->next)
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
    const Config *config = version > 0 ? trial_take(in_force, &versions->rows[versions->count - 1]) : NULL;
    if (config == NULL)
        config = read_now(in_force, version, same_load);
    in_force->loads = loads;
    if (config == NULL)
        return in_force->config;
    talloc_free((void *)(uintptr_t)in_force->config);
    in_force->config = config;
    in_force->stamp++;
    return config;
}

void trial_enter(InForce *in_force, Trial *trial)
{
    trial->loads = table_loads(in_force->table);
    trial->next = in_force->trials;
    in_force->trials = trial;
}

void trial_leave(InForce *in_force, Trial *trial)
{
    Trial **at = &in_force->trials;
    while (*at != trial)
        at = &(*at)->next;
    *at = trial->next;
}

void limits_follow(InForce *in_force)
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
    return policy != NULL && policy->lua != NULL ? lua_policy(policy->lua) : policy_plain();
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
