/* The checkers checked: each never is broken on purpose and seen to be caught,
 * first by hand, then by fleets that break what the safety rests on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/timeline.h"

static int64_t now_ms;
static bool stands_still;
static Job job;

static int64_t testNow(void *arg)
{
    (void)arg;
    return now_ms;
}

static bool testFrozen(void *arg, const char *worker)
{
    (void)arg;
    return stands_still && strcmp(worker, "w1") == 0;
}

static const Job *testJob(void *arg, const char *id)
{
    (void)arg;
    return strcmp(id, "j") == 0 ? &job : NULL;
}

static int64_t testWall(void *arg)
{
    (void)arg;
    return 500000 + now_ms;
}

/* The numbers of the gang's members, the second step's tasks. */
#define FIRST TASK_NUMBER(0, 1, 0)
#define SECOND TASK_NUMBER(0, 1, 1)

static Checker *begin(void)
{
    const CheckerProps props = {NULL, testNow, testFrozen, testJob, testWall};
    Checker *checker = checkerNew(NULL, &props);
    static StepSpec steps[2];
    static JobTask tasks[3];
    static const char *after[] = {"one"};
    steps[0] = (StepSpec){.name = "one", .count = 1, .room = {1000, 10, 0}, .kind = "std"};
    steps[1] = (StepSpec){
        .name = "two", .count = 2, .gang = true, .room = {1000, 10, 0}, .kind = "", .after = after, .after_count = 1};
    tasks[0] = (JobTask){.step = 0, .worker = "", .text = "", .shunned = ""};
    tasks[1] = tasks[2] = (JobTask){.step = 1, .worker = "", .text = "", .shunned = ""};
    tasks[2].at = 1;
    job = (Job){.spec = {.id = "j", .cell = "c", .tenant = "t", .steps = steps, .steps_count = 2},
                .tasks = tasks,
                .tasks_count = 3};
    now_ms = 1000;
    stands_still = false;
    for (int i = 1; i <= 3; i++) {
        const Worker worker = {.name = i == 1   ? "w1"
                                       : i == 2 ? "w2"
                                                : "gpu",
                               .zone = "z",
                               .rack = "",
                               .kind = i == 3 ? "gpu" : "std",
                               .room = {2000, 100, 0}};
        checkerWorker(checker, &worker);
    }
    return checker;
}

static const Room ONE = {1000, 10, 0};

static void only(Checker *checker, Never never)
{
    assert_true(checkerBroken(checker, never) > 0);
    assert_int_equal(checkerBrokenAll(checker), checkerBroken(checker, never));
    assert_true(strlen(checkerFirst(checker)) > 0);
    talloc_free(checker);
}

static void good(Checker *checker)
{
    assert_int_equal(checkerBrokenAll(checker), 0);
}

