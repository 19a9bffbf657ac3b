/* Controllers are lost under load one right after another, each time as many as the cluster must tolerate: when they
 * have returned or were replaced, all voters must be in the leader's view again in time for the next loss. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

/* How a controller is lost and returns. CUT_IN and CUT_OUT cut the links to it and from it only, REPLACE and
 * REPLACE_TERM replace its machine by a spare after a loss of power and after SIGTERM. */
#define LOSS_LIST(X) \
    X(KILL)          \
    X(POWER)         \
    X(WIPE)          \
    X(REPLACE)       \
    X(REPLACE_TERM)  \
    X(FREEZE)        \
    X(CUT)           \
    X(CUT_IN)        \
    X(CUT_OUT)       \
    X(DISK_SLOW)     \
    X(DISK_HANG)     \
    X(DISK_FAILS)
typedef enum Loss {
#define X(name) LOSS_##name,
    LOSS_LIST(X)
#undef X
        LOSS_COUNT
} LossKind;

static const char *const LOSS_WORDS[] = {
#define X(name) #name,
    LOSS_LIST(X)
#undef X
};

/* A fleet that loses controllers repeatedly. */
typedef struct Trial {
    Fleet *fleet;
    uint64_t seed;
    size_t wanted;    /* number of voters */
    int losses;       /* controllers to be lost at a time */
    int next_spare;   /* the controller that replaces the next lost machine */
    int64_t worst_ms; /* the longest time from a return until all voters are in the view */
    char worst[64];   /* the loss that took this long */
} Trial;

/* A random number from 0 to below - 1. */
static uint64_t random_below(Trial *trial, uint64_t below)
{
    return sim_random(trial->fleet->world) % below;
}

/* Number of voters in the leader's view; 0 when there is no leader. */
static size_t count_in_view(Fleet *fleet)
{
    const int leader = fleet_leader(fleet);
    if (leader < 0)
        return 0;
    ReplicationStatus reach;
    size_t count = 0;
    replication_status(controller_replication(fleet_node(fleet, FLEET_CONTROLLER, leader)->controller), &reach);
    for (size_t i = 0; i < reach.voter_count; i++)
        count += reach.voters[i].in_view;
    return count;
}

/* Whether the view has the wanted number of voters, all of them on controllers that run and are reachable from the
 * leader. */
static bool all_voters_in_view(Trial *trial)
{
    Fleet *fleet = trial->fleet;
    const int leader = fleet_leader(fleet);
    if (leader < 0 || count_in_view(fleet) != trial->wanted)
        return false;
    uint64_t disks[VOTERS_MAX];
    const FleetNode *first = fleet_node(fleet, FLEET_CONTROLLER, leader);
    const size_t count = replication_voters(controller_replication(first->controller), disks);
    size_t good = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, i);
        if (!node->up || node->controller == NULL || sim_frozen(fleet->world, node->machine) ||
            sim_link_is_cut(fleet->world, first->machine, node->machine) ||
            sim_link_is_cut(fleet->world, node->machine, first->machine))
            continue;
        for (size_t k = 0; k < count; k++)
            good += disks[k] == replication_disk(controller_replication(node->controller));
    }
    return good == trial->wanted;
}

/* Whether the controller runs and has a vote according to the leader. */
static bool is_voter(Fleet *fleet, int controller)
{
    uint64_t disks[VOTERS_MAX];
    const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, controller);
    const int leader = fleet_leader(fleet);
    if (leader < 0 || !node->up || node->controller == NULL)
        return false;
    const size_t count =
        replication_voters(controller_replication(fleet_node(fleet, FLEET_CONTROLLER, leader)->controller), disks);
    for (size_t i = 0; i < count; i++)
        if (disks[i] == replication_disk(controller_replication(node->controller)))
            return true;
    return false;
}

/* A controller that is lost. */
typedef struct LostController {
    int controller;
    LossKind kind;
} LostController;

