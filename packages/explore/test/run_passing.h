#ifndef EXPLORE_TEST_RUN_PASSING_H
#define EXPLORE_TEST_RUN_PASSING_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "explore/explore.h"

/* Helpers shared by the tests of the explorer. */

/* Runs a plan and fails the test if it breaks a rule. */
static inline ExploreResult run_passing(const ExplorePlan *plan)
{
    ExploreResult result;
    explore_run(plan, false, &result);
    if (result.rule != RULE_NONE)
        fail_msg("seed %u: %s: %s", (unsigned)plan->seed, rule_text(result.rule), result.detail);
    return result;
}

/* Runs a plan whose act_count is not set: the rows of acts are counted. The plan must break no rule, changes must be
 * acknowledged, and each act must have found a node. */
static inline void run_rows_passing(ExplorePlan plan)
{
    while (plan.act_count < EXPLORE_ACTS_MAX && plan.acts[plan.act_count].at_ms > 0)
        plan.act_count++;
    const ExploreResult result = run_passing(&plan);
    assert_true(result.acknowledged > 20);
    for (size_t i = 0; i < plan.act_count; i++)
        assert_true(result.performed[plan.acts[i].kind] > 0);
}

#endif