static void byHand(void **state)
{
    (void)state;
    Checker *c = begin();
    checkerPlans(c, "a", 5), checkerPlans(c, "b", 6), checkerPlans(c, "b", 6), good(c);
    checkerPlans(c, "a", 5), only(c, NEVER_TWO_LEADERS);

    c = begin(), checkerPlans(c, "a", 5), checkerPlans(c, "b", 5), only(c, NEVER_TWO_LEADERS);

    /* forgotten by the disks: a new lower epoch after the end of the higher one is
     * no second leader, an old one that wakes is */
    c = begin(), checkerPlans(c, "a", 5), checkerPlans(c, "b", 7), checkerLeaderGone(c, "b"), checkerPlans(c, "c", 6);
    good(c), checkerPlans(c, "a", 5), only(c, NEVER_TWO_LEADERS);
    c = begin(), checkerPlans(c, "b", 7), checkerLeaderGone(c, "a"), checkerPlans(c, "c", 6),
    only(c, NEVER_TWO_LEADERS);

    c = begin(), checkerStarted(c, "w1", "j", 0, 1, ONE), good(c);
    checkerStarted(c, "w2", "j", 0, 2, ONE), only(c, NEVER_TWICE);

    c = begin(), checkerStarted(c, "w1", "j", 0, 1, ONE), stands_still = true;
    checkerStarted(c, "w2", "j", 0, 2, ONE), good(c);
    stands_still = false, checkerWorkerWoke(c, "w1"), only(c, NEVER_TWICE);

    c = begin(), checkerStarted(c, "w1", "j", 0, 1, ONE), checkerEnded(c, "w1", "j", 0, 1, ROUND_DONE);
    checkerKnown(c, "w1", "j", 0, 1, ROUND_DONE), good(c);
    checkerStarted(c, "w2", "j", 0, 2, ONE), only(c, NEVER_AFTER_FINISH);

    c = begin(), checkerAccepted(c, "j"), good(c), checkerEnd(c), only(c, NEVER_FORGOTTEN);
    c = begin(), checkerAccepted(c, "j"), checkerUnknown(c, "j"), only(c, NEVER_FORGOTTEN);
    c = begin(), checkerAccepted(c, "j"), checkerJobEnded(c, "j", "done"), only(c, NEVER_FORGOTTEN);

    /* one end of a gang stands for all of it; of other tasks for itself alone */
    c = begin(), checkerAccepted(c, "j"), checkerStarted(c, "w1", "j", 0, 1, ONE),
    checkerEnded(c, "w1", "j", 0, 1, ROUND_DONE);
    checkerStarted(c, "w1", "j", FIRST, 1, ONE), checkerStarted(c, "w2", "j", SECOND, 1, ONE);
    checkerEnded(c, "w1", "j", FIRST, 1, ROUND_DONE), checkerEnded(c, "w2", "j", SECOND, 1, ROUND_STOPPED);
    checkerJobEnded(c, "j", "done"), good(c);

    /* lasting work ends by a cancel alone */
    c = begin(), job.spec.lasting = true, checkerAccepted(c, "j"), checkerJobEnded(c, "j", "cancelled"), good(c);
    c = begin(), job.spec.lasting = true, checkerAccepted(c, "j"), checkerJobEnded(c, "j", "failed"),
    only(c, NEVER_FORGOTTEN);
    /* turns by their own due times */
    c = begin(), job.spec.first_wall_ms = 502000, checkerStarted(c, "w1", "j", 0, 1, ONE), only(c, NEVER_TOO_EARLY);
    c = begin(), job.spec.first_wall_ms = 502000, now_ms += 1000, checkerStarted(c, "w1", "j", 0, 1, ONE), good(c);

    c = begin(), checkerRefused(c, "x"), checkerStarted(c, "w1", "x", 0, 1, ONE), only(c, NEVER_REFUSED_RAN);
    c = begin(), checkerStarted(c, "w1", "x", 0, 1, ONE), checkerRefused(c, "x"), only(c, NEVER_REFUSED_RAN);

    c = begin(), checkerStarted(c, "w1", "j", FIRST, 1, ONE), only(c, NEVER_TOO_EARLY);

    c = begin(), checkerStarted(c, "w1", "x", 0, 1, (Room){2001, 1, 0}), only(c, NEVER_OVERPACKED);
    c = begin(), checkerStarted(c, "w1", "x", 0, 1, ONE), checkerStarted(c, "w1", "x", 1, 1, (Room){500, 95, 0});
    only(c, NEVER_OVERPACKED);
    c = begin(), checkerStarted(c, "gpu", "j", 0, 1, ONE), only(c, NEVER_OVERPACKED);

    c = begin(), checkerCancelled(c, "x"), now_ms += 2900, checkerStarted(c, "w1", "x", 0, 1, ONE), good(c);
    now_ms += 200, checkerStarted(c, "w1", "x", 1, 1, ONE), only(c, NEVER_CANCELLED_RAN);

    c = begin(), checkerStarted(c, "w1", "x", 0, 1, ONE), checkerCancelled(c, "x"), now_ms += 3000, checkerLook(c),
    good(c);
    now_ms += 1100, checkerLook(c), only(c, NEVER_STOPPED_RAN);
    /* a failure meanwhile: from when service must be back */
    c = begin(), checkerStarted(c, "w1", "x", 0, 1, ONE), checkerCancelled(c, "x"), checkerFault(c), now_ms += 15000;
    checkerLook(c), good(c), now_ms += 1100, checkerLook(c), only(c, NEVER_STOPPED_RAN);
    c = begin(), checkerStarted(c, "w1", "x", 0, 1, ONE), checkerTold(c, "w1", "x", 0, 1), now_ms += 400,
    checkerLook(c);
    good(c), now_ms += 200, checkerLook(c), only(c, NEVER_STOPPED_RAN);

    /* claims: they outlive their worker, and end by a word of it or by lapsing */
    c = begin(), checkerHeld(c, "w1", now_ms + 3000), checkerStarted(c, "w1", "x", 0, 1, ONE),
    checkerWorkerGone(c, "w1");
    now_ms += 3000, checkerStarted(c, "w2", "x", 0, 2, ONE), good(c);
    c = begin(), checkerHeld(c, "w1", now_ms + 3000), checkerStarted(c, "w1", "x", 0, 1, ONE),
    checkerWorkerGone(c, "w1");
    checkerBooted(c, "w1"), checkerStarted(c, "w2", "x", 0, 2, ONE), good(c); /* a new boot */
    c = begin(), checkerHeld(c, "w1", now_ms + 3000), checkerStarted(c, "w1", "x", 0, 1, ONE),
    checkerWorkerGone(c, "w1");
    const Worker again = {.name = "w1", .zone = "z", .rack = "", .kind = "std", .room = {2000, 100, 0}};
    checkerWorker(c, &again); /* ... that says what it is */
    checkerBooted(c, "w1"), checkerStarted(c, "w2", "x", 0, 2, ONE), good(c);
    c = begin(), checkerHeld(c, "w1", now_ms + 3000), checkerStarted(c, "w1", "x", 0, 1, ONE),
    checkerWorkerGone(c, "w1");
    now_ms += 2900, checkerStarted(c, "w2", "x", 0, 2, ONE), only(c, NEVER_EARLY_RESTART);
    c = begin(), checkerHeld(c, "w1", now_ms + 3000), checkerStarted(c, "w1", "x", 0, 1, ONE);
    checkerEnded(c, "w1", "x", 0, 1, ROUND_FAILED), checkerStarted(c, "w2", "x", 0, 2, ONE), good(c);
    c = begin(), checkerHeld(c, "w1", now_ms + 4100), only(c, NEVER_EARLY_RESTART);

    /* due times and delays */
    c = begin(), checkerSent(c, "j"), job.spec.delay_ms = 500, now_ms += 400, checkerStarted(c, "w1", "j", 0, 1, ONE);
    only(c, NEVER_TOO_EARLY);
    c = begin(), checkerSent(c, "j"), job.spec.delay_ms = 500, now_ms += 500, checkerStarted(c, "w1", "j", 0, 1, ONE),
    good(c);
    c = begin(), job.spec.due_wall_ms = 502000, checkerStarted(c, "w1", "j", 0, 1, ONE), only(c, NEVER_TOO_EARLY);
    c = begin(), job.spec.due_wall_ms = 502000, now_ms += 1000, checkerStarted(c, "w1", "j", 0, 1, ONE), good(c);

    /* configurations by their effect */
    c = begin(), checkerTenant(c, "g", TENANT_IN), now_ms += 2000, checkerProbe(c, "g", now_ms, true), good(c);
    checkerProbe(c, "g", now_ms, false), only(c, NEVER_CONFIG_LOST);
    c = begin(), checkerTenant(c, "g", TENANT_IN), checkerTenant(c, "g", TENANT_OUT),
    checkerProbe(c, "g", now_ms, true);
    good(c), now_ms += 2000, checkerProbe(c, "g", now_ms, true), only(c, NEVER_CONFIG_LOST);
    c = begin(), checkerTenant(c, "g", TENANT_IN), checkerTenant(c, "g", TENANT_ASKED), now_ms += 2000;
    checkerProbe(c, "g", now_ms, false), good(c), checkerTenant(c, "g", TENANT_REFUSED),
        checkerProbe(c, "g", now_ms, false);
    only(c, NEVER_CONFIG_LOST);
    c = begin(), checkerTenant(c, "n", TENANT_ASKED), checkerTenant(c, "n", TENANT_REFUSED),
    checkerProbe(c, "n", now_ms, true);
    only(c, NEVER_REFUSED_CONFIG);
    c = begin(), checkerConfigBoth(c, 3), only(c, NEVER_CONFIG_LOST);
    c = begin(), checkerQuota(c, "t", (Room){1000, 0, 0}, TENANT_IN), checkerStarted(c, "w1", "j", 0, 1, ONE);
    checkerEnded(c, "w1", "j", 0, 1, ROUND_DONE), checkerStarted(c, "w1", "j", FIRST, 1, ONE), good(c);
    checkerStarted(c, "w1", "j", SECOND, 1, ONE), only(c, NEVER_OVER_QUOTA);
    c = begin(), checkerQuota(c, "t", (Room){2000, 0, 0}, TENANT_IN), checkerStarted(c, "w1", "j", 0, 1, ONE);
    checkerEnded(c, "w1", "j", 0, 1, ROUND_DONE), checkerStarted(c, "w1", "j", FIRST, 1, ONE);
    checkerQuota(c, "t", (Room){1000, 0, 0}, TENANT_IN), now_ms += 1900, checkerStarted(c, "w1", "j", SECOND, 1, ONE),
        good(c);
    checkerEnded(c, "w1", "j", SECOND, 1, ROUND_LOST), now_ms += 200, checkerStarted(c, "w1", "j", SECOND, 2, ONE);
    only(c, NEVER_OVER_QUOTA);

    /* service, at each entry by itself */
    c = begin(), checkerServed(c, "g1", SERVE_ACCEPT), checkerServed(c, "g1", SERVE_STATUS), checkerFault(c),
    now_ms += 12000;
    checkerServed(c, "g1", SERVE_ACCEPT), checkerServed(c, "g1", SERVE_STATUS), checkerMustServe(c, "g1"), good(c);
    assert_int_equal(checkerWorstMs(c, SERVE_ACCEPT), 12000);
    checkerServed(c, "g2", SERVE_ACCEPT), checkerMustServe(c, "g2"), only(c, NEVER_NOT_SERVING);
    c = begin(), checkerFault(c), now_ms += 12001, checkerServed(c, "g1", SERVE_ACCEPT),
    checkerServed(c, "g1", SERVE_STATUS);
    checkerMustServe(c, "g1"), only(c, NEVER_NOT_SERVING);
    c = begin(), checkerStarted(c, "w1", "x", 0, 1, ONE), checkerFault(c), now_ms += 12001, checkerMustStart(c);
    only(c, NEVER_NOT_SERVING);

    c = begin(), checkerLeaving(c, "w1", true), now_ms += 2100, checkerStarted(c, "w1", "x", 0, 1, ONE);
    only(c, NEVER_LEAVING_GIVEN);
    c = begin(), checkerZone(c, "z", true), now_ms += 5100, checkerStarted(c, "w1", "x", 0, 1, ONE);
    only(c, NEVER_LEAVING_GIVEN);

    c = begin(), checkerAccepted(c, "j"), checkerStarted(c, "w1", "j", 0, 1, ONE);
    checkerEnded(c, "w1", "j", 0, 1, ROUND_DONE), checkerStarted(c, "w1", "j", FIRST, 1, ONE);
    now_ms += 5000, checkerLook(c), good(c), now_ms += 20000, checkerLook(c), only(c, NEVER_GANG_SPLIT);

    c = begin(), checkerConfigSet(c, 3), checkerConfigRead(c, 3), good(c), checkerConfigRead(c, 2);
    only(c, NEVER_CONFIG_LOST);
    c = begin(), checkerConfigSet(c, 3), checkerConfigSet(c, 3), only(c, NEVER_CONFIG_LOST);
}

