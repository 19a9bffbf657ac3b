/* What one pass of the planner costs, by fleet size: processor time for each pass, and
 * for each start. Calm: some jobs have come, all find room. Crowded: the fleet is full
 * and many wait. Over quota: there is room, and one tenant, which has reached its quota, has many jobs
 * waiting.
 *
 *     spancart-pass-bench [ATTEMPTS] */
#include <stdlib.h>
#include <time.h>

#include "scheduler_stand.h"

#define WORKERS 74 /* count; of the larger sites */
#define EACH 27    /* count; tasks on each */

static double seconds(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static void measure(size_t times, size_t waiting, int attempts)
{
    void *mem = talloc_new(NULL);
    Stand *stand = stand_new(mem, WORKERS * times);
    const bool crowded = waiting > 0;
    for (size_t i = 0; i < WORKERS * times * EACH / 9; i++)
        job_add(stand, 9, crowded ? STAND_CPU_MILLI / EACH : 1000);
    const size_t running = settle(stand);
    for (size_t i = 0; i < waiting; i++)
        job_add(stand, 4, 6000 + i % 7 * 1000);
    double passes = 0;
    size_t starts = 0;
    for (int i = 0; i < attempts; i++) {
        for (int k = 0; k < 2 && !crowded; k++)
            job_add(stand, 4, 100);
        const double start = seconds();
        Pass *one = pass(stand);
        passes += seconds() - start;
        starts += one->places.placements_count;
        if (one->places.placements_count > 0)
            notify(stand, CHANGE_PLACE, &PlaceList_shape, &one->places);
        talloc_free(one);
    }
    printf("%5zu workers %6zu running %6zu wait: %8.3f ms a pass", WORKERS * times, running, waiting,
           passes * 1000 / attempts);
    if (starts > 0)
        printf(", %7.4f ms a start", passes * 1000 / (double)starts);
    printf("\n");
    talloc_free(mem);
}

static void measure_over_quota(size_t waiting, int attempts)
{
    void *mem = talloc_new(NULL);
    Stand *stand = stand_new(mem, WORKERS);
    for (size_t i = 0; i < waiting; i++)
        job_of_tenant(stand, "full", (StepSpec){.count = 4, .resources = {4000, 512, 0}});
    const size_t running = settle(stand);
    const double start = seconds();
    for (int i = 0; i < attempts; i++)
        talloc_free(pass(stand));
    printf("%5d workers %6zu running %6zu wait over quota: %8.3f ms a pass\n", WORKERS, running, waiting,
           (seconds() - start) * 1000 / attempts);
    talloc_free(mem);
}

int main(int argc, char **argv)
{
    const int attempts = argc > 1 ? atoi(argv[1]) : 200;
    for (size_t times = 1; times <= 16; times *= 4) {
        measure(times, 0, attempts);
        measure(times, 300 * times, attempts);
    }
    measure_over_quota(300, attempts);
    measure_over_quota(5000, attempts);
    return 0;
}
