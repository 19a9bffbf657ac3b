/* The checkers tested: each safety property is broken on purpose and must be caught, first by events told by hand, then
 * by fleets whose clocks break what the safety rests on. */
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

static int64_t test_now(void *arg)
{
    (void)arg;
    return now_ms;
}

static bool test_frozen(void *arg, const char *worker)
{
    (void)arg;
    return stands_still && strcmp(worker, "w1") == 0;
}

static const Job *test_job(void *arg, const char *id)
{
    (void)arg;
    return strcmp(id, "j") == 0 ? &job : NULL;
}

static int64_t test_wall(void *arg)
{
    (void)arg;
    return 500000 + now_ms;
}

/* The numbers of the gang's members, the second step's tasks. */
#define FIRST TASK_NUMBER(0, 1, 0)
#define SECOND TASK_NUMBER(0, 1, 1)

static Checker *begin(void)
{
    const CheckerSettings settings = {NULL, test_now, test_frozen, test_job, test_wall};
    Checker *checker = checker_new(NULL, &settings);
    static StepSpec steps[2];
    static JobTask tasks[3];
    static const char *after[] = {"one"};
    steps[0] = (StepSpec){.name = "one", .count = 1, .resources = {1000, 10, 0}, .kind = "std"};
    steps[1] = (StepSpec){.name = "two",
                          .count = 2,
                          .gang = true,
                          .resources = {1000, 10, 0},
                          .kind = "",
                          .after = after,
                          .after_count = 1};
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
                               .resources = {2000, 100, 0}};
        checker_worker_described(checker, &worker);
    }
    return checker;
}

static const Resources ONE = {1000, 10, 0};

static void only(Checker *checker, Invariant invariant)
{
    assert_true(checker_violations(checker, invariant) > 0);
    assert_int_equal(checker_violations_total(checker), checker_violations(checker, invariant));
    assert_true(strlen(checker_first_violation(checker)) > 0);
    talloc_free(checker);
}

static void good(Checker *checker)
{
    assert_int_equal(checker_violations_total(checker), 0);
}

/* --- events told by hand: each safety property broken, and what is near to it and does not break --- */

/* Two leaders; forgetful disks, on which a lower term may follow. */
static void leaders(void **state)
{
    (void)state;
    Checker *checker = begin();
    checker_leader_plans(checker, "a", 5), checker_leader_plans(checker, "b", 6), checker_leader_plans(checker, "b", 6),
        good(checker);
    checker_leader_plans(checker, "a", 5), only(checker, INVARIANT_TWO_LEADERS);

    checker = begin(), checker_leader_plans(checker, "a", 5), checker_leader_plans(checker, "b", 5),
    only(checker, INVARIANT_TWO_LEADERS);

    /* forgotten by the disks: a new lower term after the end of the higher one is
     * no second leader, an old one that wakes is */
    checker = begin(), checker_leader_plans(checker, "a", 5), checker_leader_plans(checker, "b", 7),
    checker_leader_ended(checker, "b"), checker_leader_plans(checker, "c", 6);
    good(checker), checker_leader_plans(checker, "a", 5), only(checker, INVARIANT_TWO_LEADERS);
    checker = begin(), checker_leader_plans(checker, "b", 7), checker_leader_ended(checker, "a"),
    checker_leader_plans(checker, "c", 6), only(checker, INVARIANT_TWO_LEADERS);
}

static void running_twice(void **state)
{
    (void)state;
    Checker *checker;
    checker = begin(), checker_started(checker, "w1", "j", 0, 1, ONE), good(checker);
    checker_started(checker, "w2", "j", 0, 2, ONE), only(checker, INVARIANT_TWICE);

    checker = begin(), checker_started(checker, "w1", "j", 0, 1, ONE), stands_still = true;
    checker_started(checker, "w2", "j", 0, 2, ONE), good(checker);
    stands_still = false, checker_worker_thawed(checker, "w1"), only(checker, INVARIANT_TWICE);

    checker = begin(), checker_started(checker, "w1", "j", 0, 1, ONE),
    checker_ended(checker, "w1", "j", 0, 1, ATTEMPT_DONE);
    checker_end_acknowledged(checker, "w1", "j", 0, 1, ATTEMPT_DONE), good(checker);
    checker_started(checker, "w2", "j", 0, 2, ONE), only(checker, INVARIANT_AFTER_FINISH);
}

