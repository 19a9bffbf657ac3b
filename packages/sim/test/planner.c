/* How the leader places tasks when workers misbehave, leave, or differ from each other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

/* Two queues with latency targets; plans need not tolerate any loss. */
#define CONFIG                                                       \
    "{\"r\":0,\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{" \
    "\"bulk\":{\"stretch\":2,\"targetMs\":2000,\"rounds\":4},"       \
    "\"urgent\":{\"priority\":1,\"stretch\":1.5,\"targetMs\":1000,\"rounds\":4}}}}}"

/* One queue with a latency target; every plan must tolerate the loss of one worker. */
#define CONFIG_LOSSES                                                \
    "{\"r\":1,\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{" \
    "\"urgent\":{\"priority\":1,\"stretch\":1.5,\"targetMs\":1000,\"rounds\":4}}}}}"

static Fleet *begin(uint64_t seed)
{
    return case_configured(seed, (FleetShape){3, 1, 6, MIX_TRENTVALE, 0}, CONFIG);
}

/* How many of the job's tasks are on the worker. */
static size_t tasks_on_worker(const Fleet *fleet, const char *id, const char *worker)
{
    const Job *job = fleet_job(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
        count += strcmp(job->tasks[t].worker, worker) == 0;
    return count;
}

/* Tasks on one worker make no progress although the worker reports itself healthy: within seconds they are stopped
 * there and restarted elsewhere, and the worker gets no more tasks. */
static void stands_still(void **state)
{
    (void)state;
    Fleet *fleet = begin(11);
    stand_worker_set_hanging(fleet_node(fleet, FLEET_WORKER, 0)->worker, true);
    case_submit(
        fleet, "a", "bulk", "",
        "{\"name\":\"a\",\"count\":24,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":2000,\"payload\":{\"runMs\":2000}}");
    fleet_run(fleet, 1000);
    const size_t stuck = tasks_on_worker(fleet, "a", "worker1");
    assert_true(stuck > 0);
    fleet_run(fleet, 6000);
    assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 24);
    const size_t starts_before = checker_starts_on(fleet->checker, "worker1");
    case_submit(
        fleet, "b", "bulk", "",
        "{\"name\":\"a\",\"count\":10,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":1000,\"payload\":{\"runMs\":1000}}");
    fleet_run(fleet, 2500);
    assert_int_equal(case_tasks_in_phase(fleet, "b", TASK_DONE), 10);
    assert_int_equal(checker_starts_on(fleet->checker, "worker1"), starts_before);
    case_end(fleet);
}

/* A worker that is eight times as slow as the others loses the tasks that another worker would finish much sooner. */
static void too_slow(void **state)
{
    (void)state;
    Fleet *fleet = begin(13);
    stand_worker_set_slowdown(fleet_node(fleet, FLEET_WORKER, 1)->worker, 8);
    case_submit(
        fleet, "a", "bulk", "",
        "{\"name\":\"a\",\"count\":24,\"apart\":4,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":3000,\"payload\":{\"runMs\":4000}}");
    fleet_run(fleet, 1000);
    assert_true(tasks_on_worker(fleet, "a", "worker2") > 0);
    fleet_run(fleet, 9000); /* on the slow worker they would take 32 s */
    assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 24);
    case_end(fleet);
}

/* Tasks whose estimate is far too low are not mistaken for stuck ones. */
static void longer_than_said(void **state)
{
    (void)state;
    Fleet *fleet = begin(12);
    case_submit(
        fleet, "a", "bulk", "",
        "{\"name\":\"a\",\"count\":12,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":1000,\"payload\":{\"runMs\":6000}}");
    fleet_run(fleet, 8000);
    assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 12);
    const Job *job = fleet_job(fleet, "a");
    for (size_t i = 0; i < job->tasks_count; i++)
        assert_int_equal(job->tasks[i].attempt, 1);
    case_end(fleet);
}

/* The first progress report that a new leader gets of an attempt states the progress made so far. Guards against the
 * leader concluding that the attempt has made no progress since it started. */
