/* Plans with changes of membership that once broke a rule, as the explorer printed them. */
#include "run_passing.h"

/* Guards against a configuration of voters that is ordered on the acknowledgement of members that have just failed,
 * and so can never be committed. A disk is wiped while another voter is down, and in the second plan while another
 * voter is frozen. The members must be asked again before the configuration is ordered. */
static void just_gone(void **state)
{
    (void)state;
    run_rows_passing((ExplorePlan){.seed = 26,
                                   .world = 26,
                                   .losses = 1,
                                   .spares = 2,
                                   .by_votes = true,
                                   .snapshot = 80,
                                   .voter_replacement_ms = 6000,
                                   .length_ms = 39194,
                                   .acts = {
                                       {1128, ACT_POWER, WHO_LEADER, 22, 3888, 0, 0, 0},
                                       {3595, ACT_WIPE, WHO_VOTER, 5, 3565, 0, 0, 0},
                                   }});
    run_rows_passing((ExplorePlan){.seed = 174,
                                   .world = 47688,
                                   .losses = 1,
                                   .spares = 3,
                                   .snapshot = 5,
                                   .voter_replacement_ms = 3000,
                                   .length_ms = 31316,
                                   .acts = {
                                       {27893, ACT_FREEZE, WHO_VOTER, 19, 2912, 0, 0, 0},
                                       {29723, ACT_WIPE, WHO_VOTER, 8, 142, 0, 0, 0},
                                   }});
}

/* Two of four voters are asked to leave permanently while the third is down, and the pending configuration of four
 * is in that third voter's log alone. With one tolerated loss that is one too many, so the adversary must not
 * perform the second (docs/control-membership.md, "What can't be better"). */
static void ordered_list_counts(void **state)
{
    (void)state;
    const ExplorePlan plan = {.seed = 637,
                              .world = 637,
                              .losses = 1,
                              .spares = 3,
                              .by_votes = true,
                              .snapshot = 80,
                              .length_ms = 9000,
                              .act_count = 7,
                              .acts = {
                                  {3, ACT_STEP_DOWN, WHO_LEADER, 15, 770, 0, 0, 0},
                                  {106, ACT_LEAVE, WHO_VOTER, 15, 0, 0, 0, 0},
                                  {234, ACT_FREEZE, WHO_ANY, 5, 4795, 0, 0, 0},
                                  {265, ACT_CUT_BOTH, WHO_LEADER, 4, 1624, 0, 0, 0},
                                  {1221, ACT_KILL, WHO_VOTER, 22, 2487, 0, 0, 0},
                                  {1365, ACT_DELAY, WHO_ANY, 2, 3280, 242, 0, 0},
                                  {1625, ACT_LEAVE, WHO_LEARNER, 18, 0, 0, 0, 0},
                              }};
    const ExploreResult result = run_passing(&plan);
    assert_int_equal(result.performed[ACT_LEAVE], 1);
    assert_true(result.liveness_checked);
}

/* Guards against a learner that refuses all entries. A voter that is down is removed from the configuration, and on
 * its return promises itself a higher term while it hears from nobody. As a learner it refused everything that the
 * leader sent, so it never received the vote of the voter that was lost next. */
static void removed_with_a_higher_promise(void **state)
{
    (void)state;
    run_rows_passing((ExplorePlan){.seed = 2511,
                                   .world = 34187,
                                   .losses = 2,
                                   .spares = 1,
                                   .by_votes = true,
                                   .snapshot = 5,
                                   .voter_replacement_ms = 3000,
                                   .length_ms = 23677,
                                   .acts = {
                                       {6422, ACT_FAR, WHO_LEADER, 7, 3635, 658, MOMENT_NONE, MOMENT_ELECTION},
                                       {9005, ACT_POWER, WHO_VOTER, 5, 2525, 0, MOMENT_NONE, MOMENT_NONE},
                                       {10310, ACT_STEP_DOWN, WHO_LEADER, 0, 197, 0, MOMENT_NONE, MOMENT_NONE},
                                       {10721, ACT_VANISH, WHO_VOTER, 4, 0, 0, MOMENT_LIST, MOMENT_NONE},
                                       {11276, ACT_POWER, WHO_VOTER, 19, 31, 0, MOMENT_NONE, MOMENT_NONE},
                                   }});
}

/* Two of five voters' disks are lost, as many as are tolerated, while a third voter is powered off. That voter was
 * removed for its silence before its replacement was added: two members of the remaining configuration of four were
 * permanently lost, and the return of the third did not restore a majority. */
static void silent_voter_returns_after_two_lost_disks(void **state)
{
    (void)state;
    run_rows_passing((ExplorePlan){.seed = 2835,
                                   .world = 97863,
                                   .losses = 2,
                                   .spares = 1,
                                   .snapshot = 5,
                                   .voter_replacement_ms = 6000,
                                   .length_ms = 24097,
                                   .acts = {
                                       {8661, ACT_POWER, WHO_ANY, 20, 5306, 0, MOMENT_PROMISE, MOMENT_NONE},
                                       {9758, ACT_WIPE, WHO_ANY, 15, 3926, 0, MOMENT_ELECTION, MOMENT_NONE},
                                       {11248, ACT_FREEZE, WHO_VOTER, 4, 2677, 0, MOMENT_ELECTION, MOMENT_NONE},
                                       {12705, ACT_LEAVE, WHO_VOTER, 7, 0, 0, MOMENT_NONE, MOMENT_NONE},
                                       {13395, ACT_POWER, WHO_VOTER, 15, 1, 0, MOMENT_LIST, MOMENT_PROMISE},
                                   }});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(just_gone),
        cmocka_unit_test(ordered_list_counts),
        cmocka_unit_test(removed_with_a_higher_promise),
        cmocka_unit_test(silent_voter_returns_after_two_lost_disks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
