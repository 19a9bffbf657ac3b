/* Tests of what a report of the worker proves, and what it does not: reports that come late, also across a restart of
 * the agent or of the worker, and the announcement that the worker's process will end. */
#include "agent_fixture.h"

static void agent_restart(AgentFixture *fixture)
{
    sim_kill(fixture->world, fixture->agent_machine);
    sim_start(fixture->world, fixture->agent_machine, agent_machine_start, fixture);
    run_for(fixture, 700);
}

/* Creates a report that was sent earlier, before the reports that were created since. */
static ReportCall *report_late(AgentFixture *fixture, const char *boot, uint64_t seq)
{
    ReportCall *call = report_new(fixture, boot);
    call->report.seq = seq;
    call->report.answered_seq = seq - 1;
    return call;
}

/* Guards against attempts that run twice after a restart of the agent (review/7): a report from before the attempt ran
 * arrives first, and counted as all that runs on the worker. */
static void late_report_after_a_restart_is_not_complete(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(5000, 5000);
    const uint64_t before = fixture->seq - 1;
    report_running(fixture, "");
    agent_restart(fixture);
    report_send_and_wait(report_late(fixture, "b1", before));
    run_for(fixture, 600);
    assert_false(fixture->leader.heartbeat.settled);
    assert_int_equal(fixture->leader.updates_count, 0);
    fixture->answered_seq = 0; /* The worker did not wait for the answer to the late report */
    report_running(fixture, "");
    run_for(fixture, 50);
    assert_false(fixture->leader.heartbeat.settled);
    report_running(fixture, "");
    run_for(fixture, 600);
    assert_true(fixture->leader.heartbeat.settled);
    assert_int_equal(fixture->leader.heartbeat.attempts_count, 1);
    assert_int_equal(fixture->leader.updates_count, 0);
    talloc_free(fixture);
}

/* Without the proof, the list is complete once the leases that the earlier agent process passed on have expired. */
static void list_is_complete_once_inherited_leases_expired(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(4000, 3000);
    agent_restart(fixture);
    const int64_t restarted_ms = sim_now_ms(fixture->world) - 700;
    while (sim_now_ms(fixture->world) < restarted_ms + 3000) {
        fixture->answered_seq = 0;
        report_idle(fixture);
        assert_false(fixture->leader.heartbeat.settled);
        run_for(fixture, 100);
    }
    run_for(fixture, 300);
    fixture->answered_seq = 0;
    report_idle(fixture);
    run_for(fixture, 100);
    assert_true(fixture->leader.heartbeat.settled);
    talloc_free(fixture);
}

/* Guards against attempts that run twice (second review, without a script): an agent that was restarted while no leader
 * answered has passed on no lease itself, and took the worker's attempts for lost once the worker had been silent. */
static void inherited_lease_is_waited_for(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(8000, 4000);
    assert_true(report_running(fixture, "")->orders.lease_ms > 0);
    fixture->leader.ignores_heartbeats = true;
    agent_restart(fixture);
    assert_int_equal(report_running(fixture, "")->orders.lease_ms, 0);
    assert_int_equal(report_running(fixture, "")->orders.lease_ms, 0);
    run_for(fixture, 2800); /* The worker is silent; its lease is valid for some 200 ms more */
    assert_int_equal(fixture->leader.updates_count, 0);
    run_for(fixture, 800);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    talloc_free(fixture);
}

/* Guards against a worker that is shut out for good (review/2): the first report of its earlier process arrives late,
 * and counted as that of a newer one. */
static void late_report_of_an_earlier_boot_changes_nothing(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(5000, 5000);
    report_running(fixture, "");
    for (uint64_t seq = 1; seq <= 2; seq++) {
        ReportCall *call = report_send_and_wait(report_late(fixture, "b0", 5 * seq));
        assert_int_equal(call->status, STATUS_DUPLICATE_WORKER);
        assert_int_equal(call->orders.lease_ms, 0);
        call = report_running(fixture, "");
        assert_int_equal(call->status, STATUS_OK);
        assert_true(call->orders.lease_ms > 0);
        assert_int_equal(call->orders.stops_count, 0);
    }
    run_for(fixture, 600);
    assert_int_equal(fixture->leader.updates_count, 0);
    assert_int_equal(fixture->leader.heartbeat.attempts_count, 1);
    talloc_free(fixture);
}