static void new_leader_hears(void **state)
{
    (void)state;
    Fleet *fleet = begin(16);
    case_submit(
        fleet, "a", "bulk", "",
        "{\"name\":\"a\",\"count\":12,\"room\":{\"cpu\":6,\"memMb\":64},\"estMs\":14000,\"payload\":{\"runMs\":14000}}");
    fleet_run(fleet, 5000);
    case_submit(
        fleet, "short", "bulk", "", /* its progress makes reports of no progress credible immediately */
        "{\"name\":\"a\",\"count\":36,\"room\":{\"cpu\":1,\"memMb\":64},\"estMs\":9000,\"payload\":{\"runMs\":9000}}");
    fleet_run(fleet, 500);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 13000);
    assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 12);
    const Job *job = fleet_job(fleet, "a");
    for (size_t i = 0; i < job->tasks_count; i++)
        assert_int_equal(job->tasks[i].attempt, 1);
    case_end(fleet);
}

/* There are never more tasks of a step on one worker than the step's "apart" allows; the others wait. */
static void apart_always(void **state)
{
    (void)state;
    Fleet *fleet = begin(14);
    case_submit(
        fleet, "a", "bulk", "",
        "{\"name\":\"a\",\"count\":14,\"apart\":2,\"room\":{\"cpu\":1,\"memMb\":64},\"estMs\":3000,\"payload\":{\"runMs\":3000}}");
    for (int i = 0; i < 24; i++) {
        fleet_run(fleet, 250);
        for (int w = 1; w <= 6; w++) {
            char name[16];
            snprintf(name, sizeof(name), "worker%d", w);
            assert_true(tasks_on_worker(fleet, "a", name) <= 2);
        }
        if (i == 6)
            assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_RUNNING), 12);
    }
    fleet_run(fleet, 2000);
    assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 14);
    case_end(fleet);
}

/* The rack of the worker; "" if it has none or the leader does not know it. */
static const char *rack_of(const Fleet *fleet, const char *worker)
{
    const Worker *row =
        table_worker(controller_table(fleet->nodes[FLEET_CONTROLLER][fleet_leader(fleet)].controller), worker);
    return row != NULL ? row->rack : "";
}

