/* What one pass of the planner costs, by fleet size: processor time for each pass, and
 * for each start. Calm: some jobs have come, all find room. Crowded: the fleet is full
 * and many wait.
 *
 *     spancart-pass-bench [ATTEMPTS] */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "pass.h"
#include "sim/world.h"

#define WORKERS 74 /* count; of the larger sites */
#define EACH 27    /* count; tasks on each */

typedef struct Stand {
    Controller *controller;
    uint64_t index, jobs;
} Stand;

static double seconds(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static void tell(Stand *stand, ChangeKind kind, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Record change = {
        .change = kind, .index = ++stand->index, .at_ms = replication_clock_ms(stand->controller->replication)};
    shape_pack(shape, body, mem, &change.payload);
    ChangeResult result = {0};
    const ReplicationState state = table_state(stand->controller->table);
    state.deliver(state.arg, &change, &result);
    talloc_free(mem);
}

static const char *worker_name(void *mem, size_t at)
{
    return talloc_asprintf(mem, "worker%05zu", at);
}

static void workers_add(Stand *stand, size_t count, uint64_t cpu_milli)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++) {
        const Worker worker = {.name = worker_name(mem, i),
                               .zone = talloc_asprintf(mem, "zone%zu", i % 3),
                               .rack = talloc_asprintf(mem, "rack%zu", i / 6),
                               .kind = "std",
                               .room = {cpu_milli, 262144, 0}};
        tell(stand, CHANGE_WORKER_SET, &Worker_shape, &worker);
        const HeartbeatAsk heartbeat = {.agent = worker.name,
                                        .incarnation = 1,
                                        .number = 1,
                                        .worker = worker,
                                        .worker_live = true,
                                        .settled = true};
        bool counts;
        liveset_heartbeat(stand->controller->liveset, &heartbeat, loop_now_ms(stand->controller->loop), 60000, &counts);
    }
    talloc_free(mem);
}

static void job_add(Stand *stand, uint64_t tasks, uint64_t cpu_milli)
{
    char id[32];
    snprintf(id, sizeof(id), "%016llx", (unsigned long long)++stand->jobs);
    StepSpec step = {.name = "0",
                     .count = tasks,
                     .room = {cpu_milli, 512, 0},
                     .kind = "",
                     .payload = "",
                     .near = "",
                     .est_ms = 3000};
    const JobAdd add = {{.id = id,
                         .cell = "all",
                         .tenant = "all",
                         .queue = stand->jobs % 3 == 0 ? "a" : "b",
                         .attempt_limit = 3,
                         .steps = &step,
                         .steps_count = 1},
                        {.stretch_milli = 2000, .target_ms = 2000, .kind = "std"}};
    tell(stand, CHANGE_JOB_ADD, &JobAdd_shape, &add);
}

static Pass *pass(Stand *stand)
{
    Pass *one = pass_new(stand->controller, stand->controller);
    pass_places(one);
    return one;
}

/* Places all that can be. */
static size_t settle(Stand *stand)
{
    size_t placed = 0, more = 1;
    while (more > 0) {
        Pass *one = pass(stand);
        more = one->places.placements_count;
        placed += more;
        if (more > 0)
            tell(stand, CHANGE_PLACE, &PlaceList_shape, &one->places);
        talloc_free(one);
    }
    return placed;
}

static void started(void *arg, Loop *loop)
{
    *(Loop **)arg = loop;
}

static Stand stand_new(void *mem, size_t times)
{
    SimWorld *world = sim_world_new(mem, 1);
    Controller *controller = talloc_zero(mem, Controller);
    Settings *settings = talloc_zero(controller, Settings);
    settings->bounds = bounds_first();
    controller->settings = settings;
    sim_start(world, sim_machine(world), started, &controller->loop);
    controller->recorder = recorder_new(controller, "bench");
    controller->table = table_new(controller);
    const ReplicationSettings replication_settings = {
        .loop = controller->loop, .recorder = controller->recorder, .state = table_state(controller->table)};
    controller->replication = replication_new(controller, &replication_settings);
    controller->liveset = liveset_new(controller);
    controller->saved = map_new(controller);
    controller->scores = map_new(controller);
    controller->kept = map_new(controller);
    controller->estimates = estimates_new(controller);
    controller->orphans = orphans_new(controller);
    controller->paces = paces_new(controller);
    controller->queue = queue_new(controller, controller->estimates);
    Stand stand = {controller, 0, 0};
    const ConfigSet set = {
        .version = 1,
        .text =
            "{\"r\":0,\"cells\":{\"all\":{\"tenants\":{\"all\":{}},\"queues\":{\"a\":{\"priority\":1},\"b\":{}}}}}"};
    tell(&stand, CHANGE_CONFIG_SET, &ConfigSet_shape, &set);
    workers_add(&stand, WORKERS * times, 64000);
    return stand;
}

static void look(size_t times, size_t waiting, int attempts)
{
    void *mem = talloc_new(NULL);
    Stand stand = stand_new(mem, times);
    const bool crowded = waiting > 0;
    for (size_t i = 0; i < WORKERS * times * EACH / 9; i++)
        job_add(&stand, 9, crowded ? 64000 / EACH : 1000);
    const size_t running = settle(&stand);
    for (size_t i = 0; i < waiting; i++)
        job_add(&stand, 4, 6000 + i % 7 * 1000);
    double passes = 0;
    size_t starts = 0;
    for (int i = 0; i < attempts; i++) {
        for (int k = 0; k < 2 && !crowded; k++)
            job_add(&stand, 4, 100);
        const double start = seconds();
        Pass *one = pass(&stand);
        passes += seconds() - start;
        starts += one->places.placements_count;
        if (one->places.placements_count > 0)
            tell(&stand, CHANGE_PLACE, &PlaceList_shape, &one->places);
        talloc_free(one);
    }
    printf("%5zu workers %6zu running %6zu wait: %8.3f ms a pass", WORKERS * times, running, waiting,
           passes * 1000 / attempts);
    if (starts > 0)
        printf(", %7.4f ms a start", passes * 1000 / (double)starts);
    printf("\n");
    talloc_free(mem);
}

int main(int argc, char **argv)
{
    const int attempts = argc > 1 ? atoi(argv[1]) : 200;
    for (size_t times = 1; times <= 16; times *= 4) {
        look(times, 0, attempts);
        look(times, 300 * times, attempts);
    }
    return 0;
}
