#ifndef SIM_TEST_REPAIR_FIXTURE_H
#define SIM_TEST_REPAIR_FIXTURE_H

/* Fixture of the repair tests: a fleet whose disks lose jobs that were acknowledged. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

#define JOBS 12 /* submitted by each test */

/* A fleet in three zones whose controllers' disks report writes as synced and lose them when power is lost. */
static inline Fleet *begin(uint64_t seed, int entry_points)
{
    Fleet *fleet = case_configured(seed, (FleetShape){3, entry_points, 4, MIX_TRENTVALE, 0},
                                   "{\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{\"q\":{}}}}}");
    for (int i = 0; i < 3; i++)
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    fleet_run(fleet, 1000);
    return fleet;
}

/* The path of the job with this number; on the fleet. */
static inline const char *path_of(Fleet *fleet, int job)
{
    return talloc_asprintf(fleet, "/v1/jobs/kept-%d", job);
}

/* Submits all jobs to the process; each is acknowledged. */
static inline void jobs_submit(Fleet *fleet, FleetRole role, int number)
{
    for (int job = 0; job < JOBS; job++) {
        const char *body =
            talloc_asprintf(fleet,
                            "{\"id\":\"kept-%d\",\"cell\":\"c\",\"tenant\":\"t\",\"queue\":\"q\",\"steps\":[{"
                            "\"name\":\"s\",\"count\":1,\"room\":{\"cpu\":0.1,\"memMb\":64}}]}",
                            job);
        const HttpCall call = fleet_request(fleet, fleet, role, number, "POST", "/v1/jobs", body);
        if (call.code != 201)
            fail_msg("%d %s", call.code, (const char *)call.response_body.data);
    }
}

/* Fails unless the entry point knows all jobs. */
static inline void jobs_known(Fleet *fleet, int entry_point)
{
    for (int job = 0; job < JOBS; job++) {
        const HttpCall call =
            fleet_request(fleet, fleet, FLEET_ENTRY_POINT, entry_point, "GET", path_of(fleet, job), NULL);
        if (call.code != 200)
            fail_msg("query of job %d was answered %d: %s", job, call.code, (const char *)call.response_body.data);
    }
}

#endif