static void ends_of_jobs(void **state)
{
    (void)state;
    Checker *checker;
    checker = begin(), checker_accepted(checker, "j"), good(checker), checker_check_all_ended(checker),
    only(checker, INVARIANT_FORGOTTEN);
    checker = begin(), checker_accepted(checker, "j"), checker_job_unknown(checker, "j"),
    only(checker, INVARIANT_FORGOTTEN);
    checker = begin(), checker_accepted(checker, "j"), checker_job_ended(checker, "j", "done"),
    only(checker, INVARIANT_FORGOTTEN);

    /* one end of a gang stands for all of it; of other tasks for itself alone */
    checker = begin(), checker_accepted(checker, "j"), checker_started(checker, "w1", "j", 0, 1, ONE),
    checker_ended(checker, "w1", "j", 0, 1, ATTEMPT_DONE);
    checker_started(checker, "w1", "j", FIRST, 1, ONE), checker_started(checker, "w2", "j", SECOND, 1, ONE);
    checker_ended(checker, "w1", "j", FIRST, 1, ATTEMPT_DONE),
        checker_ended(checker, "w2", "j", SECOND, 1, ATTEMPT_STOPPED);
    checker_job_ended(checker, "j", "done"), good(checker);

    /* lasting work ends by a cancel alone */
    checker = begin(), job.spec.lasting = true, checker_accepted(checker, "j"),
    checker_job_ended(checker, "j", "cancelled"), good(checker);
    checker = begin(), job.spec.lasting = true, checker_accepted(checker, "j"),
    checker_job_ended(checker, "j", "failed"), only(checker, INVARIANT_FORGOTTEN);

    checker = begin(), checker_refused(checker, "x"), checker_started(checker, "w1", "x", 0, 1, ONE),
    only(checker, INVARIANT_REFUSED_RAN);
    checker = begin(), checker_started(checker, "w1", "x", 0, 1, ONE), checker_refused(checker, "x"),
    only(checker, INVARIANT_REFUSED_RAN);
}

static void fits_its_worker(void **state)
{
    (void)state;
    Checker *checker;
    checker = begin(), checker_started(checker, "w1", "j", FIRST, 1, ONE), only(checker, INVARIANT_TOO_EARLY);

    checker = begin(), checker_started(checker, "w1", "x", 0, 1, (Resources){2001, 1, 0}),
    only(checker, INVARIANT_OVERPACKED);
    checker = begin(), checker_started(checker, "w1", "x", 0, 1, ONE),
    checker_started(checker, "w1", "x", 1, 1, (Resources){500, 95, 0});
    only(checker, INVARIANT_OVERPACKED);
    checker = begin(), checker_started(checker, "gpu", "j", 0, 1, ONE), only(checker, INVARIANT_OVERPACKED);
}

static void stops(void **state)
{
    (void)state;
    Checker *checker;
    checker = begin(), checker_cancelled(checker, "x"), now_ms += 2900, checker_started(checker, "w1", "x", 0, 1, ONE),
    good(checker);
    now_ms += 200, checker_started(checker, "w1", "x", 1, 1, ONE), only(checker, INVARIANT_CANCELLED_RAN);

    checker = begin(), checker_started(checker, "w1", "x", 0, 1, ONE), checker_cancelled(checker, "x"), now_ms += 3000,
    checker_inspect(checker), good(checker);
    now_ms += 1100, checker_inspect(checker), only(checker, INVARIANT_STOPPED_RAN);
    /* a failure meanwhile: from when service must be back */
    checker = begin(), checker_started(checker, "w1", "x", 0, 1, ONE), checker_cancelled(checker, "x"),
    checker_fault(checker), now_ms += 15000;
    checker_inspect(checker), good(checker), now_ms += 1100, checker_inspect(checker),
        only(checker, INVARIANT_STOPPED_RAN);
    checker = begin(), checker_started(checker, "w1", "x", 0, 1, ONE), checker_stop_ordered(checker, "w1", "x", 0, 1),
    now_ms += 400, checker_inspect(checker);
    good(checker), now_ms += 200, checker_inspect(checker), only(checker, INVARIANT_STOPPED_RAN);
}

