/* Workers that come back as another kind, at the same address, while changes take long to commit. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "job_fixture.h"

#define WORKERS 4
#define SLOW_SYNC_MS 150 /* Of a follower's disk: a change of the state table takes about as long */

/* A step of tasks that need the worker's kind "a". */
#define STEP_OF_KIND(count, cpu, run_ms)                                                          \
    "{\"name\":\"s\",\"kind\":\"a\",\"count\":" count ",\"room\":{\"cpu\":" cpu ",\"memMb\":10}," \
    "\"payload\":{\"runMs\":" run_ms "}}"

static void worker_set_kind(Fleet *fleet, int number, const char *kind)
{
    FleetNode *node = fleet_node(fleet, FLEET_WORKER, number);
    node->worker_settings.worker.kind = kind;
    checker_worker_described(fleet->checker, &node->worker_settings.worker);
}

/* A fleet of workers of kind "a" that are full, beside more work for them. */
static Fleet *fleet_of_kind(uint64_t seed)
{
    Fleet *fleet = fleet_new(NULL, seed, (FleetShape){3, 1, WORKERS, MIX_TRENTVALE, 0});
    for (int i = 0; i < WORKERS; i++)
        worker_set_kind(fleet, i, "a");
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 20000));
    assert_true(fleet_configure(fleet));
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", STEPS("full", STEP_OF_KIND("16", "16", "20000")), NULL) / 100, 2);
    fleet_run(fleet, 2000);
    for (int i = 0; i < 8; i++) {
        const char *body = talloc_asprintf(fleet, STEPS("wait-%d", STEP_OF_KIND("8", "4", "500")), i);
        assert_int_equal(ask(fleet, "POST", "/v1/jobs", body, NULL) / 100, 2);
    }
    return fleet;
}

/* Guards against a task that starts on a worker of another kind (review/3): workers crash and come back as another kind
 * while a controller is slow; the leader gave them work by the description of their earlier life. */
static void returned_workers_get_no_work_of_their_former_kind(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = fleet_of_kind(seed);
        const int follower = (fleet_leader(fleet) + 1) % 3;
        for (int i = 1; i < WORKERS; i++)
            fleet_kill(fleet, FLEET_WORKER, i);
        fleet_run(fleet, 4500);
        sim_disk_slow(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, follower)->machine, SLOW_SYNC_MS);
        for (int i = 1; i < WORKERS; i++) {
            worker_set_kind(fleet, i, "b");
            fleet_start_node(fleet, FLEET_WORKER, i);
        }
        fleet_run(fleet, 8000);
        sim_disk_slow(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, follower)->machine, 1);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        /* The workers are of use: back as their former kind they do what waits. */
        for (int i = 1; i < WORKERS; i++) {
            fleet_kill(fleet, FLEET_WORKER, i);
            worker_set_kind(fleet, i, "a");
            fleet_start_node(fleet, FLEET_WORKER, i);
        }
        fleet_run(fleet, 60000);
        assert_int_equal(fleet_job(fleet, "full")->phase, JOB_DONE);
        assert_int_equal(fleet_job(fleet, "wait-7")->phase, JOB_DONE);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

/* Guards against more tasks on a worker than it has room for: workers crash and come back smaller while a controller is
 * slow. */
static void returned_workers_get_no_more_than_they_have_now(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = fleet_of_kind(seed);
        const int follower = (fleet_leader(fleet) + 1) % 3;
        for (int i = 1; i < WORKERS; i++)
            fleet_kill(fleet, FLEET_WORKER, i);
        fleet_run(fleet, 4500);
        sim_disk_slow(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, follower)->machine, SLOW_SYNC_MS);
        for (int i = 1; i < WORKERS; i++) {
            FleetNode *node = fleet_node(fleet, FLEET_WORKER, i);
            node->worker_settings.worker.resources.cpu_milli /= 8;
            checker_worker_described(fleet->checker, &node->worker_settings.worker);
            fleet_start_node(fleet, FLEET_WORKER, i);
        }
        fleet_run(fleet, 60000);
        assert_int_equal(fleet_job(fleet, "wait-7")->phase, JOB_DONE);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(returned_workers_get_no_work_of_their_former_kind),
        cmocka_unit_test(returned_workers_get_no_more_than_they_have_now),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
