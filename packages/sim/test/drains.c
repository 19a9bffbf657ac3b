/* Requests that drain a zone and end its drain: repeated, delayed and overtaken ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"
#include "inside_request.h"
#include "state/table.h"

#define ZONE "west"
#define DRAIN "/v1/zones/" ZONE "/drain"
#define LINK_MS 10 /* delay of each frame, so that a cut can fall between two of them */

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_run(fleet, 1000);
    sim_link_delay(fleet->world, LINK_MS, LINK_MS);
    fleet_run(fleet, 1000);
    return fleet;
}

/* Whether the zone is drained by the leader's state. */
static bool drained(const Fleet *fleet)
{
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    return table_zone_is_drained(controller_table(fleet->nodes[FLEET_CONTROLLER][leader].controller), ZONE);
}

/* Starts a request to drain the zone (POST) or to end its drain (DELETE), without waiting. */
static InsideRequest *send_order(Fleet *fleet, int entry_point, const char *method)
{
    return inside_request_send(fleet, entry_point,
                               &(HttpExchange){.method = method, .path = DRAIN, .query = "", .host = ""}, NULL);
}

/* Sends the same request over HTTP and returns the status code. */
static int ask(Fleet *fleet, int entry_point, const char *method)
{
    return fleet_request(fleet, fleet, FLEET_ENTRY_POINT, entry_point, method, DRAIN, NULL).code;
}

/* Directions of a cut between an entry point and the controllers; may be combined. */
enum { CUT_TO_CONTROLLERS = 1, CUT_FROM_CONTROLLERS = 2 };

static void cut_entry_point(Fleet *fleet, int entry_point, int direction, bool cut)
{
    const int machine = fleet_node(fleet, FLEET_ENTRY_POINT, entry_point)->machine;
    for (int i = 0; i < 3; i++) {
        const int controller = fleet_node(fleet, FLEET_CONTROLLER, i)->machine;
        if (direction & CUT_TO_CONTROLLERS)
            sim_link_cut(fleet->world, machine, controller, cut);
        if (direction & CUT_FROM_CONTROLLERS)
            sim_link_cut(fleet->world, controller, machine, cut);
    }
}

/* A cut delays the start of a drain or its response, while the caller starts and ends the drain at another entry point.
 * When the cut is over, neither the delayed request nor its repetition may drain the zone again. Tried for several
 * moments and every direction of the cut. */
static void late_start(void **state)
{
    (void)state;
    int delayed = 0;
    for (int at_ms = 5; at_ms <= 95; at_ms += 10)
        for (int direction = CUT_TO_CONTROLLERS; direction <= (CUT_TO_CONTROLLERS | CUT_FROM_CONTROLLERS);
             direction++) {
            Fleet *fleet = begin(41);
            InsideRequest *late = send_order(fleet, 0, "POST");
            fleet_run(fleet, at_ms);
            delayed += !late->done;
            cut_entry_point(fleet, 0, direction, true);
            fleet_run(fleet, 1000);
            assert_int_equal(ask(fleet, 1, "POST"), 200);
            assert_true(drained(fleet));
            assert_int_equal(ask(fleet, 1, "DELETE"), 200);
            cut_entry_point(fleet, 0, direction, false);
            fleet_run(fleet, 12000);
            assert_true(late->done);
            if (drained(fleet))
                fail_msg("cut in direction %d after %d ms: a delayed start drained the zone again (status %d)",
                         direction, at_ms, late->task->code);
            print_message("cut in direction %d after %d ms: status %d\n", direction, at_ms, late->task->code);
            case_end(fleet);
        }
    assert_true(delayed >= 9); /* at least this many cuts came before the response */
}

/* The start of a drain, without an order name, arrives while its entry point is frozen, and the caller starts and ends
 * the drain at another entry point. When the frozen process goes on, it must refuse the request with 503, which means
 * that the request had no effect; sent again, the request is accepted. */
static void late_start_at_a_frozen_entry_point(void **state)
{
    (void)state;
    for (uint64_t seed = 45; seed < 49; seed++) {
        Fleet *fleet = begin(seed);
        const int64_t until_ms = sim_now_ms(fleet->world) + 3000;
        sim_freeze(fleet->world, fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine, until_ms);
        fleet_run(fleet, 20);
        InsideRequest *late = send_order(fleet, 0, "POST");
        fleet_run(fleet, 1000);
        assert_int_equal(ask(fleet, 1, "POST"), 200);
        assert_int_equal(ask(fleet, 1, "DELETE"), 200);
        fleet_run(fleet, 4000);
        assert_true(late->done);
        assert_int_equal(late->task->code, 503);
        assert_true(late->task->retry_after_s > 0);
        assert_false(drained(fleet));
        assert_int_equal(ask(fleet, 0, "POST"), 200);
        assert_true(drained(fleet));
        case_end(fleet);
    }
}

