/* One run of a plan: the cluster is founded, the adversary acts, and at the end a change must be committed and the
 * configuration of voters be complete in time. */
#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

#include "act.h"
#include "check.h"
#include "client.h"
#include "disks.h"
#include "nodes.h"
#include "report.h"

#define FOUND_LIMIT_MS 30000 /* time limit from the first start until all voters are present */
#define CHECK_INTERVAL_MS 50 /* interval between checks for a broken rule */

static bool rule_broken(const Explore *explore)
{
    return explore->result->rule != RULE_NONE;
}

static void run_until(Explore *explore, int64_t until_ms)
{
    while (!rule_broken(explore) && sim_now_ms(explore->world) < until_ms) {
        const int64_t next_ms = sim_now_ms(explore->world) + CHECK_INTERVAL_MS;
        sim_run_until(explore->world, next_ms < until_ms ? next_ms : until_ms);
    }
}

/* Adds and starts the initial machines, and runs the world until the cluster is founded and has all voters. */
static void found_cluster(Explore *explore)
{
    const ExplorePlan *plan = explore->plan;
    const int voters = 2 * plan->losses + 1;
    for (int i = 0; i < voters + plan->spares; i++) {
        node_add(explore);
        explore->nodes[i].may_found = plan->by_votes || i < SEEDS;
    }
    /* Three empty disks found the cluster: the other machines start once it exists. */
    const int first = plan->by_votes ? explore->node_count : SEEDS;
    for (int i = 0; i < explore->node_count; i++)
        node_start_later(&explore->nodes[i], i < first ? (int64_t)(sim_random(explore->world) % 300) : 6000);
    client_start(explore);
    const int64_t until_ms = sim_now_ms(explore->world) + FOUND_LIMIT_MS;
    while (!rule_broken(explore) && sim_now_ms(explore->world) < until_ms &&
           (explore->history.voter_count < (size_t)voters || node_leader(explore) == NULL))
        run_until(explore, sim_now_ms(explore->world) + CHECK_INTERVAL_MS);
    if (explore->history.voter_count < (size_t)voters || node_leader(explore) == NULL)
        explore_report_break(explore, RULE_NOT_FOUNDED, "%zu voters of %d", explore->history.voter_count, voters);
}

static void run_adversary(Explore *explore)
{
    const ExplorePlan *plan = explore->plan;
    for (size_t i = 0; i < plan->act_count && !rule_broken(explore); i++) {
        run_until(explore, explore->start_ms + plan->acts[i].at_ms);
        if (!plan->skipped[i] && !rule_broken(explore))
            act_perform(explore, &plan->acts[i]);
    }
    run_until(explore, explore->start_ms + plan->length_ms);
}

/* Whether a machine is frozen. */
static bool any_frozen(const Explore *explore)
{
    for (int i = 0; i < explore->node_count; i++)
        if (sim_frozen(explore->world, explore->nodes[i].machine))
            return true;
    return false;
}

/* Checks that the configured number of voters is present within VOTERS_COMPLETE_LIMIT_MS of from_ms, if there are
 * enough disks. */
static void check_voters_complete(Explore *explore, int64_t from_ms)
{
    const size_t wanted = 2 * (size_t)explore->plan->losses + 1;
    while (!rule_broken(explore) && disks_left(explore) >= wanted &&
           (explore->history.voter_count < wanted || voters_left(explore) < wanted)) {
        if (sim_now_ms(explore->world) >= from_ms + VOTERS_COMPLETE_LIMIT_MS)
            explore_report_break(explore, RULE_NOT_WHOLE, "%zu of %zu left, %zu wanted", voters_left(explore),
                                 explore->history.voter_count, wanted);
        run_until(explore, sim_now_ms(explore->world) + CHECK_INTERVAL_MS);
    }
    explore->result->voters_complete_ms = sim_now_ms(explore->world) - from_ms;
}

/* Ends the adversary, and checks that a change is committed in time afterwards. */
static void check_liveness(Explore *explore)
{
    while (!rule_broken(explore) && any_frozen(explore))
        run_until(explore, sim_now_ms(explore->world) + CHECK_INTERVAL_MS);
    acts_undo_all(explore);
    explore_log(explore, "the adversary has ended");
    ExploreResult *result = explore->result;
    const int64_t from_ms = sim_now_ms(explore->world);
    const uint64_t before = result->acknowledged;
    result->liveness_checked = voters_have_majority(explore);
    if (explore->plan->pace && !result->liveness_checked)
        explore_report_break(explore, RULE_NOT_LIVE, "no majority of the voters is left");
    if (!result->liveness_checked)
        return;
    while (!rule_broken(explore) && result->acknowledged == before &&
           sim_now_ms(explore->world) < from_ms + LIVENESS_LIMIT_MS)
        run_until(explore, sim_now_ms(explore->world) + CHECK_INTERVAL_MS);
    result->recovery_ms = sim_now_ms(explore->world) - from_ms;
    if (result->acknowledged == before)
        explore_report_break(explore, RULE_NOT_LIVE, "%" PRId64 " ms after the last failure", result->recovery_ms);
    check_voters_complete(explore, from_ms);
}

static void dump(const Explore *explore)
{
    for (int i = 0; i < explore->node_count; i++) {
        printf("--- %s\n", explore->nodes[i].name);
        recorder_dump(explore->nodes[i].recorder, stdout);
    }
}

void explore_run(const ExplorePlan *plan, bool verbose, ExploreResult *result)
{
    *result = (ExploreResult){.rule = RULE_NONE};
    Explore *explore = talloc_zero(NULL, Explore);
    explore->plan = plan;
    explore->result = result;
    explore->verbose = verbose;
    explore->world = sim_world_new(explore, plan->world);
    sim_watch_events(explore->world, check_step, explore);
    sim_watch_disks(explore->world, disk_changed, explore);
    found_cluster(explore);
    explore->start_ms = sim_now_ms(explore->world);
    run_adversary(explore);
    if (!rule_broken(explore))
        check_liveness(explore);
    result->steps = sim_events(explore->world);
    if (verbose && rule_broken(explore))
        dump(explore);
    sim_watch_disks(explore->world, NULL, NULL);
    talloc_free(explore->world); /* first, since the processes in the world refer to the other data */
    talloc_free(explore);
}
