/* The shortest test of an entire simulated fleet: it starts, is configured, and runs all jobs that callers submit. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

static void whole_path(void **state)
{
    (void)state;
    Fleet *fleet = fleet_new(NULL, 1, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0});
    fleet_start(fleet);
    const bool settled = fleet_wait_ready(fleet, 20000);
    printf("settled: %d at %ld ms, leader %d\n", settled, (long)sim_now_ms(fleet->world), fleet_leader(fleet));
    if (!settled)
        fleet_dump(fleet);
    assert_true(settled);
    assert_true(fleet_configure(fleet));
    fleet_submit_jobs(fleet, "c", 10000, 20000);
    fleet_run(fleet, 5000);
    const bool done = fleet_wait_jobs_ended(fleet, 60000);
    printf("done: %d at %ld ms, starts: %zu, violations: %zu %s\n", done, (long)sim_now_ms(fleet->world),
           checker_starts(fleet->checker), checker_violations_total(fleet->checker),
           checker_first_violation(fleet->checker));
    if (!done)
        fleet_dump(fleet);
    assert_true(done);
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(whole_path)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
