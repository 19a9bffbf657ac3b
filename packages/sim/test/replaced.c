/* Disk machines replaced and lost one after another, at the shortest span that may lie
 * between two losses: each time a learner has the vote before the next one goes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define SYNC_MS 4000     /* ms; a loss counts for so long after the machine's return */
#define FOLLOWED_MS 2000 /* ms; a core that starts follows the log after this: founding and one snapshot */
#define SERVED_MS 6000   /* ms; after a loss another core leads within this */

static const FleetSite ONE_LOSS = {
    .zones = 3, .losses = 1, .votes = true, .disks_keep = true, .seat_back_ms = SYNC_MS, .staggerMs = 500};

static Fleet *begin(uint64_t seed, FleetShape shape, const FleetSite *site)
{
    Fleet *fleet = fleetNewAt(NULL, seed, shape, site);
    /* one that is told to end does so as soon as it may */
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++)
        fleetNode(fleet, FLEET_CORE, i)->props.bounds.unready_ms = 0;
    fleetStart(fleet);
    assert_true(fleetSettle(fleet, 20000) && fleetConfigure(fleet));
    checkerConfigSet(fleet->checker, 1);
    fleetRun(fleet, SYNC_MS);
    return fleet;
}

static void finish(Fleet *fleet)
{
    if (checkerBrokenAll(fleet->checker) > 0)
        fleetDump(fleet);
    assert_int_equal(checkerBrokenAll(fleet->checker), 0);
    talloc_free(fleet);
}

/* A core that leads is there within the span; else shows what all have said. */
static void mustLead(Fleet *fleet, const char *when)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + SERVED_MS;
    while (fleetLeader(fleet) < 0 && sim_now_ms(fleet->world) < until_ms)
        fleetRun(fleet, 50);
    if (fleetLeader(fleet) >= 0)
        return;
    fleetDump(fleet);
    fail_msg("nobody leads %s", when);
}

/* A core of those that run, which is not the one to spare; the leader when asked for. */
static int drawn(Fleet *fleet, int spared, bool leader)
{
    const int leads = fleetLeader(fleet);
    if (leader && leads != spared)
        return leads;
    for (;;) {
        const int core = (int)(simRandom(fleet->world) % (uint64_t)fleet->nodeCount[FLEET_CORE]);
        if (fleetNode(fleet, FLEET_CORE, core)->up && core != spared)
            return core;
    }
}

/* The new core stands ready before the old one is told to go; the next loss comes
 * as soon as it may. */
static void plannedThenLost(uint64_t seed, bool leaderGoes, bool leaderLost)
{
    Fleet *fleet = begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 1}, &ONE_LOSS);
    const int fresh = 3;
    fleetStartNode(fleet, FLEET_CORE, fresh);
    fleetRun(fleet, FOLLOWED_MS);
    fleetLeave(fleet, FLEET_CORE, drawn(fleet, fresh, leaderGoes));
    fleetRun(fleet, SYNC_MS);
    mustLead(fleet, "after a planned replacement");
    fleetPowerOff(fleet, FLEET_CORE, drawn(fleet, fresh, leaderLost));
    fleetRun(fleet, 1000);
    mustLead(fleet, "after a planned replacement and one more loss");
    finish(fleet);
}

static void plannedThenLoss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++)
        plannedThenLost(seed, seed % 2 == 0, seed / 2 % 2 == 0);
}

/* One that has stood ready all the while takes the vote of one that is lost with no notice. */
static void standbyThenLoss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        for (int loss = 0; loss < 2; loss++) {
            fleetPowerOff(fleet, FLEET_CORE, drawn(fleet, -1, (seed + (uint64_t)loss) % 2 == 0));
            fleetRun(fleet, SYNC_MS);
            mustLead(fleet, "after losses without notice");
        }
        finish(fleet);
    }
}

/* --- leaving ------------------------------------------------------------------------ */

/* Whether the core's disk has a vote, by the list of whoever leads. */
static bool votes(Fleet *fleet, int core)
{
    uint64_t disks[SEAT_MOST];
    const int leader = fleetLeader(fleet);
    const FleetNode *node = fleetNode(fleet, FLEET_CORE, core);
    assert_true(leader >= 0 && node->core != NULL);
    const size_t count = view_seats(core_view(fleetNode(fleet, FLEET_CORE, leader)->core), disks);
    bool found = false;
    for (size_t i = 0; i < count; i++)
        found |= disks[i] == view_disk(core_view(node->core));
    return found;
}

/* A voter of those that run; the leader, or any other. */
static int voterDrawn(Fleet *fleet, bool leader)
{
    for (;;) {
        const int core = drawn(fleet, -1, leader);
        if (votes(fleet, core) && (core == fleetLeader(fleet)) == leader)
            return core;
    }
}

/* SIGTERM at a voter while a learner stands ready: as soon as the process has ended its
 * vote is another's, so that the next loss may follow at once. */
