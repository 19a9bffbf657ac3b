/* The configuration in force, as this controller reads it: only where it is used, and
 * only what has changed. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "document/document.h"
#include "routing/limits.h"
#include "in_force.h"

/* What the table has, made from what was read before where it can be. */
static json_object *tree_now(const Controller *controller, bool same_load)
{
    const Versions *versions = table_versions(controller->table);
    if (versions_newest(versions) == 0)
        return document_parse(config_first_text());
    const bool have = same_load && controller->config != NULL && controller->config->version > 0;
    return versions_tree(versions, have ? controller->config->tree : NULL, have ? controller->config->version : 0);
}

static const Config *read_now(Controller *controller, uint64_t version, bool same_load)
{
    void *mem = talloc_new(controller);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    json_object *tree = tree_now(controller, same_load);
    const Config *config = config_build(controller, tree, version, controller->config, faults);
    json_object_put(tree);
    if (config == NULL) { /* it was checked before it was committed: by a later release, perhaps */
        recorder_write(controller->recorder, RECORDER_ALERT, loop_now_ms(controller->loop),
                       "revision %" PRIu64 " can't be read: %s %s", version, faults->list[0].path,
                       faults->list[0].text);
        controller->config_unread = version;
        if (controller->config == NULL) {
            const char *first = config_first_text();
            config = config_read(controller, first, strlen(first), 0, faults);
        }
    }
    talloc_free(mem);
    return config;
}

/* What was checked before it was committed needs no second reading. */
static const Config *trial_take(Controller *controller, const Version *newest)
{
    for (Trial *at = controller->trials; at != NULL; at = at->next)
        if (at->config != NULL && at->set.version == newest->version && at->set.base == newest->base &&
            at->set.patch == newest->patch && at->loads == table_loads(controller->table) &&
            strcmp(at->set.text, newest->text) == 0) {
            const Config *config = talloc_steal(controller, at->config);
            at->config = NULL;
            return config;
        }
    return NULL;
}

const Config *controller_config(Controller *controller)
{
    const Versions *versions = table_versions(controller->table);
    const uint64_t version = versions_newest(versions), loads = table_loads(controller->table);
    const bool same_load = controller->config_loads == loads;
    if (controller->config != NULL && same_load &&
        (controller->config->version == version || controller->config_unread == version))
        return controller->config;
    controller->config_unread = UINT64_MAX;
    const Config *config = version > 0 ? trial_take(controller, &versions->rows[versions->count - 1]) : NULL;
    if (config == NULL)
        config = read_now(controller, version, same_load);
    controller->config_loads = loads;
    if (config == NULL)
        return controller->config;
    talloc_free((void *)(uintptr_t)controller->config);
    controller->config = config;
    controller->config_stamp++;
    return config;
}

void trial_enter(Controller *controller, Trial *trial)
{
    trial->loads = table_loads(controller->table);
    trial->next = controller->trials;
    controller->trials = trial;
}

void trial_leave(Controller *controller, Trial *trial)
{
    Trial **at = &controller->trials;
    while (*at != trial)
        at = &(*at)->next;
    *at = trial->next;
}

void limits_follow(Controller *controller)
{
    const Versions *versions = table_versions(controller->table);
    const uint64_t newest = versions_newest(versions), loads = table_loads(controller->table);
    if (newest == 0 || (newest == controller->limits_version && loads == controller->limits_loads))
        return;
    controller->limits_version = newest;
    controller->limits_loads = loads;
    limits_serve(controller->loop, versions_limits(versions));
}

const Policy *controller_policy(void *arg, const ConfigCell *cell)
{
    const Controller *controller = arg;
    const ConfigPolicy *policy =
        cell != NULL && cell->policy[0] != '\0' ? config_policy(controller->config, cell->policy) : NULL;
    return policy != NULL && policy->lua != NULL ? lua_policy(policy->lua) : policy_plain();
}

uint64_t controller_policy_failures(const Controller *controller, const char **last)
{
    uint64_t failures = 0;
    *last = "";
    for (size_t i = 0; controller->config != NULL && i < controller->config->policy_count; i++) {
        const char *words;
        const uint64_t some = lua_policy_failures(controller->config->policies[i]->lua, &words);
        if (some > 0)
            *last = words;
        failures += some;
    }
    return failures;
}
