#ifndef SIM_TOOL_SCHEDULER_STAND_H
#define SIM_TOOL_SCHEDULER_STAND_H

/* A scheduler by itself, on a state table and a live set, for a controller that always leads: what one pass decides,
 * and what it costs, for fleets that are larger than the simulator plays. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "planner.h"
#include "sim/world.h"

#define STAND_CPU_MILLI 64000 /* of a worker */
#define STAND_EST_MS 3000     /* ms; what a task says that it takes */

typedef struct Stand {
    SimWorld *world;
    Loop *loop;
    Table *table;
    Liveset *liveset;
    Scheduler *scheduler;
    const Config *config;
    uint64_t index, jobs;
} Stand;

static inline void notify(Stand *stand, ChangeKind kind, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Record change = {.change = kind, .index = ++stand->index, .at_ms = loop_now_ms(stand->loop)};
    shape_pack(shape, body, mem, &change.payload);
    ChangeResult result = {0};
    const ReplicationState state = table_state(stand->table);
    state.deliver(state.arg, &change, &result);
    talloc_free(mem);
}

static inline const char *worker_name(void *mem, size_t at)
{
    return talloc_asprintf(mem, "worker%05zu", at);
}

static inline void worker_heard(Stand *stand, const Worker *worker)
{
    const HeartbeatAsk heartbeat = {
        .agent = worker->name, .incarnation = 1, .number = 1, .worker = *worker, .worker_live = true, .settled = true};
    bool counts;
    liveset_heartbeat(stand->liveset, &heartbeat, loop_now_ms(stand->loop), 60000, &counts);
}

static inline void workers_add(Stand *stand, size_t count, uint64_t cpu_milli)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++) {
        const Worker worker = {.name = worker_name(mem, i),
                               .zone = talloc_asprintf(mem, "zone%zu", i % 3),
                               .rack = talloc_asprintf(mem, "rack%zu", i / 6),
                               .kind = "std",
                               .resources = {cpu_milli, 262144, 0}};
        notify(stand, CHANGE_WORKER_SET, &Worker_shape, &worker);
        worker_heard(stand, &worker);
    }
    talloc_free(mem);
}

/* All workers are heard of again. */
static inline void workers_heard(Stand *stand, size_t count)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++)
        worker_heard(stand, table_worker(stand->table, worker_name(mem, i)));
    talloc_free(mem);
}

/* Adds a job of the tenant, of that one step. */
static inline void job_of_tenant(Stand *stand, const char *tenant, StepSpec step)
{
    char id[32];
    snprintf(id, sizeof(id), "%016llx", (unsigned long long)++stand->jobs);
    step.name = "0";
    step.kind = step.payload = step.near = "";
    step.est_ms = STAND_EST_MS;
    const JobAdd add = {{.id = id,
                         .cell = "all",
                         .tenant = tenant,
                         .queue = stand->jobs % 3 == 0 ? "a" : "b",
                         .attempt_limit = 3,
                         .steps = &step,
                         .steps_count = 1},
                        {.stretch_milli = 2000, .target_ms = 2000, .kind = "std"}};
    notify(stand, CHANGE_JOB_ADD, &JobAdd_shape, &add);
}

static inline void job_of_step(Stand *stand, StepSpec step)
{
    job_of_tenant(stand, "all", step);
}

static inline void job_add(Stand *stand, uint64_t tasks, uint64_t cpu_milli)
{
    job_of_step(stand, (StepSpec){.count = tasks, .resources = {cpu_milli, 512, 0}});
}

static inline Pass *pass(Stand *stand)
{
    Pass *one = pass_new(stand->scheduler, stand->scheduler);
    pass_place_candidates(one);
    return one;
}

/* Places all that can be. */
static inline size_t settle(Stand *stand)
{
    size_t placed = 0, more = 1;
    while (more > 0) {
        Pass *one = pass(stand);
        more = one->places.placements_count;
        placed += more;
        if (more > 0)
            notify(stand, CHANGE_PLACE, &PlaceList_shape, &one->places);
        talloc_free(one);
    }
    return placed;
}

static inline void started(void *arg, Loop *loop)
{
    *(Loop **)arg = loop;
}

/* The scheduler's view of a controller that always leads. No pass here orders a change. */
static inline bool always(void *arg)
{
    (void)arg;
    return true;
}

static inline int64_t won_ms(void *arg)
{
    (void)arg;
    return 0;
}

static inline QueueClock clock_now(void *arg)
{
    const Stand *stand = arg;
    return (QueueClock){loop_now_ms(stand->loop), loop_wall_ms(stand->loop)};
}

static inline const Config *config(void *arg, uint64_t *stamp)
{
    const Stand *stand = arg;
    *stamp = 1;
    return stand->config;
}

static inline const Policy *policy(void *arg, const ConfigCell *cell)
{
    (void)arg;
    (void)cell;
    return policy_plain();
}

static inline uint64_t policy_failures(void *arg, const char **last)
{
    (void)arg;
    *last = "";
    return 0;
}

static inline Status order(void *arg, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                           ChangeResult *result)
{
    (void)arg;
    (void)mem;
    (void)kind;
    (void)shape;
    (void)body;
    (void)result;
    return STATUS_NOT_LEADER;
}

static inline Scheduler *scheduler_of(Stand *stand, const Bounds *bounds)
{
    return scheduler_new(stand, &(SchedulerSettings){.loop = stand->loop,
                                                     .recorder = recorder_new(stand, "bench"),
                                                     .table = stand->table,
                                                     .liveset = stand->liveset,
                                                     .orphans = orphans_new(stand),
                                                     .bounds = bounds,
                                                     .leader = {.arg = stand,
                                                                .leads = always,
                                                                .decides = always,
                                                                .won_ms = won_ms,
                                                                .clock = clock_now,
                                                                .config = config,
                                                                .policy = policy,
                                                                .policy_failures = policy_failures,
                                                                .submit = order}});
}

/* At one leader's place: count workers of 64 cores, nothing running. On mem. */
static inline Stand *stand_new(void *mem, size_t count)
{
    static const char CONFIG[] =
        "{\"r\":0,\"cells\":{\"all\":{\"tenants\":{\"all\":{},\"full\":{\"quota\":{\"cpu\":64,\"memMb\":0}}},\"queues\":{\"a\":{\"priority\":1},\"b\":{}}}}}";
    Stand *stand = talloc_zero(mem, Stand);
    stand->world = sim_world_new(mem, 1);
    Bounds *bounds = talloc(stand, Bounds);
    Faults *faults = talloc_zero(stand, Faults);
    *bounds = bounds_first();
    faults->mem = stand;
    sim_start(stand->world, sim_machine(stand->world), started, &stand->loop);
    stand->table = table_new(stand);
    stand->liveset = liveset_new(stand);
    stand->config = config_read(stand, CONFIG, strlen(CONFIG), 1, faults);
    stand->scheduler = scheduler_of(stand, bounds);
    const ConfigSet set = {.version = 1, .text = CONFIG};
    notify(stand, CHANGE_CONFIG_SET, &ConfigSet_shape, &set);
    workers_add(stand, count, STAND_CPU_MILLI);
    return stand;
}

#endif
