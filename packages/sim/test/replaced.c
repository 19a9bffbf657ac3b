/* Controllers are lost and replaced one after another, with the shortest allowed time between two losses: each time a
 * learner becomes a voter before the next loss. */
#include "replaced_fixture.h"

/* The new controller follows the log before the old one is shut down; the next loss comes as soon as it is allowed. */
static void planned_then_lost(uint64_t seed, bool leader_goes, bool leader_lost)
{
    Fleet *fleet = begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 1}, &ONE_LOSS);
    const int fresh = 3;
    fleet_start_node(fleet, FLEET_CONTROLLER, fresh);
    fleet_run(fleet, CATCH_UP_MS);
    fleet_shut_down(fleet, FLEET_CONTROLLER, pick_controller(fleet, fresh, leader_goes));
    fleet_run(fleet, SYNC_MS);
    must_lead(fleet, "after a planned replacement");
    fleet_power_off(fleet, FLEET_CONTROLLER, pick_controller(fleet, fresh, leader_lost));
    fleet_run(fleet, 1000);
    must_lead(fleet, "after a planned replacement and one more loss");
    finish(fleet);
}

static void planned_then_loss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++)
        planned_then_lost(seed, seed % 2 == 0, seed / 2 % 2 == 0);
}

/* A learner that has followed the log all along becomes a voter in place of one that is lost without notice. */
static void learner_then_loss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        for (int loss = 0; loss < 2; loss++) {
            fleet_power_off(fleet, FLEET_CONTROLLER, pick_controller(fleet, -1, (seed + (uint64_t)loss) % 2 == 0));
            fleet_run(fleet, SYNC_MS);
            must_lead(fleet, "after losses without notice");
        }
        finish(fleet);
    }
}

/* A voter is lost, keeps its disk and is replaced meanwhile: it returns as a learner and becomes a voter again after
 * the next loss. */
static void returns_as_learner(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int lost = pick_voter(fleet, seed % 2 == 0);
        fleet_power_off(fleet, FLEET_CONTROLLER, lost);
        fleet_run(fleet, SYNC_MS);
        must_lead(fleet, "after a loss");
        fleet_start_node(fleet, FLEET_CONTROLLER, lost);
        fleet_run(fleet, CATCH_UP_MS);
        must_lead(fleet, "after a return");
        assert_false(votes(fleet, lost));
        fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, seed / 2 % 2 == 0));
        fleet_run(fleet, SYNC_MS);
        must_lead(fleet, "after one more loss");
        assert_true(votes(fleet, lost));
        finish(fleet);
    }
}

/* --- status ----------------------------------------------------------------------------- */

/* Fails unless the leader's status holds the text. */
static void status_has(Fleet *fleet, const char *text)
{
    const HttpCall call = fleet_request(fleet, fleet, FLEET_CONTROLLER, fleet_leader(fleet), "GET", "/v1/status", NULL);
    assert_int_equal(call.code, 200);
    const char *body = talloc_strndup(fleet, (const char *)call.response_body.data, call.response_body.count);
    if (strstr(body, text) == NULL)
        fail_msg("%s is not in %s", text, body);
}

/* The status shows which controllers follow, how far behind they are, and how many losses can be tolerated: fewer right
 * after a loss, and as many as before once the learner is a voter. */
static void status_shows(void **state)
{
    (void)state;
    Fleet *fleet = begin(3, (FleetShape){4, 3, 2, MIX_TRENTVALE, 0}, &ONE_LOSS);
    status_has(fleet, "\"losses\":{\"borne\":1,\"asked\":1}");
    status_has(fleet, "\"answers\":true,\"ready\":true,\"index\":");
    status_has(fleet, "\"behind\":0}]");
    fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, false));
    fleet_run(fleet, 1000);
    status_has(fleet, "\"losses\":{\"borne\":0,\"asked\":1}");
    fleet_run(fleet, SYNC_MS);
    status_has(fleet, "\"losses\":{\"borne\":1,\"asked\":1}");
    status_has(fleet, "\"learners\":[]");
    finish(fleet);
}

/* --- losses in sequence ----------------------------------------------------------------- */

#define ATTEMPTS 10
#define OUT_MS 1000 /* from a loss until the machine, or its replacement, starts */

/* LOSS_WIPED: the machine returns with an empty disk; LOSS_REPLACED: a spare starts in place of the lost controller;
 * LOSS_PLANNED: a spare follows the log before the controller is shut down. */
typedef enum LossKind { LOSS_WIPED, LOSS_REPLACED, LOSS_PLANNED, LOSS_KINDS } LossKind;
/* Which voter is lost; oldest: by the age of its disk. */
typedef enum Target { TARGET_ANY, TARGET_OLDEST, TARGET_LEADER, TARGETS } Target;

/* A fleet, the age of its controllers' disks and the next spare to start. */
typedef struct Trial {
    Fleet *fleet;
    int64_t disk_since_ms[FLEET_ROLE_NODES_MAX]; /* when each controller began with its present disk */
    int next_spare;
} Trial;

/* Starts the controller with a new disk. */
static void controller_begin(Trial *trial, int controller)
{
    trial->disk_since_ms[controller] = sim_now_ms(trial->fleet->world);
    fleet_start_node(trial->fleet, FLEET_CONTROLLER, controller);
}

