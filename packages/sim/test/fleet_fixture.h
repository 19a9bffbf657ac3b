#ifndef SIM_TEST_FLEET_FIXTURE_H
#define SIM_TEST_FLEET_FIXTURE_H

/* Fixture of tests of entire fleets: start and end of a test case, and jobs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

/* A started fleet that has a leader and the configuration of its mix. It has no talloc parent: the caller frees it,
 * usually by case_end(). */
static inline Fleet *case_begin(uint64_t seed, FleetShape shape)
{
    Fleet *fleet = fleet_new(NULL, seed, shape);
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000));
    assert_true(fleet_configure(fleet));
    return fleet;
}

/* Like case_begin(), with the configuration given as JSON instead of the mix's; returns one second after it is in
 * force. */
static inline Fleet *case_configured(uint64_t seed, FleetShape shape, const char *config)
{
    Fleet *fleet = fleet_new(NULL, seed, shape);
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000));
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=0", config);
    if (call.code != 200)
        fail_msg("%d %s", call.code, (const char *)call.response_body.data);
    fleet_run(fleet, 1000);
    return fleet;
}

/* Powers off all controllers, then starts them again with disks that no longer lose what they acknowledge. */
static inline void case_power_cycle(Fleet *fleet)
{
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        fleet_power_off(fleet, FLEET_CONTROLLER, i);
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, false);
        fleet_start_node(fleet, FLEET_CONTROLLER, i);
    }
}

/* Fails the test when a safety property broke, then frees the fleet. */
static inline void case_end(Fleet *fleet)
{
    if (checker_violations_total(fleet->checker) > 0)
        fail_msg("%s", checker_first_violation(fleet->checker));
    talloc_free(fleet);
}

/* Number of tasks that run on all workers together. */
static inline size_t case_running_tasks(Fleet *fleet)
{
    size_t count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++)
        count += stand_worker_running(fleet_node(fleet, FLEET_WORKER, i)->worker);
    return count;
}

/* Submits a job of tenant t in cell c and fails the test unless it is accepted. more: further JSON members of the job,
 * each preceded by a comma; steps: the JSON of its steps, separated by commas. */
static inline void case_submit(Fleet *fleet, const char *id, const char *queue, const char *more, const char *steps)
{
    const char *body =
        talloc_asprintf(fleet, "{\"id\":\"%s\",\"cell\":\"c\",\"tenant\":\"t\",\"queue\":\"%s\"%s,\"steps\":[%s]}", id,
                        queue, more, steps);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", body);
    if (call.code != 201)
        fail_msg("%s: %d %s", id, call.code, (const char *)call.response_body.data);
    checker_accepted(fleet->checker, id);
}

/* Number of the job's tasks that are in the phase; 0 when the job is not known. */
static inline size_t case_tasks_in_phase(const Fleet *fleet, const char *id, TaskPhase phase)
{
    const Job *job = fleet_job(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
        count += job->tasks[t].phase == phase;
    return count;
}

#endif