/* Causes the loss. out_ms: how long a freeze lasts. */
static void cause_loss(Trial *trial, LostController *lost, int64_t out_ms)
{
    Fleet *fleet = trial->fleet;
    FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, lost->controller);
    checker_fault(fleet->checker);
    switch (lost->kind) {
    case LOSS_KILL:
        fleet_kill(fleet, FLEET_CONTROLLER, lost->controller);
        break;
    case LOSS_REPLACE_TERM:
        fleet_shut_down(fleet, FLEET_CONTROLLER, lost->controller);
        break;
    case LOSS_POWER:
    case LOSS_REPLACE:
        fleet_power_off(fleet, FLEET_CONTROLLER, lost->controller);
        break;
    case LOSS_WIPE:
        fleet_power_off(fleet, FLEET_CONTROLLER, lost->controller);
        sim_disk_wipe(fleet->world, node->machine);
        break;
    case LOSS_FREEZE:
        fleet_freeze(fleet, FLEET_CONTROLLER, lost->controller, out_ms);
        break;
    case LOSS_CUT:
        fleet_node_cut(fleet, FLEET_CONTROLLER, lost->controller, true);
        break;
    case LOSS_CUT_IN:
    case LOSS_CUT_OUT:
        for (int role = 0; role < FLEET_ROLES; role++)
            for (int i = 0; i < fleet->node_count[role]; i++) {
                const int other = fleet_node(fleet, (FleetRole)role, i)->machine;
                if (other != node->machine)
                    sim_link_cut(fleet->world, lost->kind == LOSS_CUT_IN ? other : node->machine,
                                 lost->kind == LOSS_CUT_IN ? node->machine : other, true);
            }
        break;
    case LOSS_DISK_SLOW:
        sim_disk_slow(fleet->world, node->machine, 15);
        break;
    case LOSS_DISK_HANG:
        sim_disk_slow(fleet->world, node->machine, 3500);
        break;
    default:
        sim_disk_fail(fleet->world, node->machine, true);
        break;
    }
}

/* Ends the loss: the controller returns, or a spare replaces its machine. */
static void end_loss(Trial *trial, LostController *lost)
{
    Fleet *fleet = trial->fleet;
    FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, lost->controller);
    checker_fault(fleet->checker);
    switch (lost->kind) {
    case LOSS_KILL:
    case LOSS_POWER:
    case LOSS_WIPE:
        fleet_start_node(fleet, FLEET_CONTROLLER, lost->controller);
        break;
    case LOSS_FREEZE:
        break; /* ends by itself */
    case LOSS_CUT:
    case LOSS_CUT_IN:
    case LOSS_CUT_OUT:
        fleet_node_cut(fleet, FLEET_CONTROLLER, lost->controller, false);
        break;
    case LOSS_DISK_SLOW:
    case LOSS_DISK_HANG:
        sim_disk_slow(fleet->world, node->machine, 1);
        break;
    case LOSS_DISK_FAILS:
        sim_disk_fail(fleet->world, node->machine, false);
        break;
    default: /* a spare replaces the machine for good */
        fleet_start_node(fleet, FLEET_CONTROLLER, trial->next_spare++);
        break;
    }
}

/* The longest time without an accepted job since since_ms. */
static int64_t gap_ms(Fleet *fleet, int64_t since_ms)
{
    CallerJob *const *jobs;
    const size_t count = caller_jobs(fleet->callers[0], &jobs);
    const int64_t offset_ms = loop_now_ms(sim_loop(fleet->world, fleet->caller_machine)) - sim_now_ms(fleet->world);
    int64_t worst = 0;
    for (int64_t at_ms = since_ms, next_ms; at_ms < sim_now_ms(fleet->world); at_ms = next_ms) {
        next_ms = sim_now_ms(fleet->world);
        for (size_t i = 0; i < count; i++)
            if (jobs[i]->accepted_ms - offset_ms > at_ms && jobs[i]->accepted_ms - offset_ms < next_ms)
                next_ms = jobs[i]->accepted_ms - offset_ms;
        worst = next_ms - at_ms > worst ? next_ms - at_ms : worst;
    }
    return worst;
}

