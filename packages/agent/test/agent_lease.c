/* The worker's lease: what is passed on, and what ends when a lease, a boot or the worker does. */
#include "agent_fixture.h"

static void lease_is_passed_on_less_two_percent(void **state)
{
    (void)state;
    Case *c = case_new(6000, 2000);
    Say *it = say(c, "b1");
    it->report.wait_ms = 0;
    say_all(it);
    assert_int_equal(it->orders.lease_ms, 1960);
    assert_true(lease_claim_ms(it->orders.lease_ms) >= it->orders.lease_ms * 102 / 100 + LEASE_SLACK_MS);
    /* no more than what is left is passed on: it ends before the agent's own lease */
    sim_cut(c->world, c->agent_machine, c->leader_machine, true);
    run(c, 5000);
    it = say(c, "b1");
    it->report.wait_ms = 0;
    say_all(it);
    assert_in_range(it->orders.lease_ms, 1, 1500);
    talloc_free(c);
}

static void lapsed_agent_grants_nothing(void **state)
{
    (void)state;
    Case *c = case_given(3000, 3000);
    assert_true(say_runs(c, "")->orders.lease_ms > 0);
    c->leader.deaf = true;
    sim_cut(c->world, c->agent_machine, c->leader_machine, true);
    run(c, 3100);
    Say *it = say_runs(c, "");
    assert_int_equal(it->orders.lease_ms, 0);
    assert_int_equal(it->orders.starts_count, 0);
    assert_int_equal(it->orders.stops_count, 1);
    talloc_free(c);
}

static void new_boot_ends_claims(void **state)
{
    (void)state;
    Case *c = case_heard(5000, 5000);
    const Order orders[] = {one("j", 0, 1, ""), one("j", 1, 1, "")};
    order(c, orders, 2);
    assert_int_equal(say_nothing(c)->orders.starts_count, 2);
    const AttemptUpdate runs[] = {update_of("j", 0, 1, ATTEMPT_RUNNING, "half"),
                                  update_of("j", 1, 1, ATTEMPT_RUNNING, "")};
    saying(c, "b1", runs, 2, NULL, 0);
    /* the next process: the old one's lease would run on for seconds */
    Say *it = say(c, "b2");
    say_all(it);
    assert_int_equal(it->status, STATUS_OK);
    run(c, 20);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_int_equal(reported(&c->leader, "j", 1, 1, ATTEMPT_LOST), 1);
    assert_string_equal(c->leader.updates[0].saved, "half");
    /* a late report of the old process counts for nothing */
    it = saying(c, "b1", runs, 2, NULL, 0);
    assert_int_equal(it->status, STATUS_DUPLICATE_WORKER);
    assert_int_equal(it->orders.lease_ms, 0);
    talloc_free(c);
}

static void unvouched_boot_waits_for_the_lease(void **state)
{
    (void)state;
    Case *c = case_heard(3000, 3000);
    Say *it = say(c, "b2");
    it->report.boot_ends = false;
    say_all(it);
    assert_int_equal(it->status, STATUS_DUPLICATE_WORKER);
    run(c, 3200);
    it = say(c, "b2");
    it->report.boot_ends = false;
    say_all(it);
    assert_int_equal(it->status, STATUS_OK);
    talloc_free(c);
}

static void leaving_worker_is_given_nothing(void **state)
{
    (void)state;
    Case *c = case_ordered(3000, 3000); /* not given yet */
    Say *it = say(c, "b1");
    it->report.leaving = true;
    it->report.leave_ms = 7000;
    it->report.wait_ms = 0;
    say_all(it);
    assert_int_equal(it->orders.starts_count, 0);
    run(c, 20);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_true(c->leader.heartbeat.leaving);
    assert_in_range(c->leader.heartbeat.leave_ms, 6900, 7000);
    /* nor is it given what is ordered later */
    order_task(c, 1);
    it = say(c, "b1");
    it->report.leaving = true;
    say_all(it);
    assert_int_equal(it->orders.starts_count, 0);
    assert_int_equal(reported(&c->leader, "j", 1, 1, ATTEMPT_STOPPED), 1);
    talloc_free(c);
}

static void left_worker_is_over(void **state)
{
    (void)state;
    Case *c = case_given(5000, 5000);
    say_runs(c, "");
    Say *it = say(c, "b1");
    it->report.leaving = it->report.left = true;
    say_all(it);
    assert_int_equal(it->orders.lease_ms, 0);
    run(c, 100);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_true(c->leader.heartbeat.leaving);
    assert_false(c->leader.heartbeat.worker_live);
    assert_true(c->leader.heartbeat.settled);
    assert_int_equal(c->leader.heartbeat.attempts_count, 0);
    assert_int_equal(say_runs(c, "")->status, STATUS_DUPLICATE_WORKER);
    talloc_free(c);
}

static void silent_worker_has_lost_its_attempts_when_its_lease_is_over(void **state)
{
    (void)state;
    Case *c = case_given(8000, 2000);
    Say *it = say_runs(c, "");
    const int64_t until_ms = sim_now_ms(c->world) + it->orders.lease_ms * 102 / 100;
    sim_run_until(c->world, until_ms);
    assert_int_equal(c->leader.updates_count, 0);
    run(c, 200);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_false(c->leader.heartbeat.worker_live);
    /* its own report, when it comes after all, takes precedence */
    say_ended(c, ATTEMPT_FAILED, "");
    run(c, 20);
    assert_int_equal(reported(&c->leader, "j", 0, 1, ATTEMPT_FAILED), 1);
    talloc_free(c);
}

static void fence_never_falls(void **state)
{
    (void)state;
    Case *c = case_new(4000, 4000);
    Say *it = say_nothing(c);
    assert_int_equal(it->orders.fence, 5);
    c->leader.term = TERM(9);
    run(c, 1200);
    it = say_nothing(c);
    assert_int_equal(it->orders.fence, 9);
    c->leader.term = TERM(7); /* an older leader that still answers */
    run(c, 1200);
    order_task(c, 0);
    it = say_nothing(c);
    assert_int_equal(it->orders.fence, 9);
    assert_int_equal(it->orders.starts_count, 0);
    talloc_free(c);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lease_is_passed_on_less_two_percent),
        cmocka_unit_test(lapsed_agent_grants_nothing),
        cmocka_unit_test(new_boot_ends_claims),
        cmocka_unit_test(unvouched_boot_waits_for_the_lease),
        cmocka_unit_test(leaving_worker_is_given_nothing),
        cmocka_unit_test(left_worker_is_over),
        cmocka_unit_test(silent_worker_has_lost_its_attempts_when_its_lease_is_over),
        cmocka_unit_test(fence_never_falls),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
