/* Reservations for gangs in a fleet so large that a quarter of its workers is more than one reservation can list. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "scheduler_fixture.h"

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

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gang_as_wide_as_the_list),
        cmocka_unit_test(gang_wider_than_the_list),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
