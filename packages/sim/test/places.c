/* An address that another process has taken: what is meant for the one before is not the
 * other's to carry out, nor to answer for. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

#define LONG_WORK                                                                                                           \
    "{\"id\":\"l\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[{\"name\":\"a\",\"count\":11," \
    "\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":60000}}]}"

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0});
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", LONG_WORK).code, 201);
    fleet_run(fleet, 2000);
    return fleet;
}

static void taken(Fleet *fleet, int entry_point, const char *name)
{
    fleet_kill(fleet, FLEET_ENTRY_POINT, entry_point);
    fleet_node(fleet, FLEET_ENTRY_POINT, entry_point)->settings.name = name;
    fleet_start_node(fleet, FLEET_ENTRY_POINT, entry_point);
}

/* No disk works, nobody holds the lock, and work goes on only while every member answers
 * that it knows no holder. One is lost, and a stranger answers at its address: that is not
 * the lost one's answer, and the work stops. */
static void answers_for_another(void **state)
{
    (void)state;
    for (int with = 0; with < 2; with++) {
        Fleet *fleet = begin(81);
        assert_int_equal(case_running_tasks(fleet), 11);
        for (int i = 0; i < 3; i++)
            sim_disk_fail(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
        fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=1",
                      "{\"r\":0}"); /* shows the failure */
        fleet_run(fleet, 8000);
        assert_int_equal(fleet_leader(fleet), -1);
        assert_int_equal(case_running_tasks(fleet), 11);
        if (with)
            taken(fleet, 1, "another");
        fleet_run(fleet, 6000);
        assert_int_equal(case_running_tasks(fleet), with ? 0 : 11);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

/* Entry points go on when one of them is another, at the same address. */
static void entry_taken(void **state)
{
    (void)state;
    Fleet *fleet = begin(82);
    taken(fleet, 1, "another");
    fleet_run(fleet, 2000);
    for (int i = 0; i < 3; i++) {
        const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, i, "GET", "/v1/jobs/l", NULL);
        assert_int_equal(call.code, 200);
    }
    const HttpCall status = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "GET", "/v1/status", NULL);
    assert_non_null(strstr((const char *)status.response_body.data, "\"refusedFrames\""));
    fleet_run(fleet, 8000);
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(answers_for_another),
        cmocka_unit_test(entry_taken),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
