/* Changes of membership under timelines that broke a rule once, as the explorer printed them. */
#include "plays.h"

/* A list of voters is ordered on the word of members that have just gone: a disk is wiped while
 * another voter is out, and again while one stands still. Without asking them once more it could
 * never be committed. */
static void just_gone(void **state)
{
    (void)state;
    plays((ExplorePlan){.seed = 26,
                        .world = 26,
                        .losses = 1,
                        .spares = 2,
                        .by_votes = true,
                        .snapshot = 80,
                        .voter_back_ms = 6000,
                        .length_ms = 39194,
                        .acts = {
                            {1128, ACT_POWER, WHO_LEADER, 22, 3888, 0},
                            {3595, ACT_WIPE, WHO_VOTER, 5, 3565, 0},
                        }});
    plays((ExplorePlan){.seed = 174,
                        .world = 47688,
                        .losses = 1,
                        .spares = 3,
                        .snapshot = 5,
                        .voter_back_ms = 3000,
                        .length_ms = 31316,
                        .acts = {
                            {27893, ACT_FREEZE, WHO_VOTER, 19, 2912, 0},
                            {29723, ACT_WIPE, WHO_VOTER, 8, 142, 0},
                        }});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(just_gone),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
