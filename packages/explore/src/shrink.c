/* Shrinks a plan to the acts that its break needs. */
#include <string.h>

#include "explore/explore.h"

#define WORLDS 6 /* count; without an act everything after it differs, so other worlds are tried as well */

/* Whether the plan breaks the rule in some world; the plan is of that world then. */
static bool breaks(ExplorePlan *plan, Rule rule, ExploreResult *result)
{
    const uint64_t world = plan->world;
    for (uint64_t i = 0; i < WORLDS; i++) {
        plan->world = world + i * 7919;
        explore_run(plan, false, result);
        if (result->rule == rule)
            return true;
    }
    return false;
}

static bool leave_out(ExplorePlan *plan, size_t from, size_t span, Rule rule, ExploreResult *result)
{
    ExplorePlan tried = *plan;
    ExploreResult got;
    for (size_t i = from; i < from + span && i < plan->act_count; i++)
        tried.skipped[i] = true;
    if (memcmp(tried.skipped, plan->skipped, sizeof(tried.skipped)) == 0 || !breaks(&tried, rule, &got))
        return false;
    *plan = tried;
    *result = got;
    return true;
}

bool explore_shrink(ExplorePlan *plan, ExploreResult *result)
{
    explore_run(plan, false, result);
    const Rule rule = result->rule;
    if (rule == RULE_NONE)
        return false;
    /* first many at once, then fewer, at last one after another until none can go */
    bool any = true;
    for (size_t span = plan->act_count / 2 + 1; span > 0; span = span > 1 ? span / 2 : any ? 1 : 0) {
        any = false;
        for (size_t from = 0; from < plan->act_count; from += span)
            any |= leave_out(plan, from, span, rule, result);
    }
    return true;
}