/* The same as the first report that a restarted agent receives: the worker is not shut out, and what it runs is not
 * lost. */
static void late_report_of_an_earlier_boot_after_a_restart(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(5000, 5000);
    report_running(fixture, "");
    agent_restart(fixture);
    report_send_and_wait(report_late(fixture, "b0", 9));
    fixture->answered_seq = 0;
    report_running(fixture, "");
    ReportCall *call = report_running(fixture, "");
    assert_int_equal(call->status, STATUS_OK);
    assert_true(call->orders.lease_ms > 0);
    run_for(fixture, 600);
    assert_int_equal(fixture->leader.updates_count, 0);
    assert_true(fixture->leader.heartbeat.settled);
    assert_int_equal(fixture->leader.heartbeat.attempts_count, 1);
    talloc_free(fixture);
}

/* Issue 58, case 9: the worker's process was replaced after its lease had expired, and the new one was given an
 * attempt. A late report of the former one, which was known to have been alive before, made the agent drop what runs on
 * the new one as long as that had not reported again. */
static void late_report_of_a_proven_boot_ends_nothing(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(5000, 3000);
    for (int i = 0; i < 3; i++)
        report_idle(fixture); /* of b1, with the answers to its earlier ones */
    fixture->seq++;           /* a report of b1 that is held up */
    const uint64_t held_up = fixture->seq;
    run_for(fixture, 4000);
    ReportCall *call = report_new(fixture, "b2");
    report_send(call);
    order_task(fixture, 0); /* it goes with the answer to the first report */
    run_for(fixture, 500);
    assert_true(call->done);
    assert_int_equal(call->status, STATUS_OK);
    assert_int_equal(call->orders.starts_count, 1);
    run_for(fixture, 300);
    assert_int_equal(report_send_and_wait(report_late(fixture, "b1", held_up))->status, STATUS_DUPLICATE_WORKER);
    run_for(fixture, 50);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 0);
    fixture->answered_seq = 0; /* the answer to its first report was lost as well */
    call = report_send_and_wait(add_running(report_new(fixture, "b2"), ""));
    assert_int_equal(call->status, STATUS_OK);
    assert_int_equal(call->orders.stops_count, 0);
    assert_true(call->orders.lease_ms > 0);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 0);
    talloc_free(fixture);
}

/* The reverse: the late report was the first one after the lease had expired, and its process counts as the present
 * one. The process that is running takes its place with its second report. */
static void running_boot_replaces_one_that_came_late(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(5000, 3000);
    for (int i = 0; i < 3; i++)
        report_idle(fixture);
    run_for(fixture, 4000);
    assert_int_equal(report_send_and_wait(report_late(fixture, "b0", 7))->status, STATUS_OK);
    fixture->answered_seq = 0;
    assert_int_equal(report_idle(fixture)->status, STATUS_DUPLICATE_WORKER);
    ReportCall *call = report_idle(fixture);
    assert_int_equal(call->status, STATUS_OK);
    assert_true(call->orders.lease_ms > 0);
    talloc_free(fixture);
}

static ReportCall *report_departure(AgentFixture *fixture)
{
    ReportCall *call = report_new(fixture, "b1");
    call->report.seq = 0;
    call->report.leaving = call->report.departs = true;
    return report_send_and_wait(call);
}

/* Guards against attempts that run twice (review/1): a worker that announces that it leaves, and runs on for a while,
 * counted as gone. */