/* A voter that runs and is not the spared one (-1: none). */
static int target_voter(Trial *trial, Target target, int spared)
{
    Fleet *fleet = trial->fleet;
    if (target != TARGET_OLDEST) {
        for (;;) {
            const int controller = target == TARGET_LEADER && fleet_leader(fleet) != spared
                                       ? fleet_leader(fleet)
                                       : pick_controller(fleet, spared, false);
            if (votes(fleet, controller))
                return controller;
        }
    }
    int oldest = -1;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        if (fleet_node(fleet, FLEET_CONTROLLER, i)->up && i != spared && votes(fleet, i) &&
            (oldest < 0 || trial->disk_since_ms[i] < trial->disk_since_ms[oldest]))
            oldest = i;
    return oldest;
}

/* Loses the controller, or shuts it down. */
static void controller_lose(Trial *trial, int controller, LossKind kind)
{
    if (kind == LOSS_PLANNED) {
        fleet_shut_down(trial->fleet, FLEET_CONTROLLER, controller);
        return;
    }
    fleet_power_off(trial->fleet, FLEET_CONTROLLER, controller);
    if (kind == LOSS_WIPED)
        sim_disk_wipe(trial->fleet->world, fleet_node(trial->fleet, FLEET_CONTROLLER, controller)->machine);
}

/* Starts the controller again, or the next spare in its place; a planned loss was replaced before. */
static void controller_return(Trial *trial, int controller, LossKind kind)
{
    if (kind == LOSS_WIPED)
        controller_begin(trial, controller);
    else if (kind == LOSS_REPLACED)
        controller_begin(trial, trial->next_spare++);
}

/* In each attempt as many voters are lost at the same time as are tolerated, and all are back or replaced before the
 * next attempt. cut_short: a learner is lost as well. */
static void loss_attempts(uint64_t seed, FleetShape shape, const FleetSite *site, Target target, bool cut_short)
{
    Trial trial = {.fleet = begin(seed, shape, site), .next_spare = shape.controllers};
    Fleet *fleet = trial.fleet;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
        const LossKind kind = (LossKind)((seed + (uint64_t)attempt) % LOSS_KINDS);
        int lost[2] = {-1, -1};
        for (int i = 0; i < site->losses && kind == LOSS_PLANNED; i++)
            controller_begin(&trial, trial.next_spare++);
        fleet_run(fleet, kind == LOSS_PLANNED ? CATCH_UP_MS : 0);
        must_lead(fleet, "before a loss");
        for (int i = 0; i < site->losses; i++)
            lost[i] = target_voter(&trial, i == 0 ? target : TARGET_ANY, lost[0]);
        for (int i = 0; i < site->losses; i++)
            controller_lose(&trial, lost[i], kind);
        fleet_run(fleet, OUT_MS);
        if (cut_short) { /* a learner is lost while it catches up, and another one starts */
            const int learner = trial.next_spare++;
            controller_begin(&trial, learner);
            fleet_run(fleet, 20 + (int64_t)(sim_random(fleet->world) % 400));
            fleet_power_off(fleet, FLEET_CONTROLLER, learner);
        }
        for (int i = 0; i < site->losses; i++)
            controller_return(&trial, lost[i], kind);
        fleet_run(fleet, site->voter_back_ms);
        must_lead(fleet, "after a loss");
        assert_int_equal(fleet_healthy_voters(fleet), 2 * site->losses + 1);
    }
    finish(fleet);
}

/* With enough spares for a replacement and a lost learner in each attempt. */
#define ONE_SHAPE ((FleetShape){3, 3, 2, MIX_TRENTVALE, 3 * ATTEMPTS})

static void attempts_any(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        loss_attempts(seed, ONE_SHAPE, &ONE_LOSS, TARGET_ANY, false);
}

static void attempts_oldest(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        loss_attempts(seed, ONE_SHAPE, &ONE_LOSS, TARGET_OLDEST, false);
}

static void attempts_leader(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        loss_attempts(seed, ONE_SHAPE, &ONE_LOSS, TARGET_LEADER, false);
}

static void attempts_learner_lost(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        loss_attempts(seed, ONE_SHAPE, &ONE_LOSS, (Target)(seed % TARGETS), true);
}

static void attempts_two_at_once(void **state)
{
    (void)state;
    const FleetSite site = {.zones = 3,
                            .losses = 2,
                            .founded_by_votes = true,
                            .disks_keep = true,
                            .voter_back_ms = 6000,
                            .stagger_ms = 500};
    for (uint64_t seed = 1; seed <= 6; seed++)
        loss_attempts(seed, (FleetShape){6, 3, 2, MIX_TRENTVALE, 2 * ATTEMPTS}, &site, (Target)(seed % TARGETS), false);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(planned_then_loss),    cmocka_unit_test(learner_then_loss),
        cmocka_unit_test(status_shows),         cmocka_unit_test(returns_as_learner),
        cmocka_unit_test(attempts_any),         cmocka_unit_test(attempts_oldest),
        cmocka_unit_test(attempts_leader),      cmocka_unit_test(attempts_learner_lost),
        cmocka_unit_test(attempts_two_at_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
