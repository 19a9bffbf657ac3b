/* Tests of the worker's lease: what is passed on, and what ends when a lease, a boot or the worker ends. */
#include "agent_fixture.h"

static void lease_is_passed_on_less_two_percent(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_new(6000, 2000);
    ReportCall *call = report_new(fixture, "b1");
    call->report.wait_ms = 0;
    report_send_and_wait(call);
    assert_int_equal(call->orders.lease_ms, 1960);
    assert_true(lease_claim_ms(call->orders.lease_ms) >= call->orders.lease_ms * 102 / 100 + LEASE_SLACK_MS);
    /* No more than what is left is passed on: the worker's lease ends before the agent's own. */
    sim_link_cut(fixture->world, fixture->agent_machine, fixture->leader_machine, true);
    run_for(fixture, 5000);
    call = report_new(fixture, "b1");
    call->report.wait_ms = 0;
    report_send_and_wait(call);
    assert_in_range(call->orders.lease_ms, 1, 1500);
    talloc_free(fixture);
}

static void lapsed_agent_grants_nothing(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(3000, 3000);
    assert_true(report_running(fixture, "")->orders.lease_ms > 0);
    fixture->leader.ignores_heartbeats = true;
    sim_link_cut(fixture->world, fixture->agent_machine, fixture->leader_machine, true);
    run_for(fixture, 3100);
    ReportCall *call = report_running(fixture, "");
    assert_int_equal(call->orders.lease_ms, 0);
    assert_int_equal(call->orders.starts_count, 0);
    assert_int_equal(call->orders.stops_count, 1);
    talloc_free(fixture);
}

static void new_boot_ends_attempts_of_the_old(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(5000, 5000);
    const Order orders[] = {order_of("j", 0, 1, ""), order_of("j", 1, 1, "")};
    orders_set(fixture, orders, 2);
    assert_int_equal(report_idle(fixture)->orders.starts_count, 2);
    const AttemptUpdate runs[] = {update_of("j", 0, 1, ATTEMPT_RUNNING, "half"),
                                  update_of("j", 1, 1, ATTEMPT_RUNNING, "")};
    report_attempts(fixture, "b1", runs, 2, NULL, 0);
    /* The next process reports; the old one's lease would be valid for seconds. Its first report may be a late one of
     * an earlier process. The second one, sent with the answer to the first, shows that it is running. */
    ReportCall *call = report_send_and_wait(report_new(fixture, "b2"));
    assert_int_equal(call->status, STATUS_DUPLICATE_WORKER);
    assert_int_equal(call->orders.lease_ms, 0);
    run_for(fixture, 20);
    assert_int_equal(fixture->leader.updates_count, 0);
    call = report_send_and_wait(report_new(fixture, "b2"));
    assert_int_equal(call->status, STATUS_OK);
    assert_true(call->orders.lease_ms > 0);
    run_for(fixture, 20);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_int_equal(reported_count(&fixture->leader, "j", 1, 1, ATTEMPT_LOST), 1);
    assert_string_equal(fixture->leader.updates[0].saved, "half");
    /* A late report of the old process has no effect. */
    call = report_attempts(fixture, "b1", runs, 2, NULL, 0);
    assert_int_equal(call->status, STATUS_DUPLICATE_WORKER);
    assert_int_equal(call->orders.lease_ms, 0);
    talloc_free(fixture);
}

static void boot_without_proof_waits_for_the_lease(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(3000, 3000);
    for (int i = 0; i < 3; i++) {
        ReportCall *call = report_new(fixture, "b2");
        call->report.one_process = false;
        report_send_and_wait(call);
        assert_int_equal(call->status, STATUS_DUPLICATE_WORKER);
    }
    run_for(fixture, 3200);
    ReportCall *call = report_new(fixture, "b2");
    call->report.one_process = false;
    report_send_and_wait(call);
    assert_int_equal(call->status, STATUS_OK);
    talloc_free(fixture);
}