static void claims(void **state)
{
    (void)state;
    Checker *checker;
    /* claims: they outlive their worker, and end by a word of it or by lapsing */
    checker = begin(), checker_lease_granted(checker, "w1", now_ms + 3000),
    checker_started(checker, "w1", "x", 0, 1, ONE), checker_worker_ended(checker, "w1");
    now_ms += 3000, checker_started(checker, "w2", "x", 0, 2, ONE), good(checker);
    checker = begin(), checker_lease_granted(checker, "w1", now_ms + 3000),
    checker_started(checker, "w1", "x", 0, 1, ONE), checker_worker_ended(checker, "w1");
    checker_worker_booted(checker, "w1"), checker_started(checker, "w2", "x", 0, 2, ONE),
        good(checker); /* a new boot */
    checker = begin(), checker_lease_granted(checker, "w1", now_ms + 3000),
    checker_started(checker, "w1", "x", 0, 1, ONE), checker_worker_ended(checker, "w1");
    const Worker again = {.name = "w1", .zone = "z", .rack = "", .kind = "std", .resources = {2000, 100, 0}};
    checker_worker_described(checker, &again); /* ... that says what it is */
    checker_worker_booted(checker, "w1"), checker_started(checker, "w2", "x", 0, 2, ONE), good(checker);
    checker = begin(), checker_lease_granted(checker, "w1", now_ms + 3000),
    checker_started(checker, "w1", "x", 0, 1, ONE), checker_worker_ended(checker, "w1");
    now_ms += 2900, checker_started(checker, "w2", "x", 0, 2, ONE), only(checker, INVARIANT_EARLY_RESTART);
    checker = begin(), checker_lease_granted(checker, "w1", now_ms + 3000),
    checker_started(checker, "w1", "x", 0, 1, ONE);
    checker_ended(checker, "w1", "x", 0, 1, ATTEMPT_FAILED), checker_started(checker, "w2", "x", 0, 2, ONE),
        good(checker);
    checker = begin(), checker_lease_granted(checker, "w1", now_ms + 4100), only(checker, INVARIANT_EARLY_RESTART);
}

static void due_times(void **state)
{
    (void)state;
    Checker *checker;
    /* due times and delays */
    checker = begin(), checker_sent(checker, "j"), job.spec.delay_ms = 500, now_ms += 400,
    checker_started(checker, "w1", "j", 0, 1, ONE);
    only(checker, INVARIANT_TOO_EARLY);
    checker = begin(), checker_sent(checker, "j"), job.spec.delay_ms = 500, now_ms += 500,
    checker_started(checker, "w1", "j", 0, 1, ONE), good(checker);
    checker = begin(), job.spec.due_wall_ms = 502000, checker_started(checker, "w1", "j", 0, 1, ONE),
    only(checker, INVARIANT_TOO_EARLY);
    checker = begin(), job.spec.due_wall_ms = 502000, now_ms += 1000, checker_started(checker, "w1", "j", 0, 1, ONE),
    good(checker);

    /* turns by their own due times */
    checker = begin(), job.spec.first_wall_ms = 502000, checker_started(checker, "w1", "j", 0, 1, ONE),
    only(checker, INVARIANT_TOO_EARLY);
    checker = begin(), job.spec.first_wall_ms = 502000, now_ms += 1000, checker_started(checker, "w1", "j", 0, 1, ONE),
    good(checker);
}

static void configurations(void **state)
{
    (void)state;
    Checker *checker;
    /* configurations by their effect */
    checker = begin(), checker_tenant_changed(checker, "g", TENANT_PRESENT), now_ms += 2000,
    checker_tenant_probed(checker, "g", now_ms, true), good(checker);
    checker_tenant_probed(checker, "g", now_ms, false), only(checker, INVARIANT_CONFIG_LOST);
    checker = begin(), checker_tenant_changed(checker, "g", TENANT_PRESENT),
    checker_tenant_changed(checker, "g", TENANT_ABSENT), checker_tenant_probed(checker, "g", now_ms, true);
    good(checker), now_ms += 2000, checker_tenant_probed(checker, "g", now_ms, true),
        only(checker, INVARIANT_CONFIG_LOST);
    checker = begin(), checker_tenant_changed(checker, "g", TENANT_PRESENT),
    checker_tenant_changed(checker, "g", TENANT_CHANGE_SENT), now_ms += 2000;
    checker_tenant_probed(checker, "g", now_ms, false), good(checker),
        checker_tenant_changed(checker, "g", TENANT_CHANGE_REJECTED),
        checker_tenant_probed(checker, "g", now_ms, false);
    only(checker, INVARIANT_CONFIG_LOST);
    checker = begin(), checker_tenant_changed(checker, "n", TENANT_CHANGE_SENT),
    checker_tenant_changed(checker, "n", TENANT_CHANGE_REJECTED), checker_tenant_probed(checker, "n", now_ms, true);
    only(checker, INVARIANT_REFUSED_CONFIG);
    checker = begin(), checker_config_conflict(checker, 3), only(checker, INVARIANT_CONFIG_LOST);
    checker = begin(), checker_quota_changed(checker, "t", (Resources){1000, 0, 0}, TENANT_PRESENT),
    checker_started(checker, "w1", "j", 0, 1, ONE);
    checker_ended(checker, "w1", "j", 0, 1, ATTEMPT_DONE), checker_started(checker, "w1", "j", FIRST, 1, ONE),
        good(checker);
    checker_started(checker, "w1", "j", SECOND, 1, ONE), only(checker, INVARIANT_OVER_QUOTA);
    checker = begin(), checker_quota_changed(checker, "t", (Resources){2000, 0, 0}, TENANT_PRESENT),
    checker_started(checker, "w1", "j", 0, 1, ONE);
    checker_ended(checker, "w1", "j", 0, 1, ATTEMPT_DONE), checker_started(checker, "w1", "j", FIRST, 1, ONE);
    checker_quota_changed(checker, "t", (Resources){1000, 0, 0}, TENANT_PRESENT), now_ms += 1900,
        checker_started(checker, "w1", "j", SECOND, 1, ONE), good(checker);
    checker_ended(checker, "w1", "j", SECOND, 1, ATTEMPT_LOST), now_ms += 200,
        checker_started(checker, "w1", "j", SECOND, 2, ONE);
    only(checker, INVARIANT_OVER_QUOTA);

    checker = begin(), checker_config_acknowledged(checker, 3), checker_config_read(checker, 3), good(checker),
    checker_config_read(checker, 2);
    only(checker, INVARIANT_CONFIG_LOST);
    checker = begin(), checker_config_acknowledged(checker, 3), checker_config_acknowledged(checker, 3),
    only(checker, INVARIANT_CONFIG_LOST);
}

