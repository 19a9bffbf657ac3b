/* The configuration in force, as this core reads it: only where it is used, and
 * only what has changed. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "document/document.h"
#include "feed/limits.h"
#include "inforce.h"

/* What the table has, made from what was read before where it can be. */
static json_object *tree_now(const Core *core, bool same_load)
{
    const Versions *versions = table_versions(core->table);
    if (versions_newest(versions) == 0)
        return document_parse(config_first_text());
    const bool have = same_load && core->config != NULL && core->config->version > 0;
    return versions_tree(versions, have ? core->config->tree : NULL, have ? core->config->version : 0);
}

static const Config *read_now(Core *core, uint64_t version, bool same_load)
{
    void *mem = talloc_new(core);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    json_object *tree = tree_now(core, same_load);
    const Config *config = config_build(core, tree, version, core->config, faults);
    json_object_put(tree);
    if (config == NULL) { /* it was checked before it was committed: by a later release, perhaps */
        recorder_write(core->recorder, RECORDER_ALERT, loop_now_ms(core->loop),
                       "revision %" PRIu64 " can't be read: %s %s", version, faults->list[0].path,
                       faults->list[0].text);
        core->config_unread = version;
        if (core->config == NULL) {
            const char *first = config_first_text();
            config = config_read(core, first, strlen(first), 0, faults);
        }
    }
    talloc_free(mem);
    return config;
}

/* What was checked before it was committed needs no second reading. */
static const Config *trial_take(Core *core, const Version *newest)
{
    for (Trial *at = core->trials; at != NULL; at = at->next)
        if (at->config != NULL && at->set.version == newest->version && at->set.base == newest->base &&
            at->set.patch == newest->patch && at->loads == table_loads(core->table) &&
            strcmp(at->set.text, newest->text) == 0) {
            const Config *config = talloc_steal(core, at->config);
            at->config = NULL;
            return config;
        }
    return NULL;
}

const Config *core_config(Core *core)
{
    const Versions *versions = table_versions(core->table);
    const uint64_t version = versions_newest(versions), loads = table_loads(core->table);
    const bool same_load = core->config_loads == loads;
    if (core->config != NULL && same_load && (core->config->version == version || core->config_unread == version))
        return core->config;
    core->config_unread = UINT64_MAX;
    const Config *config = version > 0 ? trial_take(core, &versions->rows[versions->count - 1]) : NULL;
    if (config == NULL)
        config = read_now(core, version, same_load);
    core->config_loads = loads;
    if (config == NULL)
        return core->config;
    talloc_free((void *)(uintptr_t)core->config);
    core->config = config;
    core->config_stamp++;
    return config;
}

void trial_enter(Core *core, Trial *trial)
{
    trial->loads = table_loads(core->table);
    trial->next = core->trials;
    core->trials = trial;
}

void trial_leave(Core *core, Trial *trial)
{
    Trial **at = &core->trials;
    while (*at != trial)
        at = &(*at)->next;
    *at = trial->next;
}

void limits_follow(Core *core)
{
    const Versions *versions = table_versions(core->table);
    const uint64_t newest = versions_newest(versions), loads = table_loads(core->table);
    if (newest == 0 || (newest == core->limits_version && loads == core->limits_loads))
        return;
    core->limits_version = newest;
    core->limits_loads = loads;
    limits_serve(core->loop, versions_limits(versions));
}

const Policy *core_policy(void *arg, const ConfigCell *cell)
{
    const Core *core = arg;
    const ConfigPolicy *policy =
        cell != NULL && cell->policy[0] != '\0' ? config_policy(core->config, cell->policy) : NULL;
    return policy != NULL && policy->lua != NULL ? lua_policy(policy->lua) : policy_plain();
}

uint64_t core_policy_failures(const Core *core, const char **last)
{
    uint64_t failures = 0;
    *last = "";
    for (size_t i = 0; core->config != NULL && i < core->config->policy_count; i++) {
        const char *words;
        const uint64_t some = lua_policy_failures(core->config->policies[i]->lua, &words);
        if (some > 0)
            *last = words;
        failures += some;
    }
    return failures;
}
