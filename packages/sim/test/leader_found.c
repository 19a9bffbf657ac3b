/* How soon a killed leader is replaced after a time without faults, and which answers callers get meanwhile. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

/* Seeds of the cases, first and last. */
#define SEED_FIRST 41
#define SEED_LAST 48
#define CALM_MS 30000 /* after this time, the duration of renewals right after the first election no longer matters */

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_run(fleet, CALM_MS);
    return fleet;
}

/* Submits a job to the first entry point. */
static HttpCall submit(Fleet *fleet)
{
    return fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs",
                         "{\"id\":\"early\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":["
                         "{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":64}}]}");
}

/* The next leader is found well before the longest grant of a lease would have ended, and callers that are refused
 * meanwhile get a Retry-After of about that time, not longer. */
static void found_again_soon(void **state)
{
    (void)state;
    for (uint64_t seed = SEED_FIRST; seed <= SEED_LAST; seed++) {
        Fleet *fleet = begin(seed);
        const int dead = fleet_leader(fleet);
        fleet_kill(fleet, FLEET_CONTROLLER, dead);
        const int64_t killed_ms = sim_now_ms(fleet->world);
        fleet_run(fleet, 2 * LEADER_WAIT_MS);
        const HttpCall call = submit(fleet);
        assert_int_equal(call.code, 503);
        assert_int_equal(call.retry_after_s, 1);
        while (fleet_leader(fleet) < 0 || fleet_leader(fleet) == dead)
            fleet_run(fleet, 10);
        assert_in_range(sim_now_ms(fleet->world) - killed_ms, 1, LOCK_GRANT_MS * 3 / 4);
        fleet_start_node(fleet, FLEET_CONTROLLER, dead);
        fleet_run(fleet, 5000);
        case_end(fleet);
    }
}

/* While no controller can lead, the Retry-After that callers get grows, up to three seconds. */
static void long_outage_spares_tries(void **state)
{
    (void)state;
    Fleet *fleet = begin(SEED_FIRST);
    for (int i = 0; i < 3; i++)
        fleet_kill(fleet, FLEET_CONTROLLER, i);
    static const struct {
        int64_t run_ms;
        int retry_s;
    } ASKED[] = {{600, 1}, {1400, 2}, {1000, 3}, {5000, 3}};
    for (size_t i = 0; i < sizeof(ASKED) / sizeof(ASKED[0]); i++) {
        fleet_run(fleet, ASKED[i].run_ms);
        const HttpCall call = submit(fleet);
        assert_int_equal(call.code, 503);
        assert_int_equal(call.retry_after_s, ASKED[i].retry_s);
    }
    case_end(fleet);
}

/* A leader that is frozen again and again, each time for less than what is left of its lease, goes on leading. */
static void held_up_leader_stays(void **state)
{
    (void)state;
    for (uint64_t seed = SEED_FIRST; seed <= SEED_LAST; seed++) {
        Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
        fleet_run(fleet, 2000); /* the leader still asks for long grants */
        const int leader = fleet_leader(fleet);
        assert_true(leader >= 0);
        for (int i = 0; i < 40; i++) {
            fleet_freeze(fleet, FLEET_CONTROLLER, leader, 650);
            fleet_run(fleet, 1300);
            assert_int_equal(fleet_leader(fleet), leader);
        }
        case_end(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(found_again_soon),
        cmocka_unit_test(long_outage_spares_tries),
        cmocka_unit_test(held_up_leader_stays),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
