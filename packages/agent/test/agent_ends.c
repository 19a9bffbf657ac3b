/* Tests of checkpoints and ends of attempts: what the agent reports to the leader, and reports again to the next
 * leader. */
#include "agent_fixture.h"

static void checkpoint_is_sent_once_and_again_to_a_new_leader(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(3000, 3000);
    FakeLeader *leader = &fixture->leader;
    report_running(fixture, "");
    run_for(fixture, 700);
    assert_int_equal(leader->saved_count, 1); /* That it runs is reported, and only once */
    assert_string_equal(newest_checkpoint(leader, "j", 0)->text, "");
    assert_true(newest_checkpoint(leader, "j", 0)->ran_ms > 0);
    report_running(fixture, "half");
    run_for(fixture, 1000);
    report_running(fixture, "half");
    run_for(fixture, 800); /* Short enough that the worker does not count as silent */
    /* Reported once, and perhaps once more for its progress, but not with each heartbeat. */
    assert_in_range(leader->saved_count, 2, 3);
    assert_true(leader->heartbeats > 8);
    assert_string_equal(newest_checkpoint(leader, "j", 0)->text, "half");
    const size_t before = leader->saved_count;
    leader->term = TERM(6);
    signal_raise(leader->loop, &leader->changed);
    run_for(fixture, 300); /* The worker has reported nothing new */
    assert_int_equal(leader->saved_count, before + 1);
    assert_string_equal(newest_checkpoint(leader, "j", 0)->text, "half");
    /* The checkpoint is also reported with the end, unless the worker gives a newer one. */
    report_ended(fixture, ATTEMPT_LAPSED, "");
    run_for(fixture, 20);
    assert_int_equal(reported_count(leader, "j", 0, 1, ATTEMPT_LAPSED), 1);
    assert_string_equal(leader->updates[0].saved, "half");
    talloc_free(fixture);
}

/* Guards against ends that wait for the timeout of a lost leader: the leader loses power with a report of an end in
 * flight to it. */
static void end_is_reported_to_the_next_leader_at_once(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_reported(8000, 8000);
    fixture->leader.commits = false;
    report_ended(fixture, ATTEMPT_DONE, "");
    assert_int_equal(reported_count(&fixture->leader, "j", 0, 1, ATTEMPT_DONE), 1);
    sim_power_off(fixture->world, fixture->leader_machine);
    run_for(fixture, 500);
    fixture->other.term = TERM(6);
    members_set_leader(fixture->other.members, fixture->other.term, "other");
    run_for(fixture, 1000); /* One exchange of hellos; the timeout of the report in flight is five seconds */
    assert_int_equal(reported_count(&fixture->other, "j", 0, 1, ATTEMPT_DONE), 1);
    assert_int_equal(report_ended(fixture, ATTEMPT_DONE, "")->orders.committed_ends_count, 1);
    talloc_free(fixture);
}

static void end_is_known_only_when_committed(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_given(3000, 3000);
    FakeLeader *leader = &fixture->leader;
    leader->commits = false;
    ReportCall *call = report_ended(fixture, ATTEMPT_DONE, "");
    assert_int_equal(call->orders.committed_ends_count, 0);
    /* Reported again by the worker: the agent does not report it to the leader again. */
    call = report_ended(fixture, ATTEMPT_DONE, "");
    assert_int_equal(call->orders.committed_ends_count, 0);
    assert_int_equal(reported_count(leader, "j", 0, 1, ATTEMPT_DONE), 1);
    leader->commits = true;
    signal_raise(leader->loop, &leader->changed);
    run_for(fixture, 20);
    call = report_ended(fixture, ATTEMPT_DONE, "");
    assert_int_equal(call->orders.committed_ends_count, 1);
    call = report_ended(fixture, ATTEMPT_DONE, ""); /* As if the answer had been lost: acknowledged again */
    assert_int_equal(call->orders.committed_ends_count, 1);
    assert_int_equal(reported_count(leader, "j", 0, 1, ATTEMPT_DONE), 1);
    talloc_free(fixture);
}