static void service(void **state)
{
    (void)state;
    Checker *checker;
    /* service, at each entry by itself */
    checker = begin(), checker_served(checker, "g1", SERVE_ACCEPT), checker_served(checker, "g1", SERVE_STATUS),
    checker_fault(checker), now_ms += 12000;
    checker_served(checker, "g1", SERVE_ACCEPT), checker_served(checker, "g1", SERVE_STATUS),
        checker_check_served(checker, "g1"), good(checker);
    assert_int_equal(checker_worst_ms(checker, SERVE_ACCEPT), 12000);
    checker_served(checker, "g2", SERVE_ACCEPT), checker_check_served(checker, "g2"),
        only(checker, INVARIANT_NOT_SERVING);
    checker = begin(), checker_fault(checker), now_ms += 12001, checker_served(checker, "g1", SERVE_ACCEPT),
    checker_served(checker, "g1", SERVE_STATUS);
    checker_check_served(checker, "g1"), only(checker, INVARIANT_NOT_SERVING);
    checker = begin(), checker_started(checker, "w1", "x", 0, 1, ONE), checker_fault(checker), now_ms += 12001,
    checker_check_started(checker);
    only(checker, INVARIANT_NOT_SERVING);
}

static void drains_and_gangs(void **state)
{
    (void)state;
    Checker *checker;
    checker = begin(), checker_worker_leaving(checker, "w1", true), now_ms += 2100,
    checker_started(checker, "w1", "x", 0, 1, ONE);
    only(checker, INVARIANT_LEAVING_GIVEN);
    checker = begin(), checker_zone_drained(checker, "z", true), now_ms += 5100,
    checker_started(checker, "w1", "x", 0, 1, ONE);
    only(checker, INVARIANT_LEAVING_GIVEN);

    checker = begin(), checker_accepted(checker, "j"), checker_started(checker, "w1", "j", 0, 1, ONE);
    checker_ended(checker, "w1", "j", 0, 1, ATTEMPT_DONE), checker_started(checker, "w1", "j", FIRST, 1, ONE);
    now_ms += 5000, checker_inspect(checker), good(checker), now_ms += 20000, checker_inspect(checker),
        only(checker, INVARIANT_GANG_SPLIT);
}

static const FleetShape SHAPE
= {3, 3, 11, MIX_TRENTVALE, 0};

static void caught(const char *text, const char *words)
{
    char why[512];
    for (uint64_t seed = 1; seed <= 6; seed++)
        if (!timeline_run(seed, SHAPE, text, why, sizeof(why)) && strstr(why, words) != NULL) {
            print_message("caught: %s\n", why);
            return;
        }
    fail_msg("not caught: %s; last: %s", words, why);
}

/* A worker whose clock runs at a tenth of the true speed outlives its lease. */
static void slow_clock_runs_twice(void **state)
{
    (void)state;
    caught("ms     worker1              agent1  callers\n"
           "0      .                    .       call:20\n"
           "3000   rate:10+cut>agent1   cut     .\n"
           "15000  rate:100+join>agent1 join    .\n"
           "20000  .                    .       end\n",
           "running twice");
}

/* Voters whose clocks run ten times too fast let a lease lapse that still runs. */
static void fast_voters_make_two_leaders(void **state)
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
        cmocka_unit_test(leaders),
        cmocka_unit_test(running_twice),
        cmocka_unit_test(ends_of_jobs),
        cmocka_unit_test(fits_its_worker),
        cmocka_unit_test(stops),
        cmocka_unit_test(claims),
        cmocka_unit_test(due_times),
        cmocka_unit_test(configurations),
        cmocka_unit_test(service),
        cmocka_unit_test(drains_and_gangs),
        cmocka_unit_test(slow_clock_runs_twice),
        cmocka_unit_test(fast_voters_make_two_leaders),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
