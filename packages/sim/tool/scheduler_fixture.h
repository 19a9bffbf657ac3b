#ifndef SIM_TOOL_SCHEDULER_FIXTURE_H
#define SIM_TOOL_SCHEDULER_FIXTURE_H

/* A test fixture: a scheduler by itself, on a state table and a live set, with a controller that always leads. Shows
 * what one pass decides and what it costs, for fleets that are larger than those the simulator runs. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "planner.h"
#include "sim/world.h"

#define FIXTURE_CPU_MILLI 64000 /* capacity of a worker */
#define STAND_EST_MS 3000       /* ms; estimated run time of a task */

/* A scheduler with all that it works on. index: of the last delivered change; jobs: number of jobs added. */
typedef struct SchedulerFixture {
    SimWorld *world;
    Loop *loop;
    Table *table;
    Liveset *liveset;
    Scheduler *scheduler;
    const Config *config;
    uint64_t index, jobs;
} SchedulerFixture;

/* Delivers a change to the state table. */
static inline void deliver_change(SchedulerFixture *stand, ChangeKind kind, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Record change = {.change = kind, .index = ++stand->index, .at_ms = loop_now_ms(stand->loop)};
    shape_pack(shape, body, mem, &change.payload);
    ChangeResult result = {0};
    const ReplicationState state = table_state(stand->table);
    state.deliver(state.arg, &change, &result);
    talloc_free(mem);
}

static inline const char *worker_name(void *mem, size_t index)
{
    return talloc_asprintf(mem, "worker%05zu", index);
}

/* Receives a heartbeat from the worker. */
static inline void worker_heartbeat(SchedulerFixture *stand, const Worker *worker)
{
    const HeartbeatAsk heartbeat = {
        .agent = worker->name, .incarnation = 1, .number = 1, .worker = *worker, .worker_live = true, .settled = true};
    bool list_counts;
    liveset_heartbeat(stand->liveset, &heartbeat, loop_now_ms(stand->loop), 60000, &list_counts);
}

/* Adds count workers with that much CPU each, in 3 zones and racks of 6. */
static inline void workers_add(SchedulerFixture *stand, size_t count, uint64_t cpu_milli)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++) {
        const Worker worker = {.name = worker_name(mem, i),
                               .zone = talloc_asprintf(mem, "zone%zu", i % 3),
                               .rack = talloc_asprintf(mem, "rack%zu", i / 6),
                               .kind = "std",
                               .resources = {cpu_milli, 262144, 0}};
        deliver_change(stand, CHANGE_WORKER_SET, &Worker_shape, &worker);
        worker_heartbeat(stand, &worker);
    }
    talloc_free(mem);
}

/* Receives another heartbeat from each of the first count workers. */
static inline void workers_heartbeat(SchedulerFixture *stand, size_t count)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++)
        worker_heartbeat(stand, table_worker(stand->table, worker_name(mem, i)));
    talloc_free(mem);
}

/* Adds a job of the tenant with only that step. */
static inline void job_of_tenant(SchedulerFixture *stand, const char *tenant, StepSpec step)
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
    deliver_change(stand, CHANGE_JOB_ADD, &JobAdd_shape, &add);
}

/* Adds a job of the default tenant with only that step. */
static inline void job_of_step(SchedulerFixture *stand, StepSpec step)
{
    job_of_tenant(stand, "all", step);
}

/* Adds a job of one step with that many tasks. */
static inline void job_add(SchedulerFixture *stand, uint64_t tasks, uint64_t cpu_milli)
{
    job_of_step(stand, (StepSpec){.count = tasks, .resources = {cpu_milli, 512, 0}});
}

/* Runs a pass up to its placements, which are not delivered. The caller frees it. */
static inline Pass *pass(SchedulerFixture *stand)
{
    Pass *run = pass_new(stand->scheduler, stand->scheduler);
    pass_place_candidates(run);
    return run;
}

/* Runs passes and delivers their placements until nothing more is placed; returns the number of placed tasks. */
static inline size_t settle(SchedulerFixture *stand)
{
    size_t placed = 0, more = 1;
    while (more > 0) {
        Pass *run = pass(stand);
        more = run->places.placements_count;
        placed += more;
        if (more > 0)
            deliver_change(stand, CHANGE_PLACE, &PlaceList_shape, &run->places);
        talloc_free(run);
    }
    return placed;
}

static inline void loop_started(void *arg, Loop *loop)
{
    *(Loop **)arg = loop;
}

/* The functions of SchedulerLeader, of a controller that always leads. The passes here submit no change. */
static inline bool always_true(void *arg)
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
    const SchedulerFixture *stand = arg;
    return (QueueClock){loop_now_ms(stand->loop), loop_wall_ms(stand->loop)};
}

static inline const Config *config(void *arg, uint64_t *stamp)
{
    const SchedulerFixture *stand = arg;
    *stamp = 1;
    return stand->config;
}

static inline const Policy *policy(void *arg, const ConfigCell *cell)
{
    (void)arg;
    (void)cell;
    return policy_builtin();
}

static inline uint64_t policy_failures(void *arg, const char **last)
{
    (void)arg;
    *last = "";
    return 0;
}

static inline Status submit_refuse(void *arg, void *mem, ChangeKind kind, const Shape *shape, const void *body,
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

static inline Scheduler *scheduler_create(SchedulerFixture *stand, const ClusterSettings *cluster_settings)
{
    return scheduler_new(stand, &(SchedulerSettings){.loop = stand->loop,
                                                     .recorder = recorder_new(stand, "bench"),
                                                     .table = stand->table,
                                                     .liveset = stand->liveset,
                                                     .orphans = orphans_new(stand),
                                                     .cluster_settings = cluster_settings,
                                                     .leader = {.arg = stand,
                                                                .leads = always_true,
                                                                .decides = always_true,
                                                                .won_ms = won_ms,
                                                                .clock = clock_now,
                                                                .config = config,
                                                                .policy = policy,
                                                                .policy_failures = policy_failures,
                                                                .submit = submit_refuse}});
}

/* A fixture owned by mem: count workers of 64 cores with nothing running. */
static inline SchedulerFixture *scheduler_fixture_new(void *mem, size_t count)
{
    static const char CONFIG[] =
        "{\"r\":0,\"cells\":{\"all\":{\"tenants\":{\"all\":{},\"full\":{\"quota\":{\"cpu\":64,\"memMb\":0}}},\"queues\":{\"a\":{\"priority\":1},\"b\":{}}}}}";
    SchedulerFixture *stand = talloc_zero(mem, SchedulerFixture);
    stand->world = sim_world_new(mem, 1);
    ClusterSettings *cluster_settings = talloc(stand, ClusterSettings);
    Faults *faults = talloc_zero(stand, Faults);
    *cluster_settings = cluster_settings_default();
    faults->mem = stand;
    sim_start(stand->world, sim_machine(stand->world), loop_started, &stand->loop);
    stand->table = table_new(stand);
    stand->liveset = liveset_new(stand);
    stand->config = config_read(stand, CONFIG, strlen(CONFIG), 1, faults);
    stand->scheduler = scheduler_create(stand, cluster_settings);
    const ConfigSet set = {.version = 1, .text = CONFIG};
    deliver_change(stand, CHANGE_CONFIG_SET, &ConfigSet_shape, &set);
    workers_add(stand, count, FIXTURE_CPU_MILLI);
    return stand;
}

#endif
