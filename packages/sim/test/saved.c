/* An attempt resumes from the progress that the previous one saved, whichever process was lost meanwhile. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define JOB                                                                                                      \
    "{\"id\":\"s\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[{\"name\":\"one\"," \
    "\"saves\":true,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":9000,\"saveMs\":500}}]}"

/* A lease that outlasts a change of leader. */
#define LEASE_MS 8000

/* A fleet in which a task that saves its progress has been submitted. */
static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = fleet_new(NULL, seed, (FleetShape){3, 2, 5, MIX_VARIED, 0});
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            fleet_node(fleet, (FleetRole)role, i)->settings.cluster_settings.lease_ms = LEASE_MS;
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 20000));
    assert_true(fleet_configure(fleet));
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", JOB);
    assert_int_equal(call.code / 100, 2);
    return fleet;
}

/* The number of the worker that the task is on; -1: none. */
static int worker_of(Fleet *fleet)
{
    const Job *job = fleet_job(fleet, "s");
    assert_non_null(job);
    assert_true(task_on_worker(job->tasks[0].phase));
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++)
        if (strcmp(fleet_node(fleet, FLEET_WORKER, i)->settings.name, job->tasks[0].worker) == 0)
            return i;
    return -1;
}

/* Runs until the job is done. Returns that time; INT64_MAX: it was not done within 15 s. */
static int64_t ended_ms(Fleet *fleet)
{
    for (int i = 0; i < 300; i++) {
        const Job *job = fleet_job(fleet, "s");
        if (job != NULL && job->phase == JOB_DONE)
            return sim_now_ms(fleet->world);
        fleet_run(fleet, 50);
    }
    return INT64_MAX;
}

/* The worker and its agent lose power; the rest of the work is done on another worker. Frees the fleet. */
static void resumed_after_loss(Fleet *fleet)
{
    const int at = worker_of(fleet);
    fleet_power_off(fleet, FLEET_AGENT, at);
    fleet_power_off(fleet, FLEET_WORKER, at);
    const int64_t off_ms = sim_now_ms(fleet->world);
    /* the lease and the rest of the work, not all of it again */
    assert_in_range(ended_ms(fleet) - off_ms, 1, LEASE_MS + 4500);
    assert_int_equal(checker_resumes(fleet->checker), 1);
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

/* The worker and its agent lose power after seven of the task's nine seconds, and send no last report. */
static void machine_lost(void **state)
{
    (void)state;
    Fleet *fleet = begin(3);
    fleet_run(fleet, 7000);
    resumed_after_loss(fleet);
}

/* The leader is killed first; the new leader learns the saved progress from the heartbeats. */
static void leader_lost_before(void **state)
{
    (void)state;
    Fleet *fleet = begin(4);
    fleet_run(fleet, 2000);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 5000); /* another controller leads and has received heartbeats */
    assert_true(fleet_leader(fleet) >= 0);
    resumed_after_loss(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(machine_lost), cmocka_unit_test(leader_lost_before)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