static void leavesThenLoss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int gone = voterDrawn(fleet, seed % 2 == 0);
        fleetLeave(fleet, FLEET_CORE, gone);
        while (fleetNode(fleet, FLEET_CORE, gone)->up)
            fleetRun(fleet, 10);
        mustLead(fleet, "after a voter has left");
        fleetPowerOff(fleet, FLEET_CORE, voterDrawn(fleet, seed / 2 % 2 == 0));
        fleetRun(fleet, 100);
        mustLead(fleet, "after a voter has left, and one more loss at once");
        finish(fleet);
    }
}

/* Without a learner it stays a voter, and does not wait for one. */
static void leavesWithoutLearner(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int gone = voterDrawn(fleet, seed % 2 == 0);
        fleetLeave(fleet, FLEET_CORE, gone);
        fleetRun(fleet, 3000);
        assert_false(fleetNode(fleet, FLEET_CORE, gone)->up);
        fleetStartNode(fleet, FLEET_CORE, gone);
        fleetRun(fleet, 2000);
        mustLead(fleet, "after a restart");
        assert_true(votes(fleet, gone));
        finish(fleet);
    }
}

/* All are restarted by SIGTERM, one after another: each returns as a learner with its
 * log, or as the voter that it was; three vote all the time. */
static void rolled(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        for (int core = 0; core < 4; core++) {
            fleetRoll(fleet, FLEET_CORE, core);
            fleetRun(fleet, SYNC_MS);
            mustLead(fleet, "while all are restarted");
            assert_int_equal(fleetSeats(fleet), 3);
        }
        finish(fleet);
    }
}

/* A voter lost with its disk kept, replaced meanwhile, comes back as a learner, and has
 * the vote again after the next loss. */
static void returnsAsLearner(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int gone = voterDrawn(fleet, seed % 2 == 0);
        fleetPowerOff(fleet, FLEET_CORE, gone);
        fleetRun(fleet, SYNC_MS);
        mustLead(fleet, "after a loss");
        fleetStartNode(fleet, FLEET_CORE, gone);
        fleetRun(fleet, FOLLOWED_MS);
        mustLead(fleet, "after a return");
        assert_false(votes(fleet, gone));
        fleetPowerOff(fleet, FLEET_CORE, voterDrawn(fleet, seed / 2 % 2 == 0));
        fleetRun(fleet, SYNC_MS);
        mustLead(fleet, "after one more loss");
        assert_true(votes(fleet, gone));
        finish(fleet);
    }
}

/* --- what is told ----------------------------------------------------------------------- */

static void statusHas(Fleet *fleet, const char *text)
{
    const HttpCall call = fleetAsk(fleet, fleet, FLEET_CORE, fleetLeader(fleet), "GET", "/v1/status", NULL);
    assert_int_equal(call.code, 200);
    const char *body = talloc_strndup(fleet, (const char *)call.result.data, call.result.count);
    if (strstr(body, text) == NULL)
        fail_msg("%s is not in %s", text, body);
}

/* Status tells who follows, how far behind it is, and how many losses are borne: fewer
 * right after a loss, as many as before once the learner votes. */
static void statusTells(void **state)
{
    (void)state;
    Fleet *fleet = begin(3, (FleetShape){4, 3, 2, MIX_TRENTVALE, 0}, &ONE_LOSS);
    statusHas(fleet, "\"losses\":{\"borne\":1,\"asked\":1}");
    statusHas(fleet, "\"answers\":true,\"ready\":true,\"index\":");
    statusHas(fleet, "\"behind\":0}]");
    fleetPowerOff(fleet, FLEET_CORE, voterDrawn(fleet, false));
    fleetRun(fleet, 1000);
    statusHas(fleet, "\"losses\":{\"borne\":0,\"asked\":1}");
    fleetRun(fleet, SYNC_MS);
    statusHas(fleet, "\"losses\":{\"borne\":1,\"asked\":1}");
    statusHas(fleet, "\"learners\":[]");
    finish(fleet);
}

/* --- one after another ---------------------------------------------------------------- */

#define ROUNDS 10
#define OUT_MS 1000 /* ms; from a loss until a machine, or another one, is there again */

typedef enum LossKind { LOSS_WIPED, LOSS_REPLACED, LOSS_PLANNED, LOSS_KINDS } LossKind;
typedef enum Target { TARGET_ANY, TARGET_OLDEST, TARGET_LEADER, TARGETS } Target;

typedef struct Trial {
    Fleet *fleet;
    int64_t diskSinceMs[FLEET_EACH_MAX]; /* of each core's present disk */
    int nextSpare;
} Trial;

static void coreBegin(Trial *trial, int core)
{
    trial->diskSinceMs[core] = sim_now_ms(trial->fleet->world);
    fleetStartNode(trial->fleet, FLEET_CORE, core);
}

