/* The configuration in force, as this core reads it: only where it is used, and
 * only what has changed. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "document/document.h"
#include "feed/limits.h"
#include "inforce.h"

/* What the table has, made from what was read before where it can be. */
static json_object *treeNow(const Core *core, bool sameLoad)
{
    const Revisions *revisions = table_revisions(core->table);
    if (revisions_newest(revisions) == 0)
        return document_parse(config_first_text());
    const bool have = sameLoad && core->config != NULL && core->config->revision > 0;
    return revisions_tree(revisions, have ? core->config->tree : NULL, have ? core->config->revision : 0);
}

static const Config *readNow(Core *core, uint64_t revision, bool sameLoad)
{
    void *mem = talloc_new(core);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    json_object *tree = treeNow(core, sameLoad);
    const Config *config = config_build(core, tree, revision, core->config, faults);
    json_object_put(tree);
    if (config == NULL) { /* it was checked before it was committed: by a later release, perhaps */
        ring_say(core->ring, RING_ALERT, loop_now_ms(core->loop), "revision %" PRIu64 " can't be read: %s %s", revision,
                 faults->list[0].path, faults->list[0].text);
        core->configUnread = revision;
        if (core->config == NULL) {
            const char *first = config_first_text();
            config = config_read(core, first, strlen(first), 0, faults);
        }
    }
    talloc_free(mem);
    return config;
}

/* What was checked before it was committed needs no second reading. */
static const Config *trialTake(Core *core, const Revision *newest)
{
    for (Trial *at = core->trials; at != NULL; at = at->next)
        if (at->config != NULL && at->set.revision == newest->revision && at->set.base == newest->base &&
            at->set.patch == newest->patch && at->loads == table_loads(core->table) &&
            strcmp(at->set.text, newest->text) == 0) {
            const Config *config = talloc_steal(core, at->config);
            at->config = NULL;
            return config;
        }
    return NULL;
}

const Config *coreConfig(Core *core)
{
    const Revisions *revisions = table_revisions(core->table);
    const uint64_t revision = revisions_newest(revisions), loads = table_loads(core->table);
    const bool sameLoad = core->configLoads == loads;
    if (core->config != NULL && sameLoad && (core->config->revision == revision || core->configUnread == revision))
        return core->config;
    core->configUnread = UINT64_MAX;
    const Config *config = revision > 0 ? trialTake(core, &revisions->rows[revisions->count - 1]) : NULL;
    if (config == NULL)
        config = readNow(core, revision, sameLoad);
    core->configLoads = loads;
    if (config == NULL)
        return core->config;
    talloc_free((void *)(uintptr_t)core->config);
    core->config = config;
    core->config_stamp++;
    return config;
}

void trialEnter(Core *core, Trial *trial)
{
    trial->loads = table_loads(core->table);
    trial->next = core->trials;
    core->trials = trial;
}

void trialLeave(Core *core, Trial *trial)
{
    Trial **at = &core->trials;
    while (*at != trial)
        at = &(*at)->next;
    *at = trial->next;
}

void limitsFollow(Core *core)
{
    const Revisions *revisions = table_revisions(core->table);
    const uint64_t newest = revisions_newest(revisions), loads = table_loads(core->table);
    if (newest == 0 || (newest == core->limitsRevision && loads == core->limitsLoads))
        return;
    core->limitsRevision = newest;
    core->limitsLoads = loads;
    limits_serve(core->loop, revisions_limits(revisions));
}

const Policy *corePolicy(void *arg, const ConfigCell *cell)
{
    const Core *core = arg;
    const ConfigPolicy *policy =
        cell != NULL && cell->policy[0] != '\0' ? config_policy(core->config, cell->policy) : NULL;
    return policy != NULL && policy->lua != NULL ? lua_policy(policy->lua) : policy_plain();
}

uint64_t corePolicyFailures(const Core *core, const char **last)
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