/* How long a loss of this kind lasts; drawn at random. */
static int64_t outage_ms(Trial *trial, LossKind kind)
{
    return kind == LOSS_REPLACE || kind == LOSS_REPLACE_TERM ? 1200 + (int64_t)random_below(trial, 800)
                                                             : 700 + (int64_t)random_below(trial, 5000);
}

/* Prints the replication state of each controller, and the leader's view of its voters. */
static void dump_voters(Fleet *fleet)
{
    ReplicationStatus reach;
    for (int c = 0; c < fleet->node_count[FLEET_CONTROLLER]; c++) {
        const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, c);
        if (!node->up || node->controller == NULL)
            continue;
        replication_status(controller_replication(node->controller), &reach);
        fprintf(stderr, "%s disk %llx phase %d term %llx last %llu commit %llu delivered %llu base %llu\n",
                node->settings.name, (unsigned long long)replication_disk(controller_replication(node->controller)),
                (int)reach.phase, (unsigned long long)reach.term, (unsigned long long)reach.last_index,
                (unsigned long long)reach.commit_index, (unsigned long long)reach.delivered_index,
                (unsigned long long)reach.base_index);
        for (size_t i = 0; i < reach.voter_count && reach.phase == REPLICATION_LEADING; i++)
            fprintf(stderr, "   %llx in view %d answers %d restarted %d sync %ld ms match %llu\n",
                    (unsigned long long)reach.voters[i].disk, reach.voters[i].in_view, reach.voters[i].answers,
                    reach.voters[i].restarted, (long)reach.voters[i].sync_ms,
                    (unsigned long long)reach.voters[i].match_index);
    }
}

/* Loses as many voters together as the cluster must tolerate, lets them return together, and asserts that all voters
 * are in the view again within bound_ms. The first loss is of the given kind, the others of random kinds. The
 * environment variable SPANCART_LOSSES makes it print each loss. */
static void loss_attempt(Trial *trial, LossKind kind, bool with_leader, int64_t bound_ms)
{
    Fleet *fleet = trial->fleet;
    LostController lost[4];
    int count = 0;
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    if (with_leader)
        lost[count++] = (LostController){leader, kind};
    for (int tries = 0; tries < 200 && count < trial->losses; tries++) {
        const int controller = (int)random_below(trial, (uint64_t)fleet->node_count[FLEET_CONTROLLER]);
        bool again = !is_voter(fleet, controller) || controller == leader;
        for (int i = 0; i < count; i++)
            again |= lost[i].controller == controller;
        if (again)
            continue;
        const LossKind next = count == 0 ? kind : (LossKind)random_below(trial, LOSS_COUNT);
        lost[count++] = (LostController){controller, next};
    }
    int64_t out_ms = outage_ms(trial, kind);
    for (int i = 0; i < count; i++)
        if (lost[i].kind == LOSS_REPLACE || lost[i].kind == LOSS_REPLACE_TERM)
            out_ms = outage_ms(trial, lost[i].kind);
    for (int i = 0; i < count; i++)
        cause_loss(trial, &lost[i], out_ms);
    fleet_run(fleet, out_ms);
    for (int i = 0; i < count; i++)
        end_loss(trial, &lost[i]);
    const int64_t from_ms = sim_now_ms(fleet->world);
    int64_t took_ms = 0;
    bool whole = false;
    for (; !whole && took_ms < bound_ms; took_ms = sim_now_ms(fleet->world) - from_ms) {
        fleet_run(fleet, 20);
        whole = all_voters_in_view(trial);
    }
    if (getenv("SPANCART_LOSSES") != NULL) {
        printf("%8ld %s%s", (long)from_ms, with_leader ? "leader " : "", whole ? "" : "VOTERS MISSING ");
        for (int i = 0; i < count; i++)
            printf("%s(core%d) ", LOSS_WORDS[lost[i].kind], lost[i].controller + 1);
        printf("lost for %ld ms, all voters in view after %ld ms, longest gap %ld ms\n", (long)out_ms, (long)took_ms,
               (long)gap_ms(fleet, from_ms - out_ms));
    }
    if (took_ms > trial->worst_ms) {
        trial->worst_ms = took_ms;
        snprintf(trial->worst, sizeof(trial->worst), "%s%s", with_leader ? "leader " : "", LOSS_WORDS[kind]);
    }
    if (!whole || checker_violations_total(fleet->checker) > 0) {
        fleet_dump(fleet);
        dump_voters(fleet);
        fail_msg("seed %u: %s after %s of %s: %zu of %zu voters in the view", (unsigned)trial->seed,
                 checker_violations_total(fleet->checker) > 0 ? checker_first_violation(fleet->checker)
                                                              : "voters missing too long",
                 LOSS_WORDS[kind], with_leader ? "the leader" : "a follower", count_in_view(fleet), trial->wanted);
    }
}

