/* Runs a constant load on a simulated fleet, to count the instructions that the start and end of an attempt cost, with
 * all messages, commits and passes of the planner:
 *
 *     valgrind --tool=callgrind build/spancart-load-bench SECONDS [JOBS-A-SECOND] [WORKERS]
 *
 * The fixed seed makes runs repeatable, so that the difference of two runs of different lengths is the cost of the
 * additional seconds of load. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "sim/fleet.h"

#define SEED 7
#define SETTLE_MS 30000
#define JOBS_A_SECOND 60 /* Default rate. */
#define WORKERS 36       /* Default number of workers; at most FLEET_ROLE_NODES_MAX. */

int main(int argc, char **argv)
{
    const int64_t seconds = argc > 1 ? strtoll(argv[1], NULL, 10) : 0;
    const int64_t rate = argc > 2 ? strtoll(argv[2], NULL, 10) : JOBS_A_SECOND;
    const int workers = argc > 3 ? atoi(argv[3]) : WORKERS;
    if (seconds <= 0 || rate <= 0 || workers <= 0 || workers > FLEET_ROLE_NODES_MAX) {
        fprintf(stderr, "usage: spancart-load-bench SECONDS [JOBS-A-SECOND] [WORKERS up to %d]\n",
                FLEET_ROLE_NODES_MAX);
        return 2;
    }
    Fleet *fleet = fleet_new(NULL, SEED, (FleetShape){3, 3, workers, MIX_ATLAS, 0});
    fleet_start(fleet);
    if (!fleet_wait_ready(fleet, SETTLE_MS) || !fleet_configure(fleet)) {
        fprintf(stderr, "the fleet did not settle\n");
        return 1;
    }
    const size_t before = checker_starts(fleet->checker);
    fleet_submit_jobs(fleet, "load", rate * 1000, seconds * 1000);
    fleet_run(fleet, seconds * 1000);
    printf("%" PRId64 " s, %zu starts, %zu violations of safety properties\n", seconds,
           checker_starts(fleet->checker) - before, checker_violations_total(fleet->checker));
    talloc_free(fleet);
    return 0;
}
