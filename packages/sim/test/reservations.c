/* Reservations: for gangs in a fleet so large that a quarter of its workers is more than one reservation can list, and
 * for candidates that a reservation doesn't help. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "label_fixture.h"

#define WORKERS (4 * (RESERVATION_MEMBERS_MAX + 4)) /* at most a quarter of them may be reserved at the same time */
#define HALF_WORKER (FIXTURE_CPU_MILLI / 2)

/* Fills half of each worker, submits a gang whose members need an entire worker each, and runs a scheduling pass after
 * the gang has waited for RESERVATION_WAIT_MS. Returns how many reservations were made. */
static uint64_t reserved_for(size_t members)
{
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = scheduler_fixture_new(mem, WORKERS);
    job_of_step(fixture, (StepSpec){.count = WORKERS, .apart = 1, .resources = {HALF_WORKER, 512, 0}});
    assert_int_equal(settle(fixture), WORKERS);
    job_of_step(fixture, (StepSpec){.count = members, .gang = true, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    sim_run_until(fixture->world, sim_now_ms(fixture->world) + RESERVATION_WAIT_MS);
    workers_heartbeat(fixture, WORKERS);
    talloc_free(pass(fixture));
    const uint64_t reserved = scheduler_counts(fixture->scheduler)->reserved;
    talloc_free(mem);
    return reserved;
}

static void gang_as_wide_as_the_list(void **state)
{
    (void)state;
    assert_int_equal(reserved_for(RESERVATION_MEMBERS_MAX), 1);
}

/* Guards against the list of a reservation being written past its end: a wider gang gets no reservation. */
static void gang_wider_than_the_list(void **state)
{
    (void)state;
    assert_int_equal(reserved_for(RESERVATION_MEMBERS_MAX + 2), 0);
}

/* --- work that only one worker can run -------------------------------------------------------- */

static uint64_t reservations_made(const SchedulerFixture *fixture)
{
    return scheduler_counts(fixture->scheduler)->reserved;
}

/* Guards against sound work that never runs (review/5): a gang that can never be placed, since its members may not be
 * together, kept the only worker that some jobs can run on. */
static void gang_that_never_fits_reserves_nothing(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    add_labelled_step(fixture, (StepSpec){.count = 4, .gang = true, .apart = 1, .resources = {1000, 512, 0}});
    assert_int_equal(placed_after(fixture, RESERVATION_WAIT_MS), 0);
    assert_int_equal(reservations_made(fixture), 0);
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {1000, 512, 0}});
    assert_int_equal(placed_after(fixture, 10), 1);
    talloc_free(mem);
}

/* Reports the first task of the first job as done. */
static void first_task_ends(SchedulerFixture *fixture)
{
    Job *const *jobs;
    assert_true(table_jobs(fixture->table, &jobs) > 0);
    AttemptUpdate update = {.job = jobs[0]->spec.id,
                            .task = task_number(&jobs[0]->tasks[0]),
                            .attempt = jobs[0]->tasks[0].attempt,
                            .worker = jobs[0]->tasks[0].worker,
                            .word = ATTEMPT_DONE,
                            .text = "",
                            .saved = ""};
    const AttemptList list = {&update, 1};
    deliver_change(fixture, CHANGE_ATTEMPTS, &AttemptList_shape, &list);
}

/* The same for a reservation that was made in time: it does not outlast the value of its job. The rest of the fleet is
 * full; in a fleet with free capacity a reservation gives way earlier (test ejections). */
static void reservation_ends_with_the_value_of_its_job(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    add_labelled_step(fixture, (StepSpec){.count = 2, .resources = {HALF_WORKER, 512, 0}});
    assert_int_equal(settle(fixture), 2);
    for (int i = 1; i < LABEL_WORKERS; i++)
        job_add(fixture, 1, FIXTURE_CPU_MILLI);
    assert_int_equal(settle(fixture), LABEL_WORKERS - 1);
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {1000, 512, 0}});
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    assert_int_equal(placed_after(fixture, RESERVATION_WAIT_MS), 0);
    assert_int_equal(reservations_made(fixture), 1);
    first_task_ends(fixture);
    assert_int_equal(placed_after(fixture, 10),
                     0); /* The capacity is kept for the large task, whose queue goes first */
    assert_int_equal(placed_after(fixture, 40000), 1);
    talloc_free(mem);
}

/* The same beside a lasting task: the capacity that it uses never becomes free. */
static void lasting_task_is_not_waited_for(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = fixture_with_label(mem);
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {HALF_WORKER, 512, 0}});
    Job *const *jobs;
    assert_int_equal(table_jobs(fixture->table, &jobs), 1);
    jobs[0]->spec.lasting = true;
    assert_int_equal(settle(fixture), 1);
    add_labelled_step(fixture, (StepSpec){.count = 1, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    assert_int_equal(placed_after(fixture, RESERVATION_WAIT_MS), 0);
    assert_int_equal(reservations_made(fixture), 0);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gang_as_wide_as_the_list),
        cmocka_unit_test(gang_wider_than_the_list),
        cmocka_unit_test(gang_that_never_fits_reserves_nothing),
        cmocka_unit_test(reservation_ends_with_the_value_of_its_job),
        cmocka_unit_test(lasting_task_is_not_waited_for),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
