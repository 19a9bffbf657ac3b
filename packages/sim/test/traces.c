/* A trace is collected from all members, whichever node is asked for it. */
#include <string.h>

#include "fleet_fixture.h"

#define AGENTS 20 /* more than an entry point knows by itself */

/* Guards against a trace silently leaving out the members that the entry point does not know: it knows only a part of
 * the fleet. */
static void trace_misses_members_beyond_the_view(void **state)
{
    (void)state;
    Fleet *fleet = case_begin(5, (FleetShape){3, 3, AGENTS, MIX_TRENTVALE, 0});
    assert_true(AGENTS > PARTIAL_VIEW_MAX);
    for (int i = 0; i < AGENTS; i++)
        fleet_power_off(fleet, FLEET_AGENT, i);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/trace?key=config:1", NULL);
    assert_int_equal(call.code, 200);
    const char *silent = strstr((const char *)call.response_body.data, "\"silent\"");
    assert_non_null(silent);
    for (int i = 1; i <= AGENTS; i++)
        assert_non_null(strstr(silent, talloc_asprintf(fleet, "\"agent%d\"", i)));
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(trace_misses_members_beyond_the_view),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
