/* What one pass of the planner costs, by fleet size: processor time for each pass, and
 * for each start. Calm: some jobs have come, all find room. Crowded: the fleet is full
 * and many wait. Over quota: there is room, and one tenant, which has reached its quota, has many jobs
 * waiting. Then one fleet with 1, 4, 16 and 64 times the tasks, and the slope: the power of the number
 * of tasks that a pass costs, 0 where it does not depend on it.
 *
 *     spancart-pass-bench [ATTEMPTS] */
#include <math.h>
#include <stdlib.h>
#include <time.h>

#include "scheduler_stand.h"

#define WORKERS 74 /* count; of the larger sites */
#define EACH 27    /* count; tasks on each */

/* The fleet whose tasks grow: that of the largest site. */
#define SLOPE_WORKERS 240
#define SLOPE_EACH 7     /* count; tasks on each, at first; 64 times as many fit */
#define SLOPE_WAITING 60 /* count; jobs that wait, at first */

static double seconds(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

/* A fleet, what runs on it, and what waits. */
typedef struct Load {
    size_t workers, running, waiting; /* count; workers, tasks, jobs of 4 tasks each */
} Load;

/* Returns the ms that a pass takes. */
static double measure(Load load, int attempts)
{
    void *mem = talloc_new(NULL);
    Stand *stand = stand_new(mem, load.workers);
    const size_t waiting = load.waiting, each = load.running / load.workers;
    const bool crowded = waiting > 0;
    for (size_t i = 0; i < load.running / 9; i++)
        job_add(stand, 9, (crowded ? STAND_CPU_MILLI : STAND_CPU_MILLI / 2) / each);
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
    printf("%5zu workers %6zu running %6zu wait: %8.3f ms a pass", load.workers, running, waiting,
           passes * 1000 / attempts);
    if (starts > 0)
        printf(", %7.4f ms a start", passes * 1000 / (double)starts);
    printf("\n");
    talloc_free(mem);
    return passes * 1000 / attempts;
}

/* The power of the number of tasks that a pass costs, by least squares of the logarithms. */
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

/* The same fleet with 1, 4, 16 and 64 times the tasks that run, and that wait. */
static void measure_slopes(int attempts)
{
    enum { STEPS = 4 };
    double tasks[STEPS], calm[STEPS], crowded[STEPS];
    for (size_t i = 0, times = 1; i < STEPS; i++, times *= 4) {
        tasks[i] = (double)(SLOPE_WORKERS * SLOPE_EACH * times);
        const Load load = {SLOPE_WORKERS, SLOPE_WORKERS * SLOPE_EACH * times, 0};
        calm[i] = measure(load, attempts);
        crowded[i] = measure((Load){load.workers, load.running, SLOPE_WAITING * times}, attempts);
    }
    printf("a pass costs the number of tasks to the power of %.2f calm, %.2f crowded\n", slope(tasks, calm, STEPS),
           slope(tasks, crowded, STEPS));
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
        const Load load = {WORKERS * times, WORKERS * times * EACH, 0};
        measure(load, attempts);
        measure((Load){load.workers, load.running, 300 * times}, attempts);
    }
    measure_slopes(attempts);
    measure_over_quota(300, attempts);
    measure_over_quota(5000, attempts);
    return 0;
}
