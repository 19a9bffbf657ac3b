/* Orders: how they reach the worker, are given again, withdrawn, and how long answers are delayed. */
#include "agent_fixture.h"

static void order_reaches_a_question_that_waits(void **state)
{
    (void)state;
    Case *fixture = case_heard(3000, 3000);
    run(fixture, 700); /* the heartbeat that reports the worker as live has been answered */
    Say *said = say(fixture, "b1");
    say_begin(said);
    run(fixture, 100);
    assert_false(said->over);
    const Order orders[] = {one("j", 3, 1, "from here")};
    order(fixture, orders, 1);
    assert_true(said->over);
    assert_int_equal(said->status, STATUS_OK);
    assert_int_equal(said->orders.starts_count, 1);
    assert_string_equal(said->orders.starts[0].job, "j");
    assert_int_equal(said->orders.starts[0].task, 3);
    assert_string_equal(said->orders.starts[0].payload, "\"spec\"");
    assert_string_equal(said->orders.starts[0].saved, "from here");
    assert_int_equal(said->orders.fence, 5);
    assert_in_range(said->took_ms, 100, 130);
    talloc_free(fixture);
}

static void answer_that_was_lost_is_given_again(void **state)
{
    (void)state;
    Case *fixture = case_given(3000, 3000);
    assert_int_equal(say_nothing(fixture)->orders.starts_count, 1);
    run(fixture, ORDER_LIFETIME_MS);
    Say *said = say_nothing(fixture);
    assert_int_equal(said->orders.starts_count, 0);
    run(fixture, 20);
    assert_int_equal(reported(&fixture->leader, "j", 0, 1, ATTEMPT_REFUSED), 1);
    talloc_free(fixture);
}

static void what_is_not_wanted_is_stopped(void **state)
{
    (void)state;
    Case *fixture = case_given(3000, 3000);
    say_runs(fixture, "");
    order(fixture, NULL, 0);
    Say *said = say_runs(fixture, "");
    assert_int_equal(said->orders.stops_count, 1);
    say_ended(fixture, ATTEMPT_STOPPED, "some");
    run(fixture, 20);
    assert_int_equal(reported(&fixture->leader, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_string_equal(fixture->leader.updates[0].saved, "some");
    /* the worker reports as running what is over for the leader: it must stop it */
    said = say_runs(fixture, "");
    assert_int_equal(said->orders.stops_count, 1);
    talloc_free(fixture);
}

/* A restarted agent is ordered again what the process before it had given. */
static void earlier_agents_attempt_is_not_taken_back(void **state)
{
    (void)state;
    Case *fixture = case_given(5000, 5000);
    sim_kill(fixture->world, fixture->agent_machine);
    sim_start(fixture->world, fixture->agent_machine, agent_begin, fixture);
    run(fixture, 2500); /* the order has expired, the worker has not reported yet */
    assert_int_equal(fixture->leader.updates_count, 0);
    Say *said = say_runs(fixture, "");
    assert_int_equal(said->orders.starts_count, 0);
    assert_int_equal(said->orders.stops_count, 0);
    run(fixture, 50);
    assert_int_equal(fixture->leader.updates_count, 0);
    talloc_free(fixture);
}

static void late_and_repeated_reports(void **state)
{
    (void)state;
    Case *fixture = case_new(3000, 3000);
    Say *said = say(fixture, "b1");
    said->report.seq = 4;
    say_all(said);
    order_task(fixture, 0);
    said = say(fixture, "b1");
    said->report.seq = 5;
    say_all(said);
    assert_int_equal(said->orders.starts_count, 1);
    said = say(fixture, "b1");
    said->report.seq = 6;
    with_running(said, "");
    say_all(said);
    /* a report from before it ran arrives only now: the attempt is not lost by that */
    said = say(fixture, "b1");
    said->report.seq = 4;
    say_all(said);
    assert_int_equal(said->status, STATUS_CLOSED);
    run(fixture, 50);
    assert_int_equal(fixture->leader.updates_count, 0);
    talloc_free(fixture);
}

static void ends_that_wait_are_not_held_back_long(void **state)
{
    (void)state;
    Case *fixture = case_given(3000, 3000);
    Say *said = say(fixture, "b1");
    with_running(said, "");
    said->report.ends_wait = true;
    say_all(said);
    assert_in_range(said->took_ms, WORKER_BUSY_MS - 1, WORKER_BUSY_MS + 11);
    assert_int_equal(said->orders.again_ms, WORKER_AGAIN_MS);
    /* the next order goes in the same answer as the acknowledgement of the end */
    said = say(fixture, "b1");
    with_ended(said, ATTEMPT_DONE, "");
    said->report.ends_wait = true;
    say_begin(said);
    run(fixture, 20);
    assert_false(said->over);
    order_task(fixture, 1);
    assert_true(said->over);
    assert_int_equal(said->orders.known_count, 1);
    assert_int_equal(said->orders.starts_count, 1);
    talloc_free(fixture);
}

static void idle_agent_says_little(void **state)
{
    (void)state;
    Case *fixture = case_heard(3000, 3000);
    run(fixture, 1000);
    const size_t heartbeats = fixture->leader.heartbeats, end_reports = fixture->leader.end_reports;
    for (int i = 0; i < 25; i++) /* ten seconds of an idle worker's reports */
        say_nothing(fixture);
    run(fixture, 1);
    const size_t more = fixture->leader.heartbeats - heartbeats;
    assert_in_range(more, 18, 24);
    assert_int_equal(fixture->leader.end_reports, end_reports);
    talloc_free(fixture);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(order_reaches_a_question_that_waits),
        cmocka_unit_test(answer_that_was_lost_is_given_again),
        cmocka_unit_test(what_is_not_wanted_is_stopped),
        cmocka_unit_test(earlier_agents_attempt_is_not_taken_back),
        cmocka_unit_test(late_and_repeated_reports),
        cmocka_unit_test(ends_that_wait_are_not_held_back_long),
        cmocka_unit_test(idle_agent_says_little),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
