/* Orders: how they reach the worker, are given again, withdrawn, and how long answers are delayed. */
#include "agent_fixture.h"

static void order_reaches_a_question_that_waits(void **state)
{
    (void)state;
    Case *c = case_heard(3000, 3000);
    run(c, 700); /* the heartbeat that reports the worker as live has been answered */
    Say *it = say(c, "b1");
    say_begin(it);
    run(c, 100);
    assert_false(it->over);
    const Order orders[] = {one("j", 3, 1, "from here")};
    order(c, orders, 1);
    assert_true(it->over);
    assert_int_equal(it->status, STATUS_OK);
    assert_int_equal(it->orders.starts_count, 1);
    assert_string_equal(it->orders.starts[0].job, "j");
    assert_int_equal(it->orders.starts[0].task, 3);
    assert_string_equal(it->orders.starts[0].payload, "\"spec\"");
    assert_string_equal(it->orders.starts[0].saved, "from here");
    assert_int_equal(it->orders.fence, 5);
    assert_in_range(it->took_ms, 100, 130);
    talloc_free(c);
}

static void answer_that_was_lost_is_given_again(void **state)
{
    (void)state;
    Case *c = case_given(3000, 3000);
    assert_int_equal(say_nothing(c)->orders.starts_count, 1);
    run(c, ORDER_LIFETIME_MS);
    Say *it = say_nothing(c);
    assert_int_equal(it->orders.starts_count, 0);
    run(c, 20);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_REFUSED), 1);
    talloc_free(c);
}

static void what_is_not_wanted_is_stopped(void **state)
{
    (void)state;
    Case *c = case_given(3000, 3000);
    say_runs(c, "");
    order(c, NULL, 0);
    Say *it = say_runs(c, "");
    assert_int_equal(it->orders.stops_count, 1);
    say_ended(c, ATTEMPT_STOPPED, "some");
    run(c, 20);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_string_equal(c->leader.updates[0].saved, "some");
    /* the worker reports as running what is over for the leader: it must stop it */
    it = say_runs(c, "");
    assert_int_equal(it->orders.stops_count, 1);
    talloc_free(c);
}

/* A restarted agent is ordered again what the process before it had given. */
static void earlier_agents_attempt_is_not_taken_back(void **state)
{
    (void)state;
    Case *c = case_given(5000, 5000);
    sim_kill(c->world, c->agent_machine);
    sim_start(c->world, c->agent_machine, agent_begin, c);
    run(c, 2500); /* the order has expired, the worker has not reported yet */
    assert_int_equal(c->leader.updates_count, 0);
    Say *it = say_runs(c, "");
    assert_int_equal(it->orders.starts_count, 0);
    assert_int_equal(it->orders.stops_count, 0);
    run(c, 50);
    assert_int_equal(c->leader.updates_count, 0);
    talloc_free(c);
}

static void late_and_repeated_reports(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    Say *it = say(c, "b1");
    it->report.seq = 4;
    say_all(it);
    order_task(c, 0);
    it = say(c, "b1");
    it->report.seq = 5;
    say_all(it);
    assert_int_equal(it->orders.starts_count, 1);
    it = say(c, "b1");
    it->report.seq = 6;
    with_running(it, "");
    say_all(it);
    /* a report from before it ran arrives only now: the attempt is not lost by that */
    it = say(c, "b1");
    it->report.seq = 4;
    say_all(it);
    assert_int_equal(it->status, STATUS_CLOSED);
    run(c, 50);
    assert_int_equal(c->leader.updates_count, 0);
    talloc_free(c);
}

static void ends_that_wait_are_not_held_back_long(void **state)
{
    (void)state;
    Case *c = case_given(3000, 3000);
    Say *it = say(c, "b1");
    with_running(it, "");
    it->report.ends_wait = true;
    say_all(it);
    assert_in_range(it->took_ms, WORKER_BUSY_MS - 1, WORKER_BUSY_MS + 11);
    assert_int_equal(it->orders.again_ms, WORKER_AGAIN_MS);
    /* the next order goes in the same answer as the acknowledgement of the end */
    it = say(c, "b1");
    with_ended(it, ATTEMPT_DONE, "");
    it->report.ends_wait = true;
    say_begin(it);
    run(c, 20);
    assert_false(it->over);
    order_task(c, 1);
    assert_true(it->over);
    assert_int_equal(it->orders.known_count, 1);
    assert_int_equal(it->orders.starts_count, 1);
    talloc_free(c);
}

static void idle_agent_says_little(void **state)
{
    (void)state;
    Case *c = case_heard(3000, 3000);
    run(c, 1000);
    const size_t heartbeats = c->leader.heartbeats, end_reports = c->leader.end_reports;
    for (int i = 0; i < 25; i++) /* ten seconds of an idle worker's reports */
        say_nothing(c);
    run(c, 1);
    const size_t more = c->leader.heartbeats - heartbeats;
    assert_in_range(more, 18, 24);
    assert_int_equal(c->leader.end_reports, end_reports);
    talloc_free(c);
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