static void five_hundred_ends_at_once(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_new(3000, 3000);
    AttemptUpdate *ended = talloc_array(fixture, AttemptUpdate, 500);
    for (uint64_t i = 0; i < 500; i++)
        ended[i] = update_of("j", i, 1, i % 5 == 0 ? ATTEMPT_FAILED : ATTEMPT_DONE, "");
    ReportCall *call = report_attempts(fixture, "b1", NULL, 0, ended, 500);
    run_for(fixture, 50);
    call = report_attempts(fixture, "b1", NULL, 0, ended, 500);
    assert_int_equal(call->orders.committed_ends_count, 500);
    assert_in_range(fixture->leader.end_reports, 1, 2);
    assert_int_equal(fixture->leader.updates_count, 500);
    talloc_free(fixture);
}

/* Guards against attempts that run twice after more than 500 ends at once: a report lists the first 500 of them, and
 * the attempts of the others counted as lost. */
static void ends_that_are_not_listed_yet_are_not_lost(void **state)
{
    (void)state;
    enum { LISTED = 500, TASKS = 600 };
    AgentFixture *fixture = fixture_reported(3000, 3000);
    Order *orders = talloc_array(fixture, Order, TASKS);
    AttemptUpdate *running = talloc_array(fixture, AttemptUpdate, TASKS);
    AttemptUpdate *ended = talloc_array(fixture, AttemptUpdate, TASKS);
    for (uint64_t i = 0; i < TASKS; i++) {
        orders[i] = order_of("j", i, 1, "");
        running[i] = update_of("j", i, 1, ATTEMPT_RUNNING, "");
        ended[i] = update_of("j", i, 1, ATTEMPT_DONE, "");
    }
    orders_set(fixture, orders, TASKS);
    assert_int_equal(report_idle(fixture)->orders.starts_count, TASKS);
    report_attempts(fixture, "b1", running, TASKS, NULL, 0);
    for (int i = 0; i < 3; i++) {
        ReportCall *call = report_new(fixture, "b1");
        call->report.ended = ended;
        call->report.ended_count = LISTED;
        call->report.ends_cut = true;
        report_send_and_wait(call);
        run_for(fixture, 50);
    }
    assert_int_equal(fixture->leader.updates_count, LISTED);
    report_attempts(fixture, "b1", NULL, 0, ended + LISTED, TASKS - LISTED);
    run_for(fixture, 50);
    assert_int_equal(fixture->leader.updates_count, TASKS);
    for (size_t i = 0; i < TASKS; i++)
        assert_int_equal(fixture->leader.updates[i].word, ATTEMPT_DONE);
    talloc_free(fixture);
}

/* The same after a restart of the agent: a list that is cut does not tell the leader that the others are gone. */
static void cut_list_is_not_complete(void **state)
{
    (void)state;
    AgentFixture *fixture = fixture_new(3000, 3000);
    for (int i = 0; i < 3; i++) {
        ReportCall *call = add_ended(report_new(fixture, "b1"), ATTEMPT_DONE, "");
        call->report.ends_cut = true;
        report_send_and_wait(call);
        run_for(fixture, 50);
    }
    assert_false(fixture->leader.heartbeat.settled);
    report_idle(fixture);
    report_idle(fixture);
    run_for(fixture, 600);
    assert_true(fixture->leader.heartbeat.settled);
    talloc_free(fixture);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(checkpoint_is_sent_once_and_again_to_a_new_leader),
        cmocka_unit_test(end_is_reported_to_the_next_leader_at_once),
        cmocka_unit_test(end_is_known_only_when_committed),
        cmocka_unit_test(five_hundred_ends_at_once),
        cmocka_unit_test(ends_that_are_not_listed_yet_are_not_lost),
        cmocka_unit_test(cut_list_is_not_complete),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