/* A voter that runs and is not spared; -1 spares none. */
static int targetDrawn(Trial *trial, Target target, int spared)
{
    Fleet *fleet = trial->fleet;
    if (target != TARGET_OLDEST) {
        for (;;) {
            const int core = target == TARGET_LEADER && fleetLeader(fleet) != spared ? fleetLeader(fleet)
                                                                                     : drawn(fleet, spared, false);
            if (votes(fleet, core))
                return core;
        }
    }
    int oldest = -1;
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++)
        if (fleetNode(fleet, FLEET_CORE, i)->up && i != spared && votes(fleet, i) &&
            (oldest < 0 || trial->diskSinceMs[i] < trial->diskSinceMs[oldest]))
            oldest = i;
    return oldest;
}

static void strike(Trial *trial, int core, LossKind kind)
{
    if (kind == LOSS_PLANNED) {
        fleetLeave(trial->fleet, FLEET_CORE, core);
        return;
    }
    fleetPowerOff(trial->fleet, FLEET_CORE, core);
    if (kind == LOSS_WIPED)
        simDiskWipe(trial->fleet->world, fleetNode(trial->fleet, FLEET_CORE, core)->machine);
}

static void back(Trial *trial, int core, LossKind kind)
{
    if (kind == LOSS_WIPED)
        coreBegin(trial, core);
    else if (kind == LOSS_REPLACED)
        coreBegin(trial, trial->nextSpare++);
}

/* Each round as many are lost at once as may be, and all return before the next. */
static void lossRounds(uint64_t seed, FleetShape shape, const FleetSite *site, Target target, bool cutShort)
{
    Trial trial = {.fleet = begin(seed, shape, site), .nextSpare = shape.cores};
    Fleet *fleet = trial.fleet;
    for (int round = 0; round < ROUNDS; round++) {
        const LossKind kind = (LossKind)((seed + (uint64_t)round) % LOSS_KINDS);
        int lost[2] = {-1, -1};
        for (int i = 0; i < site->losses && kind == LOSS_PLANNED; i++)
            coreBegin(&trial, trial.nextSpare++);
        fleetRun(fleet, kind == LOSS_PLANNED ? FOLLOWED_MS : 0);
        mustLead(fleet, "before a loss");
        for (int i = 0; i < site->losses; i++)
            lost[i] = targetDrawn(&trial, i == 0 ? target : TARGET_ANY, lost[0]);
        for (int i = 0; i < site->losses; i++)
            strike(&trial, lost[i], kind);
        fleetRun(fleet, OUT_MS);
        if (cutShort) { /* a learner is lost while it catches up, and another comes */
            const int learner = trial.nextSpare++;
            coreBegin(&trial, learner);
            fleetRun(fleet, 20 + (int64_t)(simRandom(fleet->world) % 400));
            fleetPowerOff(fleet, FLEET_CORE, learner);
        }
        for (int i = 0; i < site->losses; i++)
            back(&trial, lost[i], kind);
        fleetRun(fleet, site->seat_back_ms);
        mustLead(fleet, "after a loss");
        assert_int_equal(fleetSeats(fleet), 2 * site->losses + 1);
    }
    finish(fleet);
}

#define ONE_SHAPE ((FleetShape){3, 3, 2, MIX_TRENTVALE, 3 * ROUNDS})

static void roundsAny(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        lossRounds(seed, ONE_SHAPE, &ONE_LOSS, TARGET_ANY, false);
}

static void roundsOldest(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        lossRounds(seed, ONE_SHAPE, &ONE_LOSS, TARGET_OLDEST, false);
}

static void roundsLeader(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        lossRounds(seed, ONE_SHAPE, &ONE_LOSS, TARGET_LEADER, false);
}

static void roundsLearnerLost(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        lossRounds(seed, ONE_SHAPE, &ONE_LOSS, (Target)(seed % TARGETS), true);
}

static void roundsTwoAtOnce(void **state)
{
    (void)state;
    const FleetSite site = {
        .zones = 3, .losses = 2, .votes = true, .disks_keep = true, .seat_back_ms = 6000, .staggerMs = 500};
    for (uint64_t seed = 1; seed <= 6; seed++)
        lossRounds(seed, (FleetShape){6, 3, 2, MIX_TRENTVALE, 2 * ROUNDS}, &site, (Target)(seed % TARGETS), false);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(plannedThenLoss),
        cmocka_unit_test(standbyThenLoss),
        cmocka_unit_test(leavesThenLoss),
        cmocka_unit_test(leavesWithoutLearner),
        cmocka_unit_test(rolled),
        cmocka_unit_test(statusTells),
        cmocka_unit_test(returnsAsLearner),
        cmocka_unit_test(roundsAny),
        cmocka_unit_test(roundsOldest),
        cmocka_unit_test(roundsLeader),
        cmocka_unit_test(roundsLearnerLost),
        cmocka_unit_test(roundsTwoAtOnce),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
