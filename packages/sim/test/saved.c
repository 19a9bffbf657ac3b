/* What a round has saved is where the next goes on, whoever was lost meanwhile. */
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

/* A hold that outlives a change of leader. */
#define HOLD_MS 8000

static Fleet *begun(uint64_t seed)
{
    Fleet *fleet = fleetNew(NULL, seed, (FleetShape){3, 2, 5, MIX_VARIED, 0});
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->nodeCount[role]; i++)
            fleetNode(fleet, (FleetRole)role, i)->props.bounds.hold_ms = HOLD_MS;
    fleetStart(fleet);
    assert_true(fleetSettle(fleet, 20000));
    assert_true(fleetConfigure(fleet));
    const HttpCall call = fleetAsk(fleet, fleet, FLEET_GATE, 0, "POST", "/v1/jobs", JOB);
    assert_int_equal(call.code / 100, 2);
    return fleet;
}

static int workerOf(Fleet *fleet)
{
    const Job *job = fleetJob(fleet, "s");
    assert_non_null(job);
    assert_true(task_on_worker(job->tasks[0].phase));
    for (int i = 0; i < fleet->nodeCount[FLEET_WORKER]; i++)
        if (strcmp(fleetNode(fleet, FLEET_WORKER, i)->props.name, job->tasks[0].worker) == 0)
            return i;
    return -1;
}

static int64_t ended_ms(Fleet *fleet)
{
    for (int i = 0; i < 300; i++) {
        const Job *job = fleetJob(fleet, "s");
        if (job != NULL && job->phase == JOB_DONE)
            return sim_now_ms(fleet->world);
        fleetRun(fleet, 50);
    }
    return INT64_MAX;
}

/* The machine goes dark seven seconds into nine; nobody tells what it came to. */
static void machineLost(void **state)
{
    (void)state;
    Fleet *fleet = begun(3);
    fleetRun(fleet, 7000);
    const int at = workerOf(fleet);
    fleetPowerOff(fleet, FLEET_AGENT, at);
    fleetPowerOff(fleet, FLEET_WORKER, at);
    const int64_t offMs = sim_now_ms(fleet->world);
    /* the hold, and what is left: not the whole again */
    assert_in_range(ended_ms(fleet) - offMs, 1, HOLD_MS + 4500);
    assert_int_equal(checkerResumes(fleet->checker), 1);
    assert_int_equal(checkerBrokenAll(fleet->checker), 0);
    talloc_free(fleet);
}

/* The leader dies first; the next one hears it all from the beats. */
static void leaderLostBefore(void **state)
{
    (void)state;
    Fleet *fleet = begun(4);
    fleetRun(fleet, 2000);
    fleetKill(fleet, FLEET_CORE, fleetLeader(fleet));
    fleetRun(fleet, 5000); /* another leads; beats have come */
    assert_true(fleetLeader(fleet) >= 0);
    const int at = workerOf(fleet);
    fleetPowerOff(fleet, FLEET_AGENT, at);
    fleetPowerOff(fleet, FLEET_WORKER, at);
    const int64_t offMs = sim_now_ms(fleet->world);
    assert_in_range(ended_ms(fleet) - offMs, 1, HOLD_MS + 4500);
    assert_int_equal(checkerResumes(fleet->checker), 1);
    assert_int_equal(checkerBrokenAll(fleet->checker), 0);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(machineLost), cmocka_unit_test(leaderLostBefore)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
