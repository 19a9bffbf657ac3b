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

/* Asserts that the waiting work is not placed before EJECTED_WAIT_MS, and that count tasks are placed after it. */
static void assert_placed_after_the_wait(SchedulerFixture *fixture, size_t count)
{
    assert_int_equal(placed_after(fixture, EJECTED_WAIT_MS / 2), 0);
    assert_int_equal(placed_after(fixture, EJECTED_WAIT_MS / 2 + 10), count);
}

/* Issue 58, case 11: a gang whose members may not be together waited for an ejected worker, since one member alone
 * fitted on another worker. */
static void gang_that_needs_the_ejected_worker(void **state)
{
    (void)state;
    for (uint64_t apart = 0; apart < 2; apart++) {
        void *mem = talloc_new(NULL);
        SchedulerFixture *fixture = fixture_with_labels(mem, 2);
        worker_fails(fixture, worker_name(mem, 0));
        /* kept apart, or by their size */
        const uint64_t cpu_milli = apart > 0 ? 1000 : FIXTURE_CPU_MILLI;
        add_labelled_step(fixture,
                          (StepSpec){.count = 2, .gang = true, .apart = apart, .resources = {cpu_milli, 512, 0}});
        assert_placed_after_the_wait(fixture, 2);
        talloc_free(mem);
    }
}

/* The other worker that could run the task is full of work that doesn't end, or not within the shortest ejection. */
static void task_whose_other_worker_stays_full(void **state)
{
    (void)state;
    for (int lasting = 0; lasting < 2; lasting++) {
        void *mem = talloc_new(NULL);
        SchedulerFixture *fixture = fixture_with_labels(mem, 2);
        worker_fails(fixture, worker_name(mem, 0));
        const StepSpec full = {
            .count = 1, .resources = {FIXTURE_CPU_MILLI, 512, 0}, .est_ms = lasting ? 0 : 4 * EJECTION_MIN_MS};
        job_of_tenant(fixture, "all", labelled(full), lasting);
        assert_int_equal(settle(fixture), 1);
        /* the rest of the fleet is full as well, so that only the ejected worker has capacity */
        job_of_tenant(fixture, "all", (StepSpec){.count = 2, .resources = {FIXTURE_CPU_MILLI, 512, 0}}, true);
        assert_int_equal(settle(fixture), 2);
        add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {1000, 512, 0}});
        assert_placed_after_the_wait(fixture, 1);
        talloc_free(mem);
    }
}

/* The places that apart allows on the other workers are taken by tasks that last. */
static void apart_task_whose_places_are_taken(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = scheduler_fixture_new(mem, LABEL_WORKERS);
    worker_fails(fixture, worker_name(mem, 0));
    job_of_tenant(fixture, "all", (StepSpec){.count = LABEL_WORKERS, .apart = 1, .resources = {1000, 512, 0}}, true);
    assert_int_equal(settle(fixture), LABEL_WORKERS - 1);
    assert_placed_after_the_wait(fixture, 1);
    talloc_free(mem);
}

/* A job of which nothing runs, in a fleet with much free capacity: the only other worker is busy for some seconds,
 * which is longer than a job may stand still. Another task of a job that runs elsewhere is kept off. */
static void job_that_stands_still_in_a_free_fleet(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_labels(mem, 2);
    worker_fails(fixture, worker_name(mem, 0));
    add_labelled_step(fixture, (StepSpec){.count = 3, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    assert_int_equal(settle(fixture), 1);
    assert_int_equal(placed_after(fixture, EJECTED_WAIT_MS + 10), 0);
    add_labelled_step(fixture, (StepSpec){.count = 3, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    assert_placed_after_the_wait(fixture, 1);
    talloc_free(mem);
}

/* What is admitted for one candidate is not given to another that other workers can run. */
static void admission_is_for_one_candidate(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_labels(mem, 1);
    worker_fails(fixture, worker_name(mem, 0));
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {1000, 512, 0}});
    sim_run_until(fixture->world, sim_now_ms(fixture->world) + EJECTED_WAIT_MS + 10);
    workers_heartbeat(fixture, LABEL_WORKERS);
    job_of_step(fixture, (StepSpec){.count = 8, .resources = {FIXTURE_CPU_MILLI / 2, 512, 0}});
    assert_int_equal(settle(fixture), 1 + 6);
    const TaskOnWorker *on;
    assert_int_equal(table_tasks_on(fixture->table, worker_name(mem, 0), &on), 1);
    talloc_free(mem);
}

/* Guards against a worker that is reserved for one job and stands empty while another, which only that worker can run,
 * stands still: the reservation gives way, as an ejection does. */
static void reservation_gives_way(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    /* part of the worker is in use for a minute: the next job, which needs all of it, has it reserved */
    job_of_tenant(fixture, "all",
                  labelled((StepSpec){.count = 1, .resources = {FIXTURE_CPU_MILLI / 4, 512, 0}, .est_ms = 60000}),
                  false);
    assert_int_equal(settle(fixture), 1);
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    assert_int_equal(placed_after(fixture, RESERVATION_WAIT_MS), 0);
    assert_int_equal(scheduler_counts(fixture->scheduler)->reserved, 1);
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {1000, 512, 0}, .est_ms = 50000});
    assert_placed_after_the_wait(fixture, 1);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(work_without_another_worker_waits_a_bounded_time),
        cmocka_unit_test(work_with_another_worker_is_kept_off),
        cmocka_unit_test(gang_that_needs_the_ejected_worker),
        cmocka_unit_test(task_whose_other_worker_stays_full),
        cmocka_unit_test(apart_task_whose_places_are_taken),
        cmocka_unit_test(job_that_stands_still_in_a_free_fleet),
        cmocka_unit_test(admission_is_for_one_candidate),
        cmocka_unit_test(reservation_gives_way),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