static const FleetShape SHAPE
= {3, 3, 11, MIX_TRENTVALE, 0};

static void caught(const char *text, const char *words)
{
    char why[512];
    for (uint64_t seed = 1; seed <= 6; seed++)
        if (!timelineRun(seed, SHAPE, text, why, sizeof(why)) && strstr(why, words) != NULL) {
            print_message("caught: %s\n", why);
            return;
        }
    fail_msg("not caught: %s; last: %s", words, why);
}

/* A worker whose clock runs at a tenth of the true speed outlives its hold. */
static void slowClockRunsTwice(void **state)
{
    (void)state;
    caught("ms     worker1              agent1  callers\n"
           "0      .                    .       call:20\n"
           "3000   rate:10+cut>agent1   cut     .\n"
           "15000  rate:100+join>agent1 join    .\n"
           "20000  .                    .       end\n",
           "running twice");
}

/* Seats whose clocks run ten times too fast let a hold lapse that still runs. */
static void fastSeatsMakeTwoLeaders(void **state)
{
    (void)state;
    caught("ms     leader  second     third      callers\n"
           "0      .       .          .          call:10/1000\n"
           "12000  rate:10 rate:1000  rate:1000  .\n"
           "12001  cut     .          .          .\n"
           "20000  .       .          .          .\n",
           "two leaders");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(byHand),
        cmocka_unit_test(slowClockRunsTwice),
        cmocka_unit_test(fastSeatsMakeTwoLeaders),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
