/* Changes of membership under timelines that broke a rule once, as the explorer printed them. */
#include "plays.h"

/* A list of voters is ordered on the word of members that have just gone: a disk is wiped while
 * another voter is out, and again while one stands still. Without asking them once more it could
 * never be committed. */
static void justGone(void **state)
{
    (void)state;
    plays((ExplorePlan){.seed = 26,
                        .world = 26,
                        .losses = 1,
                        .spares = 2,
                        .byVotes = true,
                        .snapshot = 80,
                        .voterBackMs = 6000,
                        .lengthMs = 39194,
                        .acts = {
                            {1128, ACT_POWER, WHO_LEADER, 22, 3888, 0},
                            {3595, ACT_WIPE, WHO_VOTER, 5, 3565, 0},
                        }});
    plays((ExplorePlan){.seed = 174,
                        .world = 47688,
                        .losses = 1,
                        .spares = 3,
                        .snapshot = 5,
                        .voterBackMs = 3000,
                        .lengthMs = 31316,
                        .acts = {
                            {27893, ACT_FREEZE, WHO_VOTER, 19, 2912, 0},
                            {29723, ACT_WIPE, WHO_VOTER, 8, 142, 0},
                        }});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(justGone),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
