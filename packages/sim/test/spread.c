/* The limit of a step's tasks on one worker (apart). */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "label_fixture.h"

/* Guards against more tasks of a step on a worker than it allows (second review, without a script): an attempt that was
 * given up, since the job allows copies, and that still runs there did not count. */
static void given_up_attempt_counts(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    add_labelled_step(fixture, (StepSpec){.count = 2, .apart = 1, .resources = {1000, 512, 0}});
    Job *const *jobs;
    assert_int_equal(table_jobs(fixture->table, &jobs), 1);
    Orphans *orphans = fixture->scheduler->orphans;
    orphans_add(orphans, worker_name(mem, 0), jobs[0], &jobs[0]->tasks[0], 1, INT64_MAX);
    assert_int_equal(placed_after(fixture, 10), 0);
    orphans_reset(orphans);
    assert_int_equal(placed_after(fixture, 10), 1);
    talloc_free(mem);
}

/* An attempt of another step, or of another job, does not count. */
static void attempt_of_another_job_does_not_count(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    add_labelled_step(fixture, (StepSpec){.count = 1, .apart = 1, .resources = {1000, 512, 0}});
    assert_int_equal(settle(fixture), 1);
    add_labelled_step(fixture, (StepSpec){.count = 1, .apart = 1, .resources = {1000, 512, 0}});
    Job *const *jobs;
    assert_int_equal(table_jobs(fixture->table, &jobs), 2);
    orphans_add(fixture->scheduler->orphans, worker_name(mem, 0), jobs[0], &jobs[0]->tasks[0], 1, INT64_MAX);
    assert_int_equal(placed_after(fixture, 10), 1);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(given_up_attempt_counts),
        cmocka_unit_test(attempt_of_another_job_does_not_count),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
