/* How jobs run: due times, gangs, cancellation, failures, late reports, copies, and disks that fail. */
#include <stdio.h>

#include "job_fixture.h"

/* A job with a due time and one with a delay start when they are due, although one voter's wall clock jumps. */
static void due_and_delay(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    const int64_t wall_ms = 1700000000000 + sim_now_ms(fleet->world);
    char body[512];
    snprintf(body, sizeof(body), JOB("due", ",\"dueWallMs\":%lld"), (long long)wall_ms + 5000);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", body, &text), 201);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", JOB("late", ",\"delayMs\":5000"), &text), 201);
    /* one voter's wall clock jumps by an hour, which the median of all voters' clocks does not follow */
    sim_clock_jump(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, fleet_leader(fleet))->machine, 3600000);
    fleet_run(fleet, 4200);
    assert_int_equal(checker_starts(fleet->checker), 0);
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/due", NULL, &text), 200);
    assert_non_null(strstr(text, "\"waitsFor\":\"due-time\""));
    fleet_run(fleet, 3000);
    assert_int_equal(checker_starts(fleet->checker), 2);
    case_end(fleet);
}

/* The members of a gang start all together or not at all, also after one of them was lost with its worker. */
static void gang_all_or_none(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    /* eleven workers of 64 CPUs: the first gang leaves capacity for five of the second gang's six members */
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("g1", "{\"name\":\"a\",\"gang\":true,\"count\":6,\"room\":{\"cpu\":40,\"memMb\":10},"
                                     "\"payload\":{\"runMs\":6000}}"),
                         &text),
                     201);
    fleet_run(fleet, 3000);
    assert_int_equal(checker_starts(fleet->checker), 6);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("g2", "{\"name\":\"a\",\"gang\":true,\"count\":6,\"room\":{\"cpu\":40,\"memMb\":10},"
                                     "\"payload\":{\"runMs\":9000}}"),
                         &text),
                     201);
    fleet_run(fleet, 2000);
    assert_int_equal(checker_starts(fleet->checker), 6); /* no member of the second gang */
    fleet_run(fleet, 6000);
    assert_int_equal(checker_starts(fleet->checker), 12); /* all its members */
    /* a member is lost with its worker: the other members stop, and all start again */
    int victim = -1;
    for (int i = 0; i < 11 && victim < 0; i++)
        if (stand_worker_running(fleet_node(fleet, FLEET_WORKER, i)->worker) > 0)
            victim = i;
    assert_true(victim >= 0);
    fleet_kill(fleet, FLEET_WORKER, victim);
    fleet_run(fleet, 25000);
    assert_true(checker_starts(fleet->checker) >= 18);
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/g2", NULL, &text), 200);
    assert_non_null(strstr(text, "\"phase\":\"done\""));
    case_end(fleet);
}

/* A cancelled job's tasks stop, and the cancellation can be repeated; a finished job cannot be cancelled. */
static void cancelled(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("c", "{\"name\":\"a\",\"count\":20," RESOURCES ",\"payload\":{\"runMs\":60000}},"
                                    "{\"name\":\"b\",\"after\":[\"a\"]," RESOURCES "}"),
                         &text),
                     201);
    fleet_run(fleet, 2000);
    assert_int_equal(checker_starts(fleet->checker), 20);
    assert_int_equal(ask(fleet, "DELETE", "/v1/jobs/c", NULL, &text), 200);
    checker_cancelled(fleet->checker, "c");
    fleet_run(fleet, 2000);
    for (int i = 0; i < 11; i++)
        assert_int_equal(stand_worker_running(fleet_node(fleet, FLEET_WORKER, i)->worker), 0);
    assert_int_equal(ask(fleet, "DELETE", "/v1/jobs/c", NULL, &text), 200); /* repeated: the same answer */
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/c", NULL, &text), 200);
    assert_non_null(strstr(text, "\"phase\":\"cancelled\""));
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", JOB("d", ""), &text), 201);
    fleet_run(fleet, 3000);
    assert_int_equal(ask(fleet, "DELETE", "/v1/jobs/d", NULL, &text), 409);
    case_end(fleet);
}

/* A task that fails is started again, up to the limit of three attempts. */
static void fails_then_works(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("f", "{\"name\":\"a\"," RESOURCES ",\"payload\":{\"runMs\":100,\"failRounds\":2}}"),
                         &text),
                     201);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("g", "{\"name\":\"a\"," RESOURCES ",\"payload\":{\"runMs\":100,\"failRounds\":3}}"),
                         &text),
                     201);
    fleet_run(fleet, 10000);
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/f", NULL, &text), 200);
    assert_non_null(strstr(text, "\"phase\":\"done\""));
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/g", NULL, &text), 200);
    assert_non_null(strstr(text, "\"phase\":\"failed\""));
    assert_int_equal(checker_starts(fleet->checker), 6);
    case_end(fleet);
}

/* An agent is isolated just before its task ends, so that the end is reported late: it must count, and the attempt that
 * was started elsewhere must be stopped. */
static void finish_notified_late(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("l", "{\"name\":\"a\"," RESOURCES ",\"payload\":{\"runMs\":2500}}"), &text),
                     201);
    fleet_run(fleet, 1500);
    int on = -1;
    for (int i = 0; i < 11 && on < 0; i++)
        if (stand_worker_running(fleet_node(fleet, FLEET_WORKER, i)->worker) > 0)
            on = i;
    assert_true(on >= 0);
    /* the task ends a second later, within the lease; the next attempt starts on another worker after three seconds and
     * is still running when the report arrives */
    fleet_node_cut(fleet, FLEET_AGENT, on, true);
    fleet_run(fleet, 4500);
    assert_int_equal(checker_starts(fleet->checker), 2);
    fleet_node_cut(fleet, FLEET_AGENT, on, false);
    fleet_run(fleet, 1500);
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/l", NULL, &text), 200);
    assert_non_null(strstr(text, "\"phase\":\"done\""));
    fleet_run(fleet, 1000);
    for (int i = 0; i < 11; i++)
        assert_int_equal(stand_worker_running(fleet_node(fleet, FLEET_WORKER, i)->worker), 0);
    case_end(fleet);
}