/* How many of the job's tasks are on workers of the rack. */
static size_t tasks_on_rack(const Fleet *fleet, const char *id, const char *rack)
{
    const Job *job = fleet_job(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
        count += strcmp(rack_of(fleet, job->tasks[t].worker), rack) == 0;
    return count;
}

/* Tasks are placed near their data while there is capacity, and elsewhere rather than wait long; a gang that is faster
 * on one rack is placed on one. */
static void racks(void **state)
{
    (void)state;
    Fleet *fleet = begin(15);
    case_submit(
        fleet, "near", "bulk", "",
        "{\"name\":\"a\",\"count\":6,\"near\":\"rack1\",\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":4000,\"payload\":{\"runMs\":4000}}");
    fleet_run(fleet, 1000);
    assert_int_equal(tasks_on_rack(fleet, "near", "rack1"), 6);
    case_submit(
        fleet, "gang", "bulk", "",
        "{\"name\":\"g\",\"count\":4,\"gang\":true,\"sameRack\":true,\"room\":{\"cpu\":24,\"memMb\":64},\"estMs\":4000,"
        "\"payload\":{\"runMs\":4000}}");
    fleet_run(fleet, 500);
    assert_true(tasks_on_rack(fleet, "gang", "rack0") == 4 || tasks_on_rack(fleet, "gang", "rack1") == 4);
    const Job *gang = fleet_job(fleet, "gang");
    for (size_t i = 1; i < gang->tasks_count; i++)
        assert_int_equal(gang->tasks[i].attempt, gang->tasks[0].attempt);
    /* rack1 has capacity for 24 of these at most: the others are placed on the other rack within two seconds */
    case_submit(
        fleet, "more", "bulk", "",
        "{\"name\":\"a\",\"count\":30,\"near\":\"rack1\",\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":4000,\"payload\":{\"runMs\":4000}}");
    fleet_run(fleet, 300);
    const size_t near = tasks_on_rack(fleet, "more", "rack1");
    assert_true(near > 0);
    assert_int_equal(tasks_on_rack(fleet, "more", "rack0"), 0);
    fleet_run(fleet, 2500);
    assert_true(tasks_on_rack(fleet, "more", "rack0") > 0);
    case_end(fleet);
}

/* On a full fleet, urgent tasks that would miss their target preempt attempts that are young or save their progress,
 * and no more of these than they need. */
static void urgent_preempts(void **state)
{
    (void)state;
    for (int saves = 0; saves < 2; saves++) {
        Fleet *fleet = begin(16);
        case_submit(
            fleet, "bulk", "bulk", "",
            saves
                ? "{\"name\":\"a\",\"count\":12,\"saves\":true,\"room\":{\"cpu\":32,\"memMb\":64},\"estMs\":20000,\"payload\":{\"runMs\":20000}}"
                : "{\"name\":\"a\",\"count\":12,\"room\":{\"cpu\":32,\"memMb\":64},\"estMs\":20000,\"payload\":{\"runMs\":20000}}");
        fleet_run(fleet, 6000);
        assert_int_equal(case_tasks_in_phase(fleet, "bulk", TASK_RUNNING), 12);
        case_submit(
            fleet, "now", "urgent", "",
            "{\"name\":\"a\",\"count\":2,\"room\":{\"cpu\":24,\"memMb\":64},\"estMs\":1000,\"payload\":{\"runMs\":1000}}");
        fleet_run(fleet, 4000);
        /* attempts that save nothing have run for six seconds: too much work to throw away */
        assert_int_equal(case_tasks_in_phase(fleet, "now", TASK_DONE), saves ? 2 : 0);
        assert_true(case_tasks_in_phase(fleet, "bulk", TASK_RUNNING) >= (saves ? 10 : 12));
        fleet_run(fleet, 50000);
        assert_int_equal(case_tasks_in_phase(fleet, "now", TASK_DONE), 2);
        assert_int_equal(case_tasks_in_phase(fleet, "bulk", TASK_DONE), 12);
        case_end(fleet);
    }
}

/* A worker that leaves in four seconds keeps the attempts that end by then; attempts that save their progress are moved
 * to other workers, and nothing new is placed on it. */
static void leaves(void **state)
{
    (void)state;
    Fleet *fleet = begin(17);
    case_submit(
        fleet, "long", "bulk", "",
        "{\"name\":\"a\",\"count\":6,\"apart\":2,\"saves\":true,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":20000,\"payload\":{\"runMs\":20000}}");
    case_submit(
        fleet, "short", "bulk", "",
        "{\"name\":\"a\",\"count\":12,\"apart\":2,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":2000,\"payload\":{\"runMs\":2000}}");
    fleet_run(fleet, 1500);
    assert_int_equal(tasks_on_worker(fleet, "long", "worker1"), 2);
    assert_int_equal(tasks_on_worker(fleet, "short", "worker1"), 2);
    stand_worker_leave_after(fleet_node(fleet, FLEET_WORKER, 0)->worker, 4000);
    fleet_run(fleet, 2500);
    assert_int_equal(tasks_on_worker(fleet, "long", "worker1"), 0);
    const Job *job = fleet_job(fleet, "short");
    for (size_t i = 0; i < job->tasks_count; i++) {
        assert_int_equal(job->tasks[i].attempt, 1);
        assert_int_equal(job->tasks[i].phase, TASK_DONE);
    }
    case_end(fleet);
}

/* Tasks of a step with a latency target are placed together, so that a worker that is cut off delays few jobs. */
static void together(void **state)
{
    (void)state;
    enum { JOBS = 12 };
    Fleet *fleet = begin(18);
    char id[JOBS][8];
    for (int i = 0; i < JOBS; i++) {
        snprintf(id[i], sizeof(id[i]), "j%d", i);
        case_submit(
            fleet, id[i], "urgent", "",
            "{\"name\":\"a\",\"count\":6,\"room\":{\"cpu\":2,\"memMb\":64},\"estMs\":1500,\"payload\":{\"runMs\":1500}}");
    }
    fleet_run(fleet, 500);
    fleet_node_cut(fleet, FLEET_AGENT, 0, true);
    fleet_run(fleet, 2500);
    int in_time = 0;
    for (int i = 0; i < JOBS; i++)
        in_time += case_tasks_in_phase(fleet, id[i], TASK_DONE) == 6;
    assert_in_range(in_time, JOBS * 3 / 4, JOBS - 1); /* one worker of six is cut off: some of its tasks are delayed */
    case_end(fleet);
}

/* Where the configuration states the expected losses, such tasks are spread instead: the fewer tasks on one worker, the
 * fewer have to restart at the same time. */
static void spread_where_losses_are_named(void **state)
{
    (void)state;
    Fleet *fleet = case_configured(18, (FleetShape){3, 1, 6, MIX_TRENTVALE, 0}, CONFIG_LOSSES);
    case_submit(
        fleet, "a", "urgent", "",
        "{\"name\":\"a\",\"count\":6,\"room\":{\"cpu\":2,\"memMb\":64},\"estMs\":1500,\"payload\":{\"runMs\":1500}}");
    fleet_run(fleet, 500);
    for (int i = 1; i <= 6; i++)
        assert_int_equal(tasks_on_worker(fleet, "a", talloc_asprintf(fleet, "worker%d", i)), 1);
    case_end(fleet);
}

/* A worker that is cut off gets no new tasks as soon as its agent's heartbeat is overdue, well before the worker counts
 * as silent, and gets tasks again as soon as it is heard. */
static void cut_off_gets_nothing(void **state)
{
    (void)state;
    static const char STEP[] =
        "{\"name\":\"a\",\"count\":24,\"apart\":4,\"room\":{\"cpu\":2,\"memMb\":64},\"estMs\":500,\"payload\":{\"runMs\":500}}";
    for (uint64_t seed = 19; seed < 24; seed++) {
        Fleet *fleet = begin(seed);
        case_submit(fleet, "before", "urgent", "", STEP);
        fleet_run(fleet, 3000);
        assert_int_equal(case_tasks_in_phase(fleet, "before", TASK_DONE), 24);
        const size_t starts = checker_starts_on(fleet->checker, "worker1");
        assert_true(starts > 0);
        fleet_node_cut(fleet, FLEET_AGENT, 0, true);
        fleet_run(fleet, HEARTBEAT_WAIT_MS + HEARTBEAT_OVERDUE_MIN_MS + 2 * PLANNER_PASS_INTERVAL_MS);
        case_submit(fleet, "while", "urgent", "", STEP);
        fleet_run(fleet, 200);
        assert_int_equal(tasks_on_worker(fleet, "while", "worker1"), 0);
        fleet_node_cut(fleet, FLEET_AGENT, 0, false);
        fleet_run(fleet, 2000);
        case_submit(fleet, "after", "urgent", "", STEP);
        fleet_run(fleet, 3000);
        assert_int_equal(case_tasks_in_phase(fleet, "after", TASK_DONE), 24);
        assert_true(checker_starts_on(fleet->checker, "worker1") > starts);
        case_end(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(stands_still),
        cmocka_unit_test(too_slow),
        cmocka_unit_test(longer_than_said),
        cmocka_unit_test(new_leader_hears),
        cmocka_unit_test(apart_always),
        cmocka_unit_test(racks),
        cmocka_unit_test(urgent_preempts),
        cmocka_unit_test(leaves),
        cmocka_unit_test(together),
        cmocka_unit_test(cut_off_gets_nothing),
        cmocka_unit_test(spread_where_losses_are_named),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
