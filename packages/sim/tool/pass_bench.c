/* Measures the cost of one pass of the planner by fleet size: processor time for each pass, and for each start. In the
 * calm case, a few jobs have arrived and find capacity. In the crowded case, the fleet is full and many jobs wait. In
 * the case over quota there is capacity, but one tenant that has reached its quota has many jobs waiting. The calm and
 * the crowded case are also measured with 1, 4, 16 and 64 times the tasks on the same fleet. The slope is the exponent
 * of the number of tasks in the cost of a pass; it is 0 where the cost does not depend on this number.
 *
 *     spancart-pass-bench [ATTEMPTS] */
#include <math.h>
#include <stdlib.h>
#include <time.h>

#include "scheduler_fixture.h"

#define WORKERS 74    /* Workers of the larger sites. */
#define TASKS_EACH 27 /* Tasks on each worker. */

/* The fleet for the slopes, with the number of workers of the largest site. */
#define SLOPE_WORKERS 240
#define SLOPE_TASKS_EACH 7 /* Initial tasks on each worker; 64 times as many fit. */
#define SLOPE_WAITING 60   /* Initial number of waiting jobs. */

/* Processor time of this process, in s. */
static double seconds(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

/* The load to measure: the size of the fleet, the running tasks, and the waiting jobs of 4 tasks each. */
typedef struct Load {
    size_t workers, running, waiting;
} Load;

/* Prints and returns the time of a pass, in ms. */
static double measure(Load load, int attempts)
{
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = scheduler_fixture_new(mem, load.workers);
    const size_t waiting = load.waiting, tasks_each = load.running / load.workers;
    const bool crowded = waiting > 0;
    for (size_t i = 0; i < load.running / 9; i++)
        job_add(fixture, 9, (crowded ? FIXTURE_CPU_MILLI : FIXTURE_CPU_MILLI / 2) / tasks_each);
    const size_t running = settle(fixture);
    for (size_t i = 0; i < waiting; i++)
        job_add(fixture, 4, 6000 + i % 7 * 1000);
    double passes = 0;
    size_t starts = 0;
    for (int i = 0; i < attempts; i++) {
        for (int k = 0; k < 2 && !crowded; k++)
            job_add(fixture, 4, 100);
        const double start = seconds();
        Pass *run = pass(fixture);
        passes += seconds() - start;
        starts += run->places.placements_count;
        if (run->places.placements_count > 0)
            deliver_change(fixture, CHANGE_PLACE, &PlaceList_shape, &run->places);
        talloc_free(run);
    }
    printf("%5zu workers %6zu running %6zu wait: %8.3f ms a pass", load.workers, running, waiting,
           passes * 1000 / attempts);
    if (starts > 0)
        printf(", %7.4f ms a start", passes * 1000 / (double)starts);
    printf("\n");
    talloc_free(mem);
    return passes * 1000 / attempts;
}

/* The exponent of the number of tasks in the cost of a pass, by least squares of the logarithms. */
static double slope(const double *tasks, const double *cost, size_t count)
{
    double sum_tasks = 0, sum_cost = 0, sum_squares = 0, sum_products = 0;
    for (size_t i = 0; i < count; i++) {
        const double log_tasks = log(tasks[i]), log_cost = log(cost[i]);
        sum_tasks += log_tasks;
        sum_cost += log_cost;
        sum_squares += log_tasks * log_tasks;
        sum_products += log_tasks * log_cost;
    }
    const double sizes = (double)count;
    return (sizes * sum_products - sum_tasks * sum_cost) / (sizes * sum_squares - sum_tasks * sum_tasks);
}

/* Measures the same fleet with 1, 4, 16 and 64 times the running and waiting tasks. */
static void measure_slopes(int attempts)
{
    enum { STEPS = 4 };
    double tasks[STEPS], calm[STEPS], crowded[STEPS];
    for (size_t i = 0, times = 1; i < STEPS; i++, times *= 4) {
        tasks[i] = (double)(SLOPE_WORKERS * SLOPE_TASKS_EACH * times);
        const Load load = {SLOPE_WORKERS, SLOPE_WORKERS * SLOPE_TASKS_EACH * times, 0};
        calm[i] = measure(load, attempts);
        crowded[i] = measure((Load){load.workers, load.running, SLOPE_WAITING * times}, attempts);
    }
    printf("a pass costs the number of tasks to the power of %.2f calm, %.2f crowded\n", slope(tasks, calm, STEPS),
           slope(tasks, crowded, STEPS));
}

/* Prints the time of a pass while jobs of a tenant that has reached its quota wait. waiting: number of these jobs. */
static void measure_over_quota(size_t waiting, int attempts)
{
    void *mem = talloc_new(NULL);
    SchedulerFixture *fixture = scheduler_fixture_new(mem, WORKERS);
    for (size_t i = 0; i < waiting; i++)
        job_of_tenant(fixture, "full", (StepSpec){.count = 4, .resources = {4000, 512, 0}}, false);
    const size_t running = settle(fixture);
    const double start = seconds();
    for (int i = 0; i < attempts; i++)
        talloc_free(pass(fixture));
    printf("%5d workers %6zu running %6zu wait over quota: %8.3f ms a pass\n", WORKERS, running, waiting,
           (seconds() - start) * 1000 / attempts);
    talloc_free(mem);
}

int main(int argc, char **argv)
{
    const int attempts = argc > 1 ? atoi(argv[1]) : 200;
    for (size_t times = 1; times <= 16; times *= 4) {
        const Load load = {WORKERS * times, WORKERS * times * TASKS_EACH, 0};
        measure(load, attempts);
        measure((Load){load.workers, load.running, 300 * times}, attempts);
    }
    measure_slopes(attempts);
    measure_over_quota(300, attempts);
    measure_over_quota(5000, attempts);
    return 0;
}
