/* The whole path on a simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

static void wholePath(void **state)
{
    (void)state;
    Fleet *fleet = fleetNew(NULL, 1, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0});
    fleetStart(fleet);
    const bool settled = fleetSettle(fleet, 20000);
    printf("settled %d at %ld leader %d\n", settled, (long)sim_now_ms(fleet->world), fleetLeader(fleet));
    if (!settled)
        fleetDump(fleet);
    assert_true(settled);
    assert_true(fleetConfigure(fleet));
    fleetCall(fleet, "c", 10000, 20000);
    fleetRun(fleet, 5000);
    const bool done = fleetFinish(fleet, 60000);
    printf("done %d at %ld starts %zu broken %zu %s\n", done, (long)sim_now_ms(fleet->world),
           checkerStarts(fleet->checker), checkerBrokenAll(fleet->checker), checkerFirst(fleet->checker));
    if (!done)
        fleetDump(fleet);
    assert_true(done);
    assert_int_equal(checkerBrokenAll(fleet->checker), 0);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(wholePath)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
