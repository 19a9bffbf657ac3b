#ifndef EXPLORE_TEST_PLAYS_H
#define EXPLORE_TEST_PLAYS_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "explore/explore.h"

/* What the tests of the explorer share. */

/* Runs a plan, which must break no rule. */
static inline ExploreResult runs(const ExplorePlan *plan)
{
    ExploreResult result;
    explore_run(plan, false, &result);
    if (result.rule != RULE_NONE)
        fail_msg("seed %u: %s: %s", (unsigned)plan->seed, rule_text(result.rule), result.why);
    return result;
}

/* Runs a plan that is given by its rows alone. It must break no rule, see changes acknowledged, and each act must
 * have found a node. */
static inline void plays(ExplorePlan plan)
{
    while (plan.act_count < EXPLORE_ACTS_MAX && plan.acts[plan.act_count].at_ms > 0)
        plan.act_count++;
    const ExploreResult result = runs(&plan);
    assert_true(result.acknowledged > 20);
    for (size_t i = 0; i < plan.act_count; i++)
        assert_true(result.done[plan.acts[i].kind] > 0);
}

#endif
