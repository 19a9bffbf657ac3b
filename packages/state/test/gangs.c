/* Tests of gangs: all members are placed together under one attempt number and end together, and a failed attempt of a
 * gang counts once. */
#include "table_fixture.h"

static const uint64_t MEMBERS[] = {TASK_NUMBER(0, 1, 0), TASK_NUMBER(0, 1, 1), TASK_NUMBER(0, 1, 2)};

/* Adds a job with a step of one task and, independent of it, a gang of three. */
static const Job *gang_add(TableFixture *fixture, Protection protection, bool lasting)
{
    StepSpec steps[] = {{.name = "a", .count = 1}, {.name = "g", .count = 3, .gang = true, .saves = true}};
    JobSpec spec = spec_of("j", steps, 2);
    spec.protection = protection;
    spec.lasting = lasting;
    return job_add(fixture, &spec, (JobTerms){.attempt_limit = 2});
}

static void assert_gang_phase(const Job *job, TaskPhase phase)
{
    for (size_t i = 1; i < 4; i++)
        assert_int_equal(job->tasks[i].phase, phase);
}

static void placed_as_a_whole_or_not_at_all(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    assert_int_equal(place(&fixture, "j", MEMBERS, 2, 1, "w", ""), 0);
    assert_int_equal(place(&fixture, "j", MEMBERS + 1, 2, 1, "w", ""), 0);
    const uint64_t twice[] = {MEMBERS[0], MEMBERS[1], MEMBERS[1]};
    assert_int_equal(place(&fixture, "j", twice, 3, 1, "w", ""), 0);
    const uint64_t mixed[] = {0, MEMBERS[0], MEMBERS[1]};
    assert_int_equal(place(&fixture, "j", mixed, 3, 1, "w", ""), 1);
    assert_gang_phase(job, TASK_WAITING);
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 1, "w", ""), 3);
    assert_gang_phase(job, TASK_PLACED);
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 2, "w", ""), 0);
    talloc_free(fixture.table);
}

/* While one member is still being stopped, none is placed. The attempt number of the gang must be above the number of
 * each member. */
static void placed_under_one_number(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    say(&fixture, "j", MEMBERS[0], 1, "w", ATTEMPT_REFUSED, "");
    assert_int_equal(job->tasks[1].phase, TASK_WAITING);
    assert_int_equal(job->tasks[2].phase, TASK_STOPPING);
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 2, "w", ""), 0);
    say(&fixture, "j", MEMBERS[1], 1, "w", ATTEMPT_BROKEN, "");
    say(&fixture, "j", MEMBERS[2], 1, "w", ATTEMPT_STOPPED, "");
    assert_gang_phase(job, TASK_WAITING);
    assert_int_equal(job->tasks[1].misses + job->tasks[2].misses + job->tasks[3].misses, 0);
    say(&fixture, "j", MEMBERS[2], 4, "w", ATTEMPT_FAILED, ""); /* an attempt whose placement the disks lost */
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 4, "w", ""), 0);
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 5, "w", ""), 3);
    talloc_free(fixture.table);
}

static void one_done_makes_all_done(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    for (size_t i = 0; i < 3; i++)
        say(&fixture, "j", MEMBERS[i], 1, "w", ATTEMPT_RUNNING, "");
    say(&fixture, "j", MEMBERS[1], 1, "w", ATTEMPT_DONE, "");
    assert_gang_phase(job, TASK_DONE);
    assert_int_equal(job->phase, JOB_ACTIVE);
    say(&fixture, "j", MEMBERS[0], 1, "w", ATTEMPT_FAILED, ""); /* later reports of the other members are ignored */
    say(&fixture, "j", MEMBERS[2], 1, "w", ATTEMPT_DONE, "");
    assert_gang_phase(job, TASK_DONE);
    const uint64_t first = 0;
    place(&fixture, "j", &first, 1, 1, "w", "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_DONE, "");
    assert_int_equal(job->phase, JOB_DONE);
    talloc_free(fixture.table);
}

/* The gang is done as well when the report is of an older attempt than the running one. */
static void older_attempt_done_makes_all_done(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    lose(&fixture, "w");
    assert_gang_phase(job, TASK_WAITING);
    place(&fixture, "j", MEMBERS, 3, 2, "v", "");
    const uint64_t orders = table_orders_version(fixture.table, "v");
    say(&fixture, "j", MEMBERS[2], 1, "w", ATTEMPT_DONE, "");
    assert_gang_phase(job, TASK_DONE);
    assert_true(table_orders_version(fixture.table, "v") > orders);
    talloc_free(fixture.table);
}

static void fails_once_for_an_attempt(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    for (size_t i = 0; i < 3; i++)
        say(&fixture, "j", MEMBERS[i], 1, "w", ATTEMPT_FAILED, "");
    assert_gang_phase(job, TASK_WAITING);
    for (size_t i = 1; i < 4; i++)
        assert_int_equal(job->tasks[i].misses, 1);
    say(&fixture, "j", MEMBERS[0], 1, "w", ATTEMPT_FAILED, ""); /* reported again */
    assert_int_equal(job->tasks[1].misses, 1);
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 2, "w", ""), 3);
    say(&fixture, "j", MEMBERS[2], 2, "w", ATTEMPT_BROKEN, "");
    say(&fixture, "j", MEMBERS[1], 2, "w", ATTEMPT_FAILED, "");
    say(&fixture, "j", MEMBERS[0], 2, "w", ATTEMPT_ISOLATED, "");
    assert_int_equal(job->phase, JOB_FAILED);
    talloc_free(fixture.table);
}