/* The reverse: a delayed end of a drain must not end a drain that was started after it. */
static void late_end(void **state)
{
    (void)state;
    for (int at_ms = 25; at_ms <= 75; at_ms += 10) {
        Fleet *fleet = begin(42);
        assert_int_equal(ask(fleet, 1, "POST"), 200);
        const InsideRequest *late = send_order(fleet, 0, "DELETE");
        fleet_run(fleet, at_ms);
        cut_entry_point(fleet, 0, CUT_FROM_CONTROLLERS, true);
        fleet_run(fleet, 1000);
        assert_int_equal(ask(fleet, 1, "DELETE"), 200);
        assert_int_equal(ask(fleet, 2, "POST"), 200);
        cut_entry_point(fleet, 0, CUT_FROM_CONTROLLERS, false);
        fleet_run(fleet, 12000);
        assert_true(late->done && drained(fleet));
        case_end(fleet);
    }
}

/* The leader is killed after it has carried out the request and before it has answered: the repetition to the next
 * leader must be acknowledged, and the zone must stay drained. */
static void leader_lost(void **state)
{
    (void)state;
    Fleet *fleet = begin(43);
    InsideRequest *late = send_order(fleet, 0, "POST");
    while (!drained(fleet))
        fleet_run(fleet, 1);
    assert_false(late->done);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 9000);
    assert_true(late->done);
    assert_int_equal(late->task->code, 200);
    assert_true(drained(fleet));
    case_end(fleet);
}

/* A request that others have overtaken while its caller still waits is refused with 503 and Retry-After, as it had no
 * effect; sent again, it is accepted. */
static void overtaken(void **state)
{
    (void)state;
    Fleet *fleet = begin(44);
    InsideRequest *late = send_order(fleet, 0, "POST");
    fleet_run(fleet,
              LINK_MS + LINK_MS / 2); /* the answer with the version that the request is based on is on its way */
    cut_entry_point(fleet, 0, CUT_FROM_CONTROLLERS, true);
    assert_int_equal(ask(fleet, 1, "POST"), 200);
    assert_int_equal(ask(fleet, 1, "DELETE"), 200);
    cut_entry_point(fleet, 0, CUT_FROM_CONTROLLERS, false);
    while (!late->done)
        fleet_run(fleet, 5);
    assert_int_equal(late->task->code, 503);
    assert_true(late->task->retry_after_s > 0 && !drained(fleet));
    assert_int_equal(ask(fleet, 0, "POST"), 200);
    assert_true(drained(fleet));
    case_end(fleet);
}

/* A request whose caller disconnects before anything was forwarded has no effect. */
static void caller_gone(void **state)
{
    (void)state;
    Fleet *fleet = begin(45);
    InsideRequest *late = send_order(fleet, 0, "POST");
    fleet_run(fleet, LINK_MS / 2);
    late->task->caller_disconnected = true;
    fleet_run(fleet, 3000);
    assert_true(late->done && !drained(fleet));
    case_end(fleet);
}

/* An order name chosen by the caller identifies the request at every entry point: its repetition is acknowledged
 * without an effect, even after other requests. */
static void callers_name(void **state)
{
    (void)state;
    Fleet *fleet = begin(46);
    static const char NAMED[] = DRAIN "?order=mine";
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", NAMED, NULL).code, 200);
    assert_int_equal(ask(fleet, 1, "DELETE"), 200);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 2, "POST", NAMED, NULL).code, 200);
    assert_false(drained(fleet));
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 2, "POST", DRAIN "?after=0", NULL).code, 409);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 2, "POST", DRAIN "?order=a%20b", NULL).code, 422);
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(late_start),   cmocka_unit_test(late_start_at_a_frozen_entry_point),
        cmocka_unit_test(late_end),     cmocka_unit_test(leader_lost),
        cmocka_unit_test(overtaken),    cmocka_unit_test(caller_gone),
        cmocka_unit_test(callers_name),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
