/* Orders that empty a zone and take it back: sent again, late, and at once. */
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
#define LINK_MS 10 /* ms; each frame's way: a cut falls between two of them */

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_run(fleet, 1000);
    sim_link_delay(fleet->world, LINK_MS, LINK_MS);
    fleet_run(fleet, 1000);
    return fleet;
}

static bool drained(const Fleet *fleet)
{
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    return table_zone_is_drained(controller_table(fleet->nodes[FLEET_CONTROLLER][leader].controller), ZONE);
}

static InsideRequest *order(Fleet *fleet, int entry_point, const char *method)
{
    return inside_request_send(fleet, entry_point,
                               &(HttpExchange){.method = method, .path = DRAIN, .query = "", .host = ""}, NULL);
}

static int ask(Fleet *fleet, int entry_point, const char *method)
{
    return fleet_request(fleet, fleet, FLEET_ENTRY_POINT, entry_point, method, DRAIN, NULL).code;
}

enum { CUT_TO_CONTROLLERS = 1, CUT_FROM_CONTROLLERS = 2 };

static void cut_entry_point(Fleet *fleet, int entry_point, int leader_route, bool cut)
{
    const int machine = fleet_node(fleet, FLEET_ENTRY_POINT, entry_point)->machine;
    for (int i = 0; i < 3; i++) {
        const int controller = fleet_node(fleet, FLEET_CONTROLLER, i)->machine;
        if (leader_route & CUT_TO_CONTROLLERS)
            sim_link_cut(fleet->world, machine, controller, cut);
        if (leader_route & CUT_FROM_CONTROLLERS)
            sim_link_cut(fleet->world, controller, machine, cut);
    }
}

/* A start whose answer, or which itself, is held up by a cut; its caller has gone to
 * another entry point, where start and end are acknowledged. When the cut ends, what was
 * held up and what is forwarded again change nothing: each moment and way of the cut. */
static void late_start(void **state)
{
    (void)state;
    int held = 0;
    for (int at_ms = 5; at_ms <= 95; at_ms += 10)
        for (int leader_route = CUT_TO_CONTROLLERS; leader_route <= (CUT_TO_CONTROLLERS | CUT_FROM_CONTROLLERS);
             leader_route++) {
            Fleet *fleet = begin(41);
            InsideRequest *late = order(fleet, 0, "POST");
            fleet_run(fleet, at_ms);
            held += !late->done;
            cut_entry_point(fleet, 0, leader_route, true);
            fleet_run(fleet, 1000);
            assert_int_equal(ask(fleet, 1, "POST"), 200);
            assert_true(drained(fleet));
            assert_int_equal(ask(fleet, 1, "DELETE"), 200);
            cut_entry_point(fleet, 0, leader_route, false);
            fleet_run(fleet, 12000);
            assert_true(late->done);
            if (drained(fleet))
                fail_msg("cut %d after %d ms: a late start emptied the zone again (%d)", leader_route, at_ms,
                         late->task->code);
            print_message("cut %d after %d ms: %d\n", leader_route, at_ms, late->task->code);
            case_end(fleet);
        }
    assert_true(held >= 9); /* that many cuts fell into the order's way */
}

/* A start that comes while its entry point is frozen, without a name: its caller goes to another entry point, where
 * start and end are acknowledged. Read when the process goes on, it is refused as certainly not taken, and changes
 * nothing; sent again afterwards, it is taken. */
static void late_start_at_a_frozen_entry_point(void **state)
{
    (void)state;
    for (uint64_t seed = 45; seed < 49; seed++) {
        Fleet *fleet = begin(seed);
        const int64_t until_ms = sim_now_ms(fleet->world) + 3000;
        sim_freeze(fleet->world, fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine, until_ms);
        fleet_run(fleet, 20);
        InsideRequest *late = order(fleet, 0, "POST");
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

/* The other way round: a late end does not open a zone that is emptied again. */
static void late_end(void **state)
{
    (void)state;
    for (int at_ms = 25; at_ms <= 75; at_ms += 10) {
        Fleet *fleet = begin(42);
        assert_int_equal(ask(fleet, 1, "POST"), 200);
        const InsideRequest *late = order(fleet, 0, "DELETE");
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

/* An answer lost with the leader: the same order, forwarded to the next leader, is
 * answered as its first was, and what came in between stays. */
static void leader_lost(void **state)
{
    (void)state;
    Fleet *fleet = begin(43);
    InsideRequest *late = order(fleet, 0, "POST");
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

/* One that has been overtaken while its caller still waits is refused as certainly not
 * taken, with when to come back; sent again, it is taken. */
static void overtaken(void **state)
{
    (void)state;
    Fleet *fleet = begin(44);
    InsideRequest *late = order(fleet, 0, "POST");
    fleet_run(fleet, LINK_MS + LINK_MS / 2); /* its base is on the way back */
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

/* One whose caller has gone before anything was sent is not taken. */
static void caller_gone(void **state)
{
    (void)state;
    Fleet *fleet = begin(45);
    InsideRequest *late = order(fleet, 0, "POST");
    fleet_run(fleet, LINK_MS / 2);
    late->task->caller_disconnected = true;
    fleet_run(fleet, 3000);
    assert_true(late->done && !drained(fleet));
    case_end(fleet);
}

/* A caller's own name for an order holds at every entry point, whatever came between. */
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