static void leaving_worker_is_given_nothing(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_ordered(3000, 3000); /* Ordered, but not given to the worker yet */
    ReportCall *call = report_new(fixture, "b1");
    call->report.leaving = true;
    call->report.leave_ms = 7000;
    call->report.wait_ms = 0;
    report_send_and_wait(call);
    assert_int_equal(call->orders.starts_count, 0);
    run_for(fixture, 20);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_true(fixture->leader.heartbeat.leaving);
    assert_in_range(fixture->leader.heartbeat.leave_ms, 6900, 7000);
    /* Attempts that are ordered later are not given to it either. */
    order_task(fixture, 1);
    call = report_new(fixture, "b1");
    call->report.leaving = true;
    report_send_and_wait(call);
    assert_int_equal(call->orders.starts_count, 0);
    assert_int_equal(reported_count(&fixture->leader, "j", 1, 1, ATTEMPT_STOPPED), 1);
    talloc_free(fixture);
}

static void left_worker_has_no_attempts(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(5000, 5000);
    report_running(fixture, "");
    ReportCall *call = report_new(fixture, "b1");
    call->report.leaving = call->report.left = true;
    report_send_and_wait(call);
    assert_int_equal(call->orders.lease_ms, 0);
    run_for(fixture, 100);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_true(fixture->leader.heartbeat.leaving);
    assert_false(fixture->leader.heartbeat.worker_live);
    assert_true(fixture->leader.heartbeat.settled);
    assert_int_equal(fixture->leader.heartbeat.attempts_count, 0);
    assert_int_equal(report_running(fixture, "")->status, STATUS_DUPLICATE_WORKER);
    talloc_free(fixture);
}

static void silent_worker_has_lost_its_attempts_when_its_lease_is_over(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(8000, 2000);
    ReportCall *call = report_running(fixture, "");
    const int64_t until_ms = sim_now_ms(fixture->world) + call->orders.lease_ms * 102 / 100;
    sim_run_until(fixture->world, until_ms);
    assert_int_equal(fixture->leader.updates_count, 0);
    run_for(fixture, 200);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_false(fixture->leader.heartbeat.worker_live);
    /* The worker's own report takes precedence when it arrives later. */
    report_ended(fixture, ATTEMPT_FAILED, "");
    run_for(fixture, 20);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_FAILED), 1);
    talloc_free(fixture);
}

/* A worker that usually reports again immediately counts as silent as soon as it does not: attempts not given to it yet
 * go back to the leader, those that it has stay with it until its lease ends. */
static void silence_is_noticed_by_what_is_usual(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(8000, 4000);
    for (int i = 0; i < 8; i++) {
        ReportCall *call = add_running(report_new(fixture, "b1"), "");
        call->report.waits_for_answer = true;
        report_send_and_wait(call);
        run_for(fixture, WORKER_NEXT_POLL_MS);
    }
    assert_true(fixture->leader.heartbeat.worker_live);
    const Order both[] = {order_of("j", 0, 1, ""), order_of("j", 1, 1, "")};
    orders_set(fixture, both, 2);
    run_for(fixture, REPORT_OVERDUE_MIN_MS + 50);
    assert_false(fixture->leader.heartbeat.worker_live);
    assert_int_equal(reported_count(&fixture->leader, "j", 1, 1, ATTEMPT_STOPPED), 1);
    assert_int_equal(fixture->leader.updates_count, 1);
    /* It reports again, and may be given work immediately. */
    report_running(fixture, "");
    run_for(fixture, 50);
    assert_true(fixture->leader.heartbeat.worker_live);
    talloc_free(fixture);
}

static void fence_never_falls(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_new(4000, 4000);
    ReportCall *call = report_idle(fixture);
    assert_int_equal(call->orders.fence, 5);
    fixture->leader.term = TERM(9);
    run_for(fixture, 1200);
    call = report_idle(fixture);
    assert_int_equal(call->orders.fence, 9);
    fixture->leader.term = TERM(7); /* An older leader that still answers */
    run_for(fixture, 1200);
    order_task(fixture, 0);
    call = report_idle(fixture);
    assert_int_equal(call->orders.fence, 9);
    assert_int_equal(call->orders.starts_count, 0);
    talloc_free(fixture);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lease_is_passed_on_less_two_percent),
        cmocka_unit_test(lapsed_agent_grants_nothing),
        cmocka_unit_test(new_boot_ends_attempts_of_the_old),
        cmocka_unit_test(boot_without_proof_waits_for_the_lease),
        cmocka_unit_test(leaving_worker_is_given_nothing),
        cmocka_unit_test(left_worker_has_no_attempts),
        cmocka_unit_test(silent_worker_has_lost_its_attempts_when_its_lease_is_over),
        cmocka_unit_test(silence_is_noticed_by_what_is_usual),
        cmocka_unit_test(fence_never_falls),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
