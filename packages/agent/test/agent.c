/* Orders: how they reach the worker, are given again, withdrawn, and how long answers are delayed. */
#include "agent_fixture.h"

static void order_reaches_a_question_that_waits(void **state)
{
    (void)state;
    Case *fixture = case_heard(3000, 3000);
    run(fixture, 700); /* the heartbeat that reports the worker as live has been answered */
    Say *sent = say(fixture, "b1");
    say_begin(sent);
    run(fixture, 100);
    assert_false(sent->over);
    const Order orders[] = {one("j", 3, 1, "from here")};
    order(fixture, orders, 1);
    assert_true(sent->over);
    assert_int_equal(sent->status, STATUS_OK);
    assert_int_equal(sent->orders.starts_count, 1);
    assert_string_equal(sent->orders.starts[0].job, "j");
    assert_int_equal(sent->orders.starts[0].task, 3);
    assert_string_equal(sent->orders.starts[0].payload, "\"spec\"");
    assert_string_equal(sent->orders.starts[0].saved, "from here");
    assert_int_equal(sent->orders.fence, 5);
    assert_in_range(sent->took_ms, 100, 130);
    talloc_free(fixture);
}

static void answer_that_was_lost_is_given_again(void **state)
{
    (void)state;
    Case *fixture = case_given(3000, 3000);
    assert_int_equal(say_nothing(fixture)->orders.starts_count, 1);
    run(fixture, ORDER_LIFETIME_MS);
    Say *sent = say_nothing(fixture);
    assert_int_equal(sent->orders.starts_count, 0);
    run(fixture, 20);
    assert_int_equal(reported(&fixture->boss, "j", 0, 1, ATTEMPT_REFUSED), 1);
    talloc_free(fixture);
}

static void what_is_not_wanted_is_stopped(void **state)
{
    (void)state;
    Case *fixture = case_given(3000, 3000);
    say_runs(fixture, "");
    order(fixture, NULL, 0);
    Say *sent = say_runs(fixture, "");
    assert_int_equal(sent->orders.stops_count, 1);
    say_ended(fixture, ATTEMPT_STOPPED, "some");
    run(fixture, 20);
    assert_int_equal(reported(&fixture->boss, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_string_equal(fixture->boss.updates[0].saved, "some");
    /* the worker reports as running what is over for the leader: it must stop it */
    sent = say_runs(fixture, "");
    assert_int_equal(sent->orders.stops_count, 1);
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
    assert_int_equal(fixture->boss.updates_count, 0);
    Say *sent = say_runs(fixture, "");
    assert_int_equal(sent->orders.starts_count, 0);
    assert_int_equal(sent->orders.stops_count, 0);
    run(fixture, 50);
    assert_int_equal(fixture->boss.updates_count, 0);
    talloc_free(fixture);
}

static void late_and_repeated_reports(void **state)
{
    (void)state;
    Case *fixture = case_new(3000, 3000);
    Say *sent = say(fixture, "b1");
    sent->report.seq = 4;
    say_all(sent);
    order_task(fixture, 0);
    sent = say(fixture, "b1");
    sent->report.seq = 5;
    say_all(sent);
    assert_int_equal(sent->orders.starts_count, 1);
    sent = say(fixture, "b1");
    sent->report.seq = 6;
    with_running(sent, "");
    say_all(sent);
    /* a report from before it ran arrives only now: the attempt is not lost by that */
    sent = say(fixture, "b1");
    sent->report.seq = 4;
    say_all(sent);
    assert_int_equal(sent->status, STATUS_CLOSED);
    run(fixture, 50);
    assert_int_equal(fixture->boss.updates_count, 0);
    talloc_free(fixture);
}

static void ends_that_wait_are_not_held_back_long(void **state)
{
    (void)state;
    Case *fixture = case_given(3000, 3000);
    Say *sent = say(fixture, "b1");
    with_running(sent, "");
    sent->report.ends_wait = true;
    say_all(sent);
    assert_in_range(sent->took_ms, WORKER_BUSY_MS - 1, WORKER_BUSY_MS + 11);
    assert_int_equal(sent->orders.again_ms, WORKER_AGAIN_MS);
    /* the next order goes in the same answer as the acknowledgement of the end */
    sent = say(fixture, "b1");
    with_ended(sent, ATTEMPT_DONE, "");
    sent->report.ends_wait = true;
    say_begin(sent);
    run(fixture, 20);
    assert_false(sent->over);
    order_task(fixture, 1);
    assert_true(sent->over);
    assert_int_equal(sent->orders.known_count, 1);
    assert_int_equal(sent->orders.starts_count, 1);
    talloc_free(fixture);
}

static void idle_agent_says_little(void **state)
{
    (void)state;
    Case *fixture = case_heard(3000, 3000);
    run(fixture, 1000);
    const size_t heartbeats = fixture->boss.heartbeats, tellings = fixture->boss.tellings;
    for (int i = 0; i < 25; i++) /* ten seconds of an idle worker's reports */
        say_nothing(fixture);
    run(fixture, 1);
    const size_t more = fixture->boss.heartbeats - heartbeats;
    assert_in_range(more, 18, 24);
    assert_int_equal(fixture->boss.tellings, tellings);
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