static void departing_worker_keeps_its_attempts(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(8000, 3000);
    report_running(fixture, "");
    assert_int_equal(report_departure(fixture)->status, STATUS_OK);
    run_for(fixture, 100);
    assert_int_equal(fixture->leader.updates_count, 0);
    assert_true(fixture->leader.heartbeat.leaving);
    assert_int_equal(fixture->leader.heartbeat.attempts_count, 1);
    /* It runs on: its lease is renewed, it is given nothing new, and it stays a leaving one. */
    ReportCall *call = report_running(fixture, "");
    assert_int_equal(call->status, STATUS_OK);
    assert_true(call->orders.lease_ms > 0);
    assert_int_equal(call->orders.stops_count, 0);
    const Order both[] = {order_of("j", 0, 1, ""), order_of("j", 1, 1, "")};
    orders_set(fixture, both, 2);
    call = report_running(fixture, "");
    assert_int_equal(call->orders.starts_count, 0);
    run_for(fixture, 100);
    assert_true(fixture->leader.heartbeat.leaving);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 0);
    /* Its process ends: what it ran is lost once the lease has expired. */
    run_for(fixture, 2500);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 0);
    run_for(fixture, 800);
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_false(fixture->leader.heartbeat.worker_live);
    talloc_free(fixture);
}

/* A worker that runs nothing has left as soon as it says so: the leader removes it from the fleet. */
static void idle_departing_worker_has_left(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(3000, 3000);
    report_departure(fixture);
    run_for(fixture, 50);
    assert_true(fixture->leader.heartbeat.leaving);
    assert_false(fixture->leader.heartbeat.worker_live);
    assert_true(fixture->leader.heartbeat.settled);
    assert_int_equal(fixture->leader.heartbeat.attempts_count, 0);
    talloc_free(fixture);
}

/* Guards against a task that starts on a worker of another kind (review/3): an order is on its way while the worker
 * describes itself anew. */
static void order_for_an_earlier_description_is_asked_for_again(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(3000, 3000);
    run_for(fixture, 700); /* The heartbeat that waits for orders carries the description */
    sim_machine_delay(fixture->world, fixture->leader_machine, 100);
    order_task(fixture, 0);
    fixture->worker.kind = "other";
    ReportCall *call = report_new(fixture, "b1");
    call->report.wait_ms = 0;
    report_send_and_wait(call);
    const uint64_t version = fixture->leader.version;
    run_for(fixture, 100); /* The order has arrived */
    call = report_new(fixture, "b1");
    call->report.wait_ms = 0;
    assert_int_equal(report_send_and_wait(call)->orders.starts_count, 0);
    run_for(fixture, 600);
    assert_int_equal(fixture->leader.version, version);
    assert_string_equal(fixture->leader.heartbeat.worker.kind, "other");
    /* This leader still wants the task there, so it is given as an order for the new description. */
    assert_int_equal(report_idle(fixture)->orders.starts_count, 1);
    talloc_free(fixture);
}

/* Guards against an agent that takes no orders for the rest of a term: the first answer of a leader that has never
 * given this worker anything is on its way while the worker describes itself anew. */
static void description_before_the_first_order_costs_no_order(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(3000, 3000);
    run_for(fixture, 700); /* The heartbeat that waits for orders carries the description */
    assert_int_equal(fixture->leader.version, 0);
    sim_machine_delay(fixture->world, fixture->leader_machine, 100);
    fixture->leader.term = TERM(6);
    signal_raise(fixture->leader.loop, &fixture->leader.changed);
    fixture->worker.kind = "other";
    report_idle(fixture);
    run_for(fixture, 300);
    report_idle(fixture);
    run_for(fixture, 300);
    report_idle(fixture);
    assert_string_equal(fixture->leader.heartbeat.worker.kind, "other");
    order_task(fixture, 0);
    run_for(fixture, 250);
    assert_int_equal(report_idle(fixture)->orders.starts_count, 1);
    talloc_free(fixture);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(description_before_the_first_order_costs_no_order),
        cmocka_unit_test(late_report_after_a_restart_is_not_complete),
        cmocka_unit_test(list_is_complete_once_inherited_leases_expired),
        cmocka_unit_test(inherited_lease_is_waited_for),
        cmocka_unit_test(late_report_of_an_earlier_boot_changes_nothing),
        cmocka_unit_test(late_report_of_an_earlier_boot_after_a_restart),
        cmocka_unit_test(late_report_of_a_proven_boot_ends_nothing),
        cmocka_unit_test(running_boot_replaces_one_that_came_late),
        cmocka_unit_test(departing_worker_keeps_its_attempts),
        cmocka_unit_test(idle_departing_worker_has_left),
        cmocka_unit_test(order_for_an_earlier_description_is_asked_for_again),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
