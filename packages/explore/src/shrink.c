/* Shrinks a plan to the acts that are needed to break its rule. */
#include <string.h>

#include "explore/explore.h"

/* Number of worlds tried: without one act all that follows it differs, so other random worlds are tried too. */
#define WORLDS_TRIED 6

/* Runs the plan in several worlds. Returns whether it breaks the rule in one; the plan is left with that world. */
static bool breaks(ExplorePlan *plan, Rule rule, ExploreResult *result)
{
    const uint64_t world = plan->world;
    for (uint64_t i = 0; i < WORLDS_TRIED; i++) {
        plan->world = world + i * 7919;
        explore_run(plan, false, result);
        if (result->rule == rule)
            return true;
    }
    return false;
}

/* Skips the acts [from, from + span) if the plan still breaks the rule without them; returns whether it did. */
static bool try_skipping(ExplorePlan *plan, size_t from, size_t span, Rule rule, ExploreResult *result)
{
    ExplorePlan candidate = *plan;
    ExploreResult candidate_result;
    for (size_t i = from; i < from + span && i < plan->act_count; i++)
        candidate.skipped[i] = true;
    if (memcmp(candidate.skipped, plan->skipped, sizeof(candidate.skipped)) == 0 ||
        !breaks(&candidate, rule, &candidate_result))
        return false;
    *plan = candidate;
    *result = candidate_result;
    return true;
}

bool explore_shrink(ExplorePlan *plan, ExploreResult *result)
{
    explore_run(plan, false, result);
    const Rule rule = result->rule;
    if (rule == RULE_NONE)
        return false;
    /* Tries long spans first, then shorter ones, and at last single acts until none can be left out. */
    bool any = true;
    for (size_t span = plan->act_count / 2 + 1; span > 0; span = span > 1 ? span / 2 : any ? 1 : 0) {
        any = false;
        for (size_t from = 0; from < plan->act_count; from += span)
            any |= try_skipping(plan, from, span, rule, result);
    }
    return true;
}