/* Tasks of a job that allows copies are started again before the silent worker's lease has expired, other tasks only
 * after it. */
static void copies(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    static const char STEP[] = ",\"steps\":[{\"name\":\"a\",\"count\":11," RESOURCES ",\"payload\":{\"runMs\":9000}}]}";
    char body[512];
    for (int with = 0; with < 2; with++) {
        snprintf(body, sizeof(body),
                 "{\"id\":\"%s\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"copies\":%s%s",
                 with ? "may" : "not", with ? "true" : "false", STEP);
        assert_int_equal(ask(fleet, "POST", "/v1/jobs", body, &text), 201);
    }
    fleet_run(fleet, 2000);
    assert_int_equal(checker_starts(fleet->checker), 22);
    fleet_node_cut(fleet, FLEET_AGENT, 0, true);
    fleet_run(fleet, 2400);
    size_t may = 0, not = 0;
    for (size_t t = 0; t < 11; t++) {
        may += fleet_job(fleet, "may")->tasks[t].attempt == 2;
        not += fleet_job(fleet, "not")->tasks[t].attempt == 2;
    }
    assert_true(may > 0);
    assert_int_equal(not, 0);
    fleet_run(fleet, 3000);
    for (size_t t = 0; t < 11; t++)
        not += fleet_job(fleet, "not")->tasks[t].attempt == 2;
    assert_true(not > 0);
    fleet_node_cut(fleet, FLEET_AGENT, 0, false);
    fleet_run(fleet, 15000);
    assert_int_equal(ask(fleet, "GET", "/v1/jobs/may", NULL, &text), 200);
    assert_non_null(strstr(text, "\"phase\":\"done\""));
    case_end(fleet);
}

/* Capacity of a worker that others use is not given to tasks. */
static void others_use(void **state)
{
    (void)state;
    Fleet *fleet = fleet_new(NULL, 11, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0});
    for (int i = 0; i < 10; i++)
        fleet_node(fleet, FLEET_WORKER, i)->worker_settings.other_capacity = (Resources){60000, 0, 0};
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000));
    assert_true(fleet_configure(fleet));
    fleet_run(fleet, 2000);
    const char *text;
    assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                         STEPS("o", "{\"name\":\"a\",\"count\":20,\"room\":{\"cpu\":5,\"memMb\":10},\"payload\":{"
                                    "\"runMs\":30000}}"),
                         &text),
                     201);
    fleet_run(fleet, 6000);
    assert_int_equal(checker_starts(fleet->checker),
                     12); /* on the one worker whose 64 CPUs are free; each of the others has four left */
    for (int i = 0; i < 10; i++)
        assert_int_equal(stand_worker_running(fleet_node(fleet, FLEET_WORKER, i)->worker), 0);
    case_end(fleet);
}

/* All disks fail, so that no controller can hold the lock. As long as all members reach each other, tasks go on
 * running; after one more failure they stop. When the disks work again after a restart, the tasks are planned again. */
static void store_gone(void **state)
{
    (void)state;
    for (int with = 0; with < 2; with++) {
        Fleet *fleet = begin();
        const char *text;
        assert_int_equal(ask(fleet, "POST", "/v1/jobs",
                             STEPS("l", "{\"name\":\"a\",\"count\":22," RESOURCES ",\"payload\":{\"runMs\":40000}}"),
                             &text),
                         201);
        fleet_run(fleet, 2000);
        assert_int_equal(case_running_tasks(fleet), 22);
        for (int i = 0; i < 3; i++)
            sim_disk_fail(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
        /* the failure shows at the first change that cannot be written */
        ask(fleet, "POST", "/v1/jobs", JOB("x", ""), &text);
        fleet_run(fleet, 10000);
        assert_int_equal(fleet_leader(fleet), -1);
        assert_int_equal(case_running_tasks(fleet), 22);
        if (with) { /* an entry point is lost, so that not every member answers */
            fleet_power_off(fleet, FLEET_ENTRY_POINT, 1);
            fleet_run(fleet, 6000);
            assert_int_equal(case_running_tasks(fleet), 0);
        }
        for (int i = 0; i < 3; i++) {
            sim_disk_fail(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, false);
            fleet_kill(fleet, FLEET_CONTROLLER, i);
            fleet_start_node(fleet, FLEET_CONTROLLER, i);
        }
        fleet_run(fleet, 15000);
        assert_true(fleet_leader(fleet) >= 0);
        fleet_run(fleet, 60000);
        assert_int_equal(ask(fleet, "GET", "/v1/jobs/l", NULL, &text), 200);
        assert_non_null(strstr(text, "\"phase\":\"done\""));
        assert_true(with ? checker_starts(fleet->checker) >= 44 : checker_starts(fleet->checker) >= 22);
        case_end(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(due_and_delay),    cmocka_unit_test(gang_all_or_none),     cmocka_unit_test(cancelled),
        cmocka_unit_test(fails_then_works), cmocka_unit_test(finish_notified_late), cmocka_unit_test(copies),
        cmocka_unit_test(others_use),       cmocka_unit_test(store_gone),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
