/* What was acknowledged outlasts disks that lose it, also when whoever carried the request has left in order since: it
 * hands on what it keeps for repair. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

#define JOBS 12 /* count */

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_configured(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0},
                                   "{\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{\"q\":{}}}}}");
    for (int i = 0; i < 3; i++)
        sim_disk_lie(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    fleet_run(fleet, 1000);
    return fleet;
}

static const char *path_of(Fleet *fleet, int job)
{
    return talloc_asprintf(fleet, "/v1/jobs/kept-%d", job);
}

/* Submits jobs at the process, which is told to end then; all controllers lose power, and their disks what they had. */
static void carrier_leaves(uint64_t seed, FleetRole role)
{
    Fleet *fleet = begin(seed);
    const int carrier = role == FLEET_CONTROLLER ? (fleet_leader(fleet) + 1) % 3 : 0;
    for (int job = 0; job < JOBS; job++) {
        const char *body =
            talloc_asprintf(fleet,
                            "{\"id\":\"kept-%d\",\"cell\":\"c\",\"tenant\":\"t\",\"queue\":\"q\",\"steps\":[{"
                            "\"name\":\"s\",\"count\":1,\"room\":{\"cpu\":0.1,\"memMb\":64}}]}",
                            job);
        const HttpCall call = fleet_ask(fleet, fleet, role, carrier, "POST", "/v1/jobs", body);
        if (call.code != 201)
            fail_msg("%d %s", call.code, (const char *)call.result.data);
    }
    if (role == FLEET_CONTROLLER) /* entry points keep a copy too: they are started again, and have forgotten it */
        for (int i = 0; i < 3; i++) {
            fleet_kill(fleet, FLEET_ENTRY_POINT, i);
            fleet_start_node(fleet, FLEET_ENTRY_POINT, i);
            fleet_run(fleet, 1000);
        }
    fleet_leave(fleet, role, carrier);
    fleet_run(fleet, 8000);
    assert_false(fleet_node(fleet, role, carrier)->up);
    fleet_start_node(fleet, role, carrier); /* it has forgotten it too */
    fleet_run(fleet, 2000);
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    for (int job = 0; job < JOBS; job++)
        assert_int_equal(fleet_ask(fleet, fleet, FLEET_ENTRY_POINT, 1, "GET", path_of(fleet, job), NULL).code, 200);
    case_end(fleet);
}

static void entry_point_leaves(void **state)
{
    (void)state;
    for (uint64_t seed = 61; seed < 65; seed++)
        carrier_leaves(seed, FLEET_ENTRY_POINT);
}

static void controller_leaves(void **state)
{
    (void)state;
    for (uint64_t seed = 71; seed < 75; seed++)
        carrier_leaves(seed, FLEET_CONTROLLER);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(entry_point_leaves),
        cmocka_unit_test(controller_leaves),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
