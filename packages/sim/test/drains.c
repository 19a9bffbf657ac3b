/* Orders that empty a zone and take it back: sent again, late, and at once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "hand.h"
#include "table/table.h"

#define ZONE "west"
#define DRAIN "/v1/zones/" ZONE "/drain"
#define LINK_MS 10 /* ms; each frame's way: a cut falls between two of them */

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = fleetNew(NULL, seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleetStart(fleet);
    assert_true(fleetSettle(fleet, 30000) && fleetConfigure(fleet));
    fleetRun(fleet, 1000);
    simDelay(fleet->world, LINK_MS, LINK_MS);
    fleetRun(fleet, 1000);
    return fleet;
}

static void end(Fleet *fleet)
{
    if (checkerBrokenAll(fleet->checker) > 0)
        fail_msg("%s", checkerFirst(fleet->checker));
    talloc_free(fleet);
}

static bool drained(const Fleet *fleet)
{
    const int leader = fleetLeader(fleet);
    assert_true(leader >= 0);
    return table_drained(core_table(fleet->nodes[FLEET_CORE][leader].core), ZONE);
}

static Handed *order(Fleet *fleet, int gate, const char *method)
{
    return hand(fleet, gate, &(HttpTask){.method = method, .path = DRAIN, .query = "", .host = ""}, NULL);
}

static int ask(Fleet *fleet, int gate, const char *method)
{
    return fleetAsk(fleet, fleet, FLEET_GATE, gate, method, DRAIN, NULL).code;
}

enum { CUT_TO_CORES = 1, CUT_FROM_CORES = 2 };

static void cutGate(Fleet *fleet, int gate, int ways, bool cut)
{
    const int machine = fleetNode(fleet, FLEET_GATE, gate)->machine;
    for (int i = 0; i < 3; i++) {
        const int core = fleetNode(fleet, FLEET_CORE, i)->machine;
        if (ways & CUT_TO_CORES)
            sim_cut(fleet->world, machine, core, cut);
        if (ways & CUT_FROM_CORES)
            sim_cut(fleet->world, core, machine, cut);
    }
}

/* A start whose answer, or which itself, is held up by a cut; its caller has gone to
 * another entry point, where start and end are acknowledged. When the cut ends, what was
 * held up and what is forwarded again change nothing: each moment and way of the cut. */
static void lateStart(void **state)
{
    (void)state;
    int held = 0;
    for (int at_ms = 5; at_ms <= 95; at_ms += 10)
        for (int ways = CUT_TO_CORES; ways <= (CUT_TO_CORES | CUT_FROM_CORES); ways++) {
            Fleet *fleet = begin(41);
            Handed *late = order(fleet, 0, "POST");
            fleetRun(fleet, at_ms);
            held += !late->done;
            cutGate(fleet, 0, ways, true);
            fleetRun(fleet, 1000);
            assert_int_equal(ask(fleet, 1, "POST"), 200);
            assert_true(drained(fleet));
            assert_int_equal(ask(fleet, 1, "DELETE"), 200);
            cutGate(fleet, 0, ways, false);
            fleetRun(fleet, 12000);
            assert_true(late->done);
            if (drained(fleet))
                fail_msg("cut %d after %d ms: a late start emptied the zone again (%d)", ways, at_ms, late->task->code);
            print_message("cut %d after %d ms: %d\n", ways, at_ms, late->task->code);
            end(fleet);
        }
    assert_true(held >= 9); /* that many cuts fell into the order's way */
}

/* The other way round: a late end does not open a zone that is emptied again. */
static void lateEnd(void **state)
{
    (void)state;
    for (int at_ms = 25; at_ms <= 75; at_ms += 10) {
        Fleet *fleet = begin(42);
        assert_int_equal(ask(fleet, 1, "POST"), 200);
        const Handed *late = order(fleet, 0, "DELETE");
        fleetRun(fleet, at_ms);
        cutGate(fleet, 0, CUT_FROM_CORES, true);
        fleetRun(fleet, 1000);
        assert_int_equal(ask(fleet, 1, "DELETE"), 200);
        assert_int_equal(ask(fleet, 2, "POST"), 200);
        cutGate(fleet, 0, CUT_FROM_CORES, false);
        fleetRun(fleet, 12000);
        assert_true(late->done && drained(fleet));
        end(fleet);
    }
}

/* An answer lost with the leader: the same order, forwarded to the next leader, is
 * answered as its first was, and what came in between stays. */
static void leaderLost(void **state)
{
    (void)state;
    Fleet *fleet = begin(43);
    Handed *late = order(fleet, 0, "POST");
    while (!drained(fleet))
        fleetRun(fleet, 1);
    assert_false(late->done);
    fleetKill(fleet, FLEET_CORE, fleetLeader(fleet));
    fleetRun(fleet, 9000);
    assert_true(late->done);
    assert_int_equal(late->task->code, 200);
    assert_true(drained(fleet));
    end(fleet);
}

/* One that has been overtaken while its caller still waits is refused as certainly not
 * taken, with when to come back; sent again, it is taken. */
static void overtaken(void **state)
{
    (void)state;
    Fleet *fleet = begin(44);
    Handed *late = order(fleet, 0, "POST");
    fleetRun(fleet, LINK_MS + LINK_MS / 2); /* its base is on the way back */
    cutGate(fleet, 0, CUT_FROM_CORES, true);
    assert_int_equal(ask(fleet, 1, "POST"), 200);
    assert_int_equal(ask(fleet, 1, "DELETE"), 200);
    cutGate(fleet, 0, CUT_FROM_CORES, false);
    while (!late->done)
        fleetRun(fleet, 5);
    assert_int_equal(late->task->code, 503);
    assert_true(late->task->retry_after_s > 0 && !drained(fleet));
    assert_int_equal(ask(fleet, 0, "POST"), 200);
    assert_true(drained(fleet));
    end(fleet);
}

/* One whose caller has gone before anything was sent is not taken. */
static void callerGone(void **state)
{
    (void)state;
    Fleet *fleet = begin(45);
    Handed *late = order(fleet, 0, "POST");
    fleetRun(fleet, LINK_MS / 2);
    late->task->gone = true;
    fleetRun(fleet, 3000);
    assert_true(late->done && !drained(fleet));
    end(fleet);
}

/* A caller's own name for an order holds at every entry point, whatever came between. */
static void callersName(void **state)
{
    (void)state;
    Fleet *fleet = begin(46);
    static const char NAMED[] = DRAIN "?order=mine";
    assert_int_equal(fleetAsk(fleet, fleet, FLEET_GATE, 0, "POST", NAMED, NULL).code, 200);
    assert_int_equal(ask(fleet, 1, "DELETE"), 200);
    assert_int_equal(fleetAsk(fleet, fleet, FLEET_GATE, 2, "POST", NAMED, NULL).code, 200);
    assert_false(drained(fleet));
    assert_int_equal(fleetAsk(fleet, fleet, FLEET_GATE, 2, "POST", DRAIN "?after=0", NULL).code, 409);
    assert_int_equal(fleetAsk(fleet, fleet, FLEET_GATE, 2, "POST", DRAIN "?order=a%20b", NULL).code, 422);
    end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lateStart), cmocka_unit_test(lateEnd),    cmocka_unit_test(leaderLost),
        cmocka_unit_test(overtaken), cmocka_unit_test(callerGone), cmocka_unit_test(callersName),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
