/* One run of a plan: the cluster is founded, the adversary acts, and in the end a change must be committed and the
 * voters be complete in time. */
#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

#include "act.h"
#include "check.h"
#include "client.h"
#include "disks.h"
#include "nodes.h"
#include "report.h"

#define FOUND_MS 30000 /* ms; from the first start until there are as many voters as are wanted */
#define CHECK_MS 50    /* ms; between two looks at whether something broke */

static bool broken(const Explore *explore)
{
    return explore->result->rule != RULE_NONE;
}

static void run_until(Explore *explore, int64_t until_ms)
{
    while (!broken(explore) && sim_now_ms(explore->world) < until_ms) {
        const int64_t next_ms = sim_now_ms(explore->world) + CHECK_MS;
        sim_run_until(explore->world, next_ms < until_ms ? next_ms : until_ms);
    }
}

static void found(Explore *explore)
{
    const ExplorePlan *plan = explore->plan;
    const int voters = 2 * plan->losses + 1;
    for (int i = 0; i < voters + plan->spares; i++) {
        node_add(explore);
        explore->nodes[i].founds = plan->by_votes || i < SEEDS;
    }
    /* three empty disks found the cluster: the others start once it is */
    const int first = plan->by_votes ? explore->node_count : SEEDS;
    for (int i = 0; i < explore->node_count; i++)
        node_start_later(&explore->nodes[i], i < first ? (int64_t)(sim_random(explore->world) % 300) : 6000);
    client_start(explore);
    const int64_t until_ms = sim_now_ms(explore->world) + FOUND_MS;
    while (!broken(explore) && sim_now_ms(explore->world) < until_ms &&
           (explore->history.voter_count < (size_t)voters || node_leader(explore) == NULL))
        run_until(explore, sim_now_ms(explore->world) + CHECK_MS);
    if (explore->history.voter_count < (size_t)voters || node_leader(explore) == NULL)
        explore_break(explore, RULE_NOT_FOUNDED, "%zu voters of %d", explore->history.voter_count, voters);
}

static void adversary(Explore *explore)
{
    const ExplorePlan *plan = explore->plan;
    for (size_t i = 0; i < plan->act_count && !broken(explore); i++) {
        run_until(explore, explore->start_ms + plan->acts[i].at_ms);
        if (!plan->skipped[i] && !broken(explore))
            act_do(explore, &plan->acts[i]);
    }
    run_until(explore, explore->start_ms + plan->length_ms);
}

static bool frozen(const Explore *explore)
{
    for (int i = 0; i < explore->node_count; i++)
        if (sim_frozen(explore->world, explore->nodes[i].machine))
            return true;
    return false;
}

/* In time as many voters are there as are wanted, where there are disks for them. */
static void whole(Explore *explore, int64_t from_ms)
{
    const size_t wanted = 2 * (size_t)explore->plan->losses + 1;
    while (!broken(explore) && disks_left(explore) >= wanted &&
           (explore->history.voter_count < wanted || voters_left(explore) < wanted)) {
        if (sim_now_ms(explore->world) >= from_ms + WHOLE_MS)
            explore_break(explore, RULE_NOT_WHOLE, "%zu of %zu left, %zu wanted", voters_left(explore),
                          explore->history.voter_count, wanted);
        run_until(explore, sim_now_ms(explore->world) + CHECK_MS);
    }
    explore->result->whole_ms = sim_now_ms(explore->world) - from_ms;
}

/* After all failures have ended, a change is committed in time. */
static void live(Explore *explore)
{
    while (!broken(explore) && frozen(explore))
        run_until(explore, sim_now_ms(explore->world) + CHECK_MS);
    acts_end(explore);
    explore_say(explore, "the adversary has ended");
    ExploreResult *result = explore->result;
    const int64_t from_ms = sim_now_ms(explore->world);
    const uint64_t before = result->acknowledged;
    result->lived = voters_there(explore);
    if (explore->plan->pace && !result->lived)
        explore_break(explore, RULE_NOT_LIVE, "no majority of the voters is left");
    if (!result->lived)
        return;
    while (!broken(explore) && result->acknowledged == before && sim_now_ms(explore->world) < from_ms + LIVE_MS)
        run_until(explore, sim_now_ms(explore->world) + CHECK_MS);
    result->live_ms = sim_now_ms(explore->world) - from_ms;
    if (result->acknowledged == before)
        explore_break(explore, RULE_NOT_LIVE, "%" PRId64 " ms after the last failure", result->live_ms);
    whole(explore, from_ms);
}

static void dump(const Explore *explore)
{
    for (int i = 0; i < explore->node_count; i++) {
        printf("--- %s\n", explore->nodes[i].name);
        recorder_dump(explore->nodes[i].recorder, stdout);
    }
}

void explore_run(const ExplorePlan *plan, bool loud, ExploreResult *result)
{
    *result = (ExploreResult){.rule = RULE_NONE};
    Explore *explore = talloc_zero(NULL, Explore);
    explore->plan = plan;
    explore->result = result;
    explore->loud = loud;
    explore->world = sim_world_new(explore, plan->world);
    sim_watch_events(explore->world, check_step, explore);
    sim_watch_disks(explore->world, disk_changed, explore);
    found(explore);
    explore->start_ms = sim_now_ms(explore->world);
    adversary(explore);
    if (!broken(explore))
        live(explore);
    result->steps = sim_events(explore->world);
    if (loud && broken(explore))
        dump(explore);
    sim_watch_disks(explore->world, NULL, NULL);
    talloc_free(explore->world); /* first: what runs there refers to the rest */
    talloc_free(explore);
}
