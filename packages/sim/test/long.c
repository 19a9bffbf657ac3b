/* A long run in virtual time: the journal is rewritten under load, a controller that was away installs a snapshot,
 * ended jobs are dropped after their retention span, and no process's memory grows without bound. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

/* Bytes that the node's process has allocated; 0 when it does not run. */
static size_t allocated_bytes(const Fleet *fleet, FleetRole role, int number)
{
    const FleetNode *node = &fleet->nodes[role][number];
    return sim_running(fleet->world, node->machine) ? talloc_total_size(sim_loop(fleet->world, node->machine)) : 0;
}

static void hour(void **state)
{
    (void)state;
#if defined(__SANITIZE_ADDRESS__)
    const int64_t minutes = 4; /* ten times slower with this sanitizer; long enough for a rewrite of the journal */
#else
    const int64_t minutes = 75;
#endif
    Fleet *fleet = case_begin(3, (FleetShape){3, 3, 4, MIX_ATLAS, 0});
    fleet_submit_jobs(fleet, "h", 9000, minutes * 60000);
    fleet_run(fleet, 60000);
    /* one controller is powered off while the others rewrite their journals */
    const int away = (fleet_leader(fleet) + 1) % 3;
    fleet_power_off(fleet, FLEET_CONTROLLER, away);
    fleet_run(fleet, 120000);
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    ReplicationStatus reach;
    replication_status(controller_replication(fleet_node(fleet, FLEET_CONTROLLER, leader)->controller), &reach);
    assert_true(reach.journal.rewrites > 0 && reach.base_index > 0);
    fleet_start_node(fleet, FLEET_CONTROLLER, away);
    fleet_run(fleet, 20000);
    ReplicationStatus back;
    replication_status(controller_replication(fleet_node(fleet, FLEET_CONTROLLER, away)->controller), &back);
    assert_true(back.base_index >= reach.base_index); /* it has installed a snapshot */
    assert_true(back.delivered_index > reach.delivered_index);
    assert_false(back.restarted);
    size_t worst[3] = {0}, settled[3] = {0};
    for (int64_t minute = 4; minute < minutes; minute++) {
        fleet_run(fleet, 60000);
        const size_t now[3] = {allocated_bytes(fleet, FLEET_CONTROLLER, leader),
                               allocated_bytes(fleet, FLEET_ENTRY_POINT, 0), allocated_bytes(fleet, FLEET_AGENT, 0)};
        for (int i = 0; i < 3; i++) {
            if (now[i] > worst[i])
                worst[i] = now[i];
            /* ended jobs are kept for an hour: after that, memory does not grow */
            if (minute == 68)
                settled[i] = worst[i];
        }
    }
    print_message(
        "after %d minutes: leader %zu KB, entry point %zu KB, agent %zu KB; journal %zu KB, %zu rewrites; %zu starts\n",
        (int)minutes, worst[0] / 1024, worst[1] / 1024, worst[2] / 1024, (size_t)reach.journal.bytes / 1024,
        (size_t)reach.journal.rewrites, checker_starts(fleet->checker));
    for (int i = 0; i < 3 && minutes > 70; i++)
        assert_true(worst[i] < settled[i] + settled[i] / 4);
    assert_true(fleet_wait_jobs_ended(fleet, 60000));
    if (checker_violations_total(fleet->checker) > 0)
        fail_msg("%s", checker_first_violation(fleet->checker));
    if (minutes > 70) {
        /* a job of the beginning has been dropped, one of the last half hour has not */
        const Job *const old = fleet_job(fleet, "h-urgent-0");
        CallerJob *const *jobs;
        const size_t count = caller_jobs(fleet->callers[0], &jobs);
        assert_true(old == NULL && fleet_job(fleet, jobs[0]->id) == NULL);
        assert_non_null(fleet_job(fleet, jobs[count - 10000]->id));
    }
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(hour)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