/* Runs one trial of attempts losses; they go through all kinds in turn, alternately with and without the leader. */
static void run_trial(uint64_t seed, FleetShape shape, const FleetSite *site, size_t wanted, int attempts)
{
    Trial trial = {.seed = seed, .wanted = wanted, .losses = site->losses, .next_spare = shape.controllers};
    Fleet *fleet = trial.fleet = fleet_new_with_site(NULL, seed, shape, site);
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 20000) && fleet_configure(fleet));
    checker_config_acknowledged(fleet->checker, 1);
    fleet_run(fleet, 3000);
    fleet_submit_jobs(fleet, "c", 12000, 1000000);
    fleet_run(fleet, 1000);
    for (int i = 0; i < attempts; i++) {
        const LossKind kind = (LossKind)((seed * 5 + (uint64_t)i) % LOSS_COUNT);
        loss_attempt(&trial, kind, (seed + (uint64_t)i / LOSS_COUNT) % 2 == 0, site->voter_back_ms - 300);
    }
    printf("seed %u: all voters in view at most %ld ms after a return (%s)\n", (unsigned)seed, (long)trial.worst_ms,
           trial.worst);
    for (int i = 0; i < fleet->caller_count; i++)
        caller_stop(fleet->callers[i]);
    const bool finished = fleet_wait_jobs_ended(fleet, 60000);
    if (!finished || checker_violations_total(fleet->checker) > 0)
        fleet_dump(fleet);
    assert_true(finished);
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

static void three_voters(void **state)
{
    (void)state;
    const FleetSite site = {
        .zones = 3, .losses = 1, .founded_by_votes = true, .disks_keep = true, .voter_back_ms = 4000};
    for (uint64_t seed = 1; seed <= 4; seed++)
        run_trial(seed, (FleetShape){3, 3, 6, MIX_TRENTVALE, 12}, &site, 3, 2 * LOSS_COUNT);
}

static void five_voters_of_six(void **state)
{
    (void)state;
    const FleetSite site = {
        .zones = 3, .losses = 2, .founded_by_votes = true, .disks_keep = true, .voter_back_ms = 6000};
    for (uint64_t seed = 1; seed <= 3; seed++)
        run_trial(seed, (FleetShape){6, 4, 6, MIX_ATLAS, 20}, &site, 5, LOSS_COUNT);
}

static void five_voters_of_eight(void **state)
{
    (void)state;
    const FleetSite site = {
        .zones = 4, .losses = 2, .founded_by_votes = true, .disks_keep = true, .voter_back_ms = 6000};
    for (uint64_t seed = 4; seed <= 6; seed++)
        run_trial(seed, (FleetShape){8, 4, 6, MIX_TRENTVALE, 20}, &site, 5, LOSS_COUNT);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(three_voters),
        cmocka_unit_test(five_voters_of_six),
        cmocka_unit_test(five_voters_of_eight),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
