/* Graceful shutdown of controllers: when the process has ended, its vote belongs to another one, so that the cluster
 * survives a loss right after it. */
#include "replaced_fixture.h"

/* Sends SIGTERM and runs until the process has ended. */
static void leave_to_the_end(Fleet *fleet, int controller)
{
    fleet_shut_down(fleet, FLEET_CONTROLLER, controller);
    while (fleet_node(fleet, FLEET_CONTROLLER, controller)->up)
        fleet_run(fleet, 10);
}

/* A voter gets SIGTERM while there is a learner: as soon as the process has ended, the learner has the vote, so that
 * the cluster survives a loss right after it. */
static void leaves_then_loss(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int gone = pick_voter(fleet, seed % 2 == 0);
        leave_to_the_end(fleet, gone);
        must_lead(fleet, "after the shutdown of a voter");
        fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, seed / 2 % 2 == 0));
        fleet_run(fleet, 100);
        must_lead(fleet, "after the shutdown of a voter and a loss right after it");
        finish(fleet);
    }
}

/* A voter is lost, and the learner that is given its vote gets SIGTERM before it knows of the vote. It must not end
 * until the other learner has the vote, so that the cluster survives a loss right after its end. */
static void learner_leaves_as_it_gets_the_vote(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){5, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        bool learns[5];
        for (int i = 0; i < 5; i++)
            learns[i] = !votes(fleet, i);
        fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, false));
        int gone = -1;
        while (gone < 0) {
            fleet_run(fleet, 1);
            for (int i = 0; i < 5 && fleet_leader(fleet) >= 0; i++)
                if (learns[i] && votes(fleet, i))
                    gone = i;
        }
        const Replication *own = controller_replication(fleet_node(fleet, FLEET_CONTROLLER, gone)->controller);
        assert_false(replication_is_voter(own)); /* according to its own log */
        leave_to_the_end(fleet, gone);
        must_lead(fleet, "after the shutdown of a new voter");
        fleet_power_off(fleet, FLEET_CONTROLLER, pick_voter(fleet, seed % 2 == 0));
        fleet_run(fleet, 100);
        must_lead(fleet, "after the shutdown of a new voter and a loss right after it");
        finish(fleet);
    }
}

/* Without a learner a voter that gets SIGTERM keeps its vote and ends without waiting for one. */
static void leaves_without_learner(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        const int gone = pick_voter(fleet, seed % 2 == 0);
        fleet_shut_down(fleet, FLEET_CONTROLLER, gone);
        fleet_run(fleet, 3000);
        assert_false(fleet_node(fleet, FLEET_CONTROLLER, gone)->up);
        fleet_start_node(fleet, FLEET_CONTROLLER, gone);
        fleet_run(fleet, 2000);
        must_lead(fleet, "after a restart");
        assert_true(votes(fleet, gone));
        finish(fleet);
    }
}

/* All controllers are restarted by SIGTERM one after another: each returns as a learner with its log, or as the voter
 * that it was, and there are three voters all the time. */
static void rolled(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed, (FleetShape){4, 3, 4, MIX_TRENTVALE, 0}, &ONE_LOSS);
        for (int controller = 0; controller < 4; controller++) {
            fleet_restart_gracefully(fleet, FLEET_CONTROLLER, controller);
            fleet_run(fleet, SYNC_MS);
            must_lead(fleet, "while all are restarted");
            assert_int_equal(fleet_healthy_voters(fleet), 3);
        }
        finish(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leaves_then_loss),
        cmocka_unit_test(learner_leaves_as_it_gets_the_vote),
        cmocka_unit_test(leaves_without_learner),
        cmocka_unit_test(rolled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
