/* Reservations in a fleet of which a quarter is more than a reservation may name. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "scheduler_fixture.h"

#define WORKERS \
    (4 * (RESERVATION_MEMBERS_MAX + 4)) /* count; a quarter of them, the most that may be reserved at once */
#define HALF_WORKER (FIXTURE_CPU_MILLI / 2)

/* Fills half of each worker, and passes over a gang of so many members that need a whole one each, long after it came.
 * Returns how many reservations were made. */
static uint64_t reserved_for(size_t members)
{
    void *mem = talloc_new(NULL);
    SchedulerFixture *stand = scheduler_fixture_new(mem, WORKERS);
    job_of_step(stand, (StepSpec){.count = WORKERS, .apart = 1, .resources = {HALF_WORKER, 512, 0}});
    assert_int_equal(settle(stand), WORKERS);
    job_of_step(stand, (StepSpec){.count = members, .gang = true, .resources = {FIXTURE_CPU_MILLI, 512, 0}});
    sim_run_until(stand->world, sim_now_ms(stand->world) + RESERVATION_WAIT_MS);
    workers_heartbeat(stand, WORKERS);
    talloc_free(pass(stand));
    const uint64_t reserved = scheduler_counts(stand->scheduler)->reserved;
    talloc_free(mem);
    return reserved;
}

static void gang_as_wide_as_the_list(void **state)
{
    (void)state;
    assert_int_equal(reserved_for(RESERVATION_MEMBERS_MAX), 1);
}

/* It gets none, rather than a list written past its end. */
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
