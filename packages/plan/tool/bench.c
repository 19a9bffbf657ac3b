/* Measures how long a check of the r-loss plan takes, by fleet size, and the ratio to the smallest size.
 *
 *     spancart-plan-bench [ATTEMPTS] */
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <time.h>

#include "plan/plan.h"

static double seconds(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static double check_time(size_t workers, size_t tasks, uint64_t losses, int attempts)
{
    void *mem = talloc_new(NULL);
    PlanInput input = {talloc_zero_array(mem, PlanWorker, (unsigned)workers),
                       workers,
                       talloc_zero_array(mem, PlanTask, (unsigned)tasks),
                       tasks,
                       losses,
                       false,
                       false,
                       0,
                       NULL};
    for (size_t i = 0; i < workers; i++)
        input.workers[i] = (PlanWorker){
            .name = "w", .zone = "z", .kind = "std", .resources = {64000, 131072, 0}, .free = {64000, 131072, 0}};
    for (size_t i = 0; i < tasks; i++) {
        input.tasks[i] =
            (PlanTask){{{500 + 500 * (i % 4), 512 + 512 * (i % 3), 0}, "", NULL, 0}, i % workers, PLAN_NO_CELL};
        PlanWorker *worker = &input.workers[i % workers];
        worker->free = resources_subtract(worker->free, input.tasks[i].need.resources);
    }
    const double start = seconds();
    bool possible = true;
    for (int i = 0; i < attempts; i++)
        possible &= plan_always_possible(&input, NULL);
    const double seconds_per_check = (seconds() - start) / attempts;
    printf("%4zu workers %5zu tasks r=%d: %8.3f ms, plan %s\n", workers, tasks, (int)losses, seconds_per_check * 1000,
           possible ? "holds" : "fails");
    talloc_free(mem);
    return seconds_per_check;
}

int main(int argc, char **argv)
{
    const int attempts = argc > 1 ? atoi(argv[1]) : 20;
    const double base = check_time(11, 220, 1, attempts * 10);
    check_time(11, 220, 2, attempts);
    const double tenfold = check_time(110, 2200, 1, attempts);
    check_time(110, 2200, 2, attempts);
    printf("ten times the workers and tasks, r=1: ratio %.0f\n", tenfold / base);
    return 0;
}