/* Guards against a failure of an older attempt that is taken for a repetition, and against one that counts for each
 * member: an attempt that was given up fails member by member while the next one runs and fails. */
static void fails_once_for_each_of_two_attempts(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec steps[] = {{.name = "a", .count = 1}, {.name = "g", .count = 3, .gang = true, .copies = true}};
    const JobSpec spec = spec_of("j", steps, 2);
    const Job *job = job_add(&fixture, &spec, (JobTerms){.attempt_limit = 3});
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    lose(&fixture, "w");
    place(&fixture, "j", MEMBERS, 3, 2, "v", "");
    say(&fixture, "j", MEMBERS[1], 2, "v", ATTEMPT_FAILED, "");
    for (size_t i = 0; i < 3; i++) {
        say(&fixture, "j", MEMBERS[i], 1, "w", ATTEMPT_FAILED, "");
        again(&fixture);
        say(&fixture, "j", MEMBERS[i], 2, "v", ATTEMPT_FAILED, "");
        job = table_job(fixture.table, "j");
        for (size_t k = 1; k < 4; k++)
            assert_int_equal(job->tasks[k].misses, 2);
    }
    assert_gang_phase(job, TASK_WAITING);
    assert_int_equal(job->tasks[0].misses, 0);
    talloc_free(fixture.table);
}

/* The loss of several members at the same time counts as one loss of the gang. */
static void lost_once_for_an_attempt(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_BEST_EFFORT, false);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    lose(&fixture, "w");
    assert_gang_phase(job, TASK_WAITING);
    for (size_t i = 1; i < 4; i++)
        assert_int_equal(job->tasks[i].losses, 1);
    place(&fixture, "j", MEMBERS, 3, 2, "w", "");
    say(&fixture, "j", MEMBERS[0], 2, "w", ATTEMPT_LAPSED, "");
    assert_int_equal(job->ending, JOB_FAILED); /* best effort allows one restart */
    talloc_free(fixture.table);
}

static void progress_is_shared_by_all(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    say(&fixture, "j", MEMBERS[1], 1, "w", ATTEMPT_STOPPED, "half");
    for (size_t i = 1; i < 4; i++)
        assert_string_equal(job->tasks[i].saved, "half");
    assert_string_equal(job->tasks[0].saved, "");
    talloc_free(fixture.table);
}

static void lasting_gang_goes_on_together(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, true);
    place(&fixture, "j", MEMBERS, 3, 1, "w", "");
    say(&fixture, "j", MEMBERS[0], 1, "w", ATTEMPT_DONE, "");
    assert_int_equal(job->tasks[1].phase, TASK_WAITING);
    assert_int_equal(job->tasks[2].phase, TASK_STOPPING);
    assert_int_equal(job->tasks[3].phase, TASK_STOPPING);
    say(&fixture, "j", MEMBERS[1], 1, "w", ATTEMPT_DONE, "");
    say(&fixture, "j", MEMBERS[2], 1, "w", ATTEMPT_BROKEN, "");
    assert_gang_phase(job, TASK_WAITING);
    assert_int_equal(place(&fixture, "j", MEMBERS, 3, 2, "w", ""), 3);
    talloc_free(fixture.table);
}

/* A member reported as done while the job is unknown, since the disks lost the job, stays done once the job is
 * submitted again, and so does its gang. */
static void done_before_the_job_is_known_stays_done(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    say(&fixture, "j", MEMBERS[1], 3, "w", ATTEMPT_DONE, "");
    say(&fixture, "other", 0, 1, "w", ATTEMPT_DONE, "");
    again(&fixture);
    const Job *job = gang_add(&fixture, PROTECTION_PROTECTED, false);
    assert_gang_phase(job, TASK_DONE);
    assert_int_equal(job->tasks[0].phase, TASK_WAITING);
    assert_int_equal(table_oldest_droppable_ms(fixture.table), fixture.at_ms);
    const Forget forget = {fixture.at_ms + 1};
    deliver_change(&fixture, CHANGE_FORGET, &Forget_shape, &forget);
    assert_int_equal(table_oldest_droppable_ms(fixture.table), INT64_MAX);
    talloc_free(fixture.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(placed_as_a_whole_or_not_at_all), cmocka_unit_test(placed_under_one_number),
        cmocka_unit_test(one_done_makes_all_done),         cmocka_unit_test(older_attempt_done_makes_all_done),
        cmocka_unit_test(fails_once_for_an_attempt),       cmocka_unit_test(fails_once_for_each_of_two_attempts),
        cmocka_unit_test(lost_once_for_an_attempt),        cmocka_unit_test(progress_is_shared_by_all),
        cmocka_unit_test(lasting_gang_goes_on_together),   cmocka_unit_test(done_before_the_job_is_known_stays_done),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
