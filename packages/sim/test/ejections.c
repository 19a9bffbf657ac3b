/* Ejections: what they keep off a worker, and what they do not. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "label_fixture.h"
#include "scheduler/worker_score.h"

/* Lets attempts of as many jobs fail on the worker as it takes for it to be ejected. */
static void worker_fails(SchedulerFixture *fixture, const char *worker)
{
    for (int i = 0; i < FAILURE_JOBS * 3 && !score_ejected(fixture->scheduler, worker); i++) {
        job_of_step(fixture, (StepSpec){.count = 1, .resources = {1000, 512, 0}});
        Job *const *jobs;
        const size_t count = table_jobs(fixture->table, &jobs);
        AttemptUpdate update = {.job = jobs[count - 1]->spec.id,
                                .task = task_number(&jobs[count - 1]->tasks[0]),
                                .attempt = 1,
                                .worker = worker,
                                .word = ATTEMPT_FAILED,
                                .text = "",
                                .saved = ""};
        const AttemptList list = {&update, 1};
        score_record_ends(fixture->scheduler, &list);
        const JobCancel cancel = {.id = jobs[count - 1]->spec.id};
        deliver_change(fixture, CHANGE_JOB_CANCEL, &JobCancel_shape, &cancel);
    }
    assert_true(score_ejected(fixture->scheduler, worker));
}

/* Guards against sound work that waits for an ejection to end (review/8): a few jobs that failed by their own fault got
 * the only worker ejected that other jobs can run on. */
static void work_without_another_worker_waits_a_bounded_time(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    worker_fails(fixture, worker_name(mem, 0));
    add_labelled_step(fixture, (StepSpec){.count = 2, .resources = {1000, 512, 0}});
    assert_int_equal(placed_after(fixture, EJECTED_WAIT_MS / 2), 0);
    assert_int_equal(placed_after(fixture, EJECTED_WAIT_MS / 2 + 10), 2);
    talloc_free(mem);
}

/* Work that other workers can run is kept off, also once it has waited: they are full. */
static void work_with_another_worker_is_kept_off(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    worker_fails(fixture, worker_name(mem, 0));
    job_of_step(fixture, (StepSpec){.count = LABEL_WORKERS, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    assert_int_equal(settle(fixture), LABEL_WORKERS - 1);
    assert_int_equal(placed_after(fixture, 2 * EJECTED_WAIT_MS), 0);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(work_without_another_worker_waits_a_bounded_time),
        cmocka_unit_test(work_with_another_worker_is_kept_off),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
