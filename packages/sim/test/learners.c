/* Learners in critical situations: one is lost just before it would be given a vote, another has promised a term above
 * the leader's. The cases fail without the safeguards members-asked and learner-above (scripts/guards.py). */
#include "replaced_fixture.h"
#include "state.h"

#define ADDED_MS 8000 /* a learner has been given a vote within this time after a loss */
#define STEP_MS 10    /* interval between two moments that are tried */
/* After this time a started process has read its journal, and no leader has sent it anything yet. */
#define READ_MS 20
#define PROMISED_MS 5    /* a promise is synced within this time */
#define PROMISE_SEEDS 32 /* seeds of the case with a higher promise */
/* The longest time from the learner's loss to its vote that is tried: the leader's latest contact with the learner may
 * be this old. */
#define TRIED_MS 700

static const Replication *replication_at(Fleet *fleet, int controller)
{
    return controller_replication(fleet_node(fleet, FLEET_CONTROLLER, controller)->controller);
}

/* Runs until a learner has been given a vote and returns it; -1: none within ADDED_MS. learns: which controllers are
 * learners. */
static int learner_added(Fleet *fleet, const bool learns[], int count)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + ADDED_MS;
    while (sim_now_ms(fleet->world) < until_ms) {
        fleet_run(fleet, 1);
        for (int i = 0; i < count && fleet_leader(fleet) >= 0; i++)
            if (learns[i] && votes(fleet, i))
                return i;
    }
    return -1;
}

/* A fleet of three voters and two learners, after a voter was lost for good. */
static Fleet *voter_gone(uint64_t seed, bool learns[5])
{
    Fleet *fleet = begin(seed, (FleetShape){5, 3, 2, MIX_TRENTVALE, 0}, &ONE_LOSS);
    for (int i = 0; i < 5; i++)
        learns[i] = !votes(fleet, i);
    fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, false));
    return fleet;
}

/* The learner that is about to get the vote of a lost voter is lost itself. A leader that relies on its latest contact
 * with the learner would append a list of four voters, two of them lost, which can never be committed. */
static void learner_lost_just_before_its_vote(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        bool learns[5];
        Fleet *fleet = voter_gone(seed, learns);
        const int64_t since_ms = sim_now_ms(fleet->world);
        const int chosen = learner_added(fleet, learns, 5);
        const int64_t added_ms = sim_now_ms(fleet->world) - since_ms;
        talloc_free(fleet);
        assert_true(chosen >= 0 && added_ms > TRIED_MS);
        for (int64_t before_ms = STEP_MS; before_ms <= TRIED_MS; before_ms += before_ms < 100 ? STEP_MS : 100) {
            fleet = voter_gone(seed, learns);
            fleet_run(fleet, added_ms - before_ms);
            fleet_power_off(fleet, FLEET_CONTROLLER, chosen);
            fleet_run(fleet, 2 * SYNC_MS);
            must_lead(fleet, "after a voter and the learner that was to replace it are lost");
            assert_int_equal(fleet_healthy_voters(fleet), 3);
            finish(fleet);
        }
    }
}

/* The only controller that has promised a higher term than promised; -1: there is none, or more than one. */
static int only_promised(Fleet *fleet, uint64_t promised)
{
    int found = -1, count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        if (replication_at(fleet, i)->lock.promised > promised) {
            found = i;
            count++;
        }
    return count == 1 ? found : -1;
}

/* Isolates the leader until a voter starts an election, then reconnects it. The candidate is isolated when it has
 * promised itself the next term, and is powered off once the promise is synced. Returns the candidate; -1: others had
 * promised as well. */
static int candidate_lost(Fleet *fleet)
{
    const int leader = fleet_leader(fleet);
    const uint64_t promised = replication_at(fleet, leader)->lock.promised;
    fleet_node_cut(fleet, FLEET_CONTROLLER, leader, true);
    int candidate = -1;
    while (candidate < 0 && (fleet_leader(fleet) < 0 || fleet_leader(fleet) == leader)) {
        fleet_run(fleet, 1);
        candidate = only_promised(fleet, promised);
    }
    fleet_node_cut(fleet, FLEET_CONTROLLER, leader, false);
    if (candidate < 0)
        return -1;
    fleet_node_cut(fleet, FLEET_CONTROLLER, candidate, true);
    fleet_run(fleet, PROMISED_MS);
    fleet_power_off(fleet, FLEET_CONTROLLER, candidate);
    return candidate;
}

/* The lost candidate is replaced and returns as a learner that has promised a term above the leader's. It must follow
 * the leader all the same, because the next loss makes it a voter again. */
static void learner_with_a_higher_promise(void **state)
{
    (void)state;
    int above = 0;
    for (uint64_t seed = 1; seed <= PROMISE_SEEDS; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 2, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int candidate = candidate_lost(fleet);
        if (candidate >= 0) {
            fleet_run(fleet, 2 * SYNC_MS);
            must_lead(fleet, "after the candidate is lost");
            fleet_node_cut(fleet, FLEET_CONTROLLER, candidate, false);
            fleet_start_node(fleet, FLEET_CONTROLLER, candidate);
            fleet_run(fleet, READ_MS);
            above += replication_at(fleet, candidate)->lock.promised > replication_at(fleet, fleet_leader(fleet))->term;
            fleet_run(fleet, CATCH_UP_MS);
            fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, seed % 2 == 0));
            fleet_run(fleet, 2 * SYNC_MS);
            must_lead(fleet, "after one more loss");
            assert_true(votes(fleet, candidate));
        }
        finish(fleet);
    }
    assert_true(above >= PROMISE_SEEDS / 8);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(learner_lost_just_before_its_vote),
        cmocka_unit_test(learner_with_a_higher_promise),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
