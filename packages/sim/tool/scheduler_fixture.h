#ifndef SIM_TOOL_SCHEDULER_FIXTURE_H
#define SIM_TOOL_SCHEDULER_FIXTURE_H

/* A fixture for tests and benchmarks: a scheduler on a state table and a live set, without replication, for a
 * controller that always leads. It serves to inspect and measure single passes, also on fleets larger than the
 * simulator can run. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "planner.h"
#include "sim/world.h"

#define FIXTURE_CPU_MILLI 64000 /* CPU capacity of a worker. */
#define FIXTURE_EST_MS 3000     /* Estimated run time of a task. */

/* A scheduler with everything it depends on. index: of the last delivered change; jobs: number of jobs added. */
typedef struct SchedulerFixture {
    SimWorld *world;
    Loop *loop;
    Table *table;
    Liveset *liveset;
    Scheduler *scheduler;
    const Config *config;
    uint64_t index, jobs;
} SchedulerFixture;

/* Delivers a change to the state table, with the next index. */
static inline void deliver_change(SchedulerFixture *fixture, ChangeKind kind, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Record change = {.change = kind, .index = ++fixture->index, .at_ms = loop_now_ms(fixture->loop)};
    shape_pack(shape, body, mem, &change.payload);
    ChangeResult result = {0};
    const ReplicationState state = table_state(fixture->table);
    state.deliver(state.arg, &change, &result);
    talloc_free(mem);
}

/* The name of a worker by its index. */
static inline const char *worker_name(void *mem, size_t index)
{
    return talloc_asprintf(mem, "worker%05zu", index);
}

/* Passes a heartbeat of the worker to the live set. */
static inline void worker_heartbeat(SchedulerFixture *fixture, const Worker *worker)
{
    const HeartbeatAsk heartbeat = {
        .agent = worker->name, .incarnation = 1, .number = 1, .worker = *worker, .worker_live = true, .settled = true};
    bool list_counts;
    liveset_heartbeat(fixture->liveset, &heartbeat, loop_now_ms(fixture->loop), 60000, &list_counts);
}

/* Adds count workers with that CPU capacity each, in 3 zones and in racks of 6. */
static inline void workers_add(SchedulerFixture *fixture, size_t count, uint64_t cpu_milli)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++) {
        const Worker worker = {.name = worker_name(mem, i),
                               .zone = talloc_asprintf(mem, "zone%zu", i % 3),
                               .rack = talloc_asprintf(mem, "rack%zu", i / 6),
                               .kind = "std",
                               .resources = {cpu_milli, 262144, 0}};
        deliver_change(fixture, CHANGE_WORKER_SET, &Worker_shape, &worker);
        worker_heartbeat(fixture, &worker);
    }
    talloc_free(mem);
}

/* Passes another heartbeat of each of the first count workers to the live set. */
static inline void workers_heartbeat(SchedulerFixture *fixture, size_t count)
{
    void *mem = talloc_new(NULL);
    for (size_t i = 0; i < count; i++)
        worker_heartbeat(fixture, table_worker(fixture->table, worker_name(mem, i)));
    talloc_free(mem);
}

/* Adds a job of the tenant that consists of this step. lasting: its tasks run until the job is cancelled. */
static inline void job_of_tenant(SchedulerFixture *fixture, const char *tenant, StepSpec step, bool lasting)
{
    char id[32];
    snprintf(id, sizeof(id), "%016llx", (unsigned long long)++fixture->jobs);
    step.name = "0";
    step.kind = step.payload = step.near = "";
    if (step.est_ms == 0)
        step.est_ms = FIXTURE_EST_MS;
    const JobAdd add = {{.id = id,
                         .cell = "all",
                         .tenant = tenant,
                         .queue = fixture->jobs % 3 == 0 ? "a" : "b",
                         .attempt_limit = 3,
                         .lasting = lasting,
                         .steps = &step,
                         .steps_count = 1},
                        {.stretch_milli = 2000, .target_ms = 2000, .kind = "std"}};
    deliver_change(fixture, CHANGE_JOB_ADD, &JobAdd_shape, &add);
}

/* Adds a job of the default tenant that consists of this step. */
static inline void job_of_step(SchedulerFixture *fixture, StepSpec step)
{
    job_of_tenant(fixture, "all", step, false);
}

/* Adds a job of one step with that many tasks of that CPU demand each. */
static inline void job_add(SchedulerFixture *fixture, uint64_t tasks, uint64_t cpu_milli)
{
    job_of_step(fixture, (StepSpec){.count = tasks, .resources = {cpu_milli, 512, 0}});
}

/* Runs a pass up to its placements, which are not delivered. The caller frees the pass. */
static inline Pass *pass(SchedulerFixture *fixture)
{
    Pass *run = pass_new(fixture->scheduler, fixture->scheduler);
    pass_place_candidates(run);
    return run;
}

/* Runs passes and delivers their placements until a pass places nothing. Returns the number of placed tasks. */
static inline size_t settle(SchedulerFixture *fixture)
{
    size_t placed = 0, more = 1;
    while (more > 0) {
        Pass *run = pass(fixture);
        more = run->places.placements_count;
        placed += more;
        if (more > 0)
            deliver_change(fixture, CHANGE_PLACE, &PlaceList_shape, &run->places);
        talloc_free(run);
    }
    return placed;
}

/* SimStart function: stores the loop in *arg. */
static inline void loop_started(void *arg, Loop *loop)
{
    *(Loop **)arg = loop;
}

/* The functions of SchedulerLeader for a controller that always leads. No pass of this fixture submits a change. */
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
    const SchedulerFixture *fixture = arg;
    return (QueueClock){loop_now_ms(fixture->loop), loop_wall_ms(fixture->loop)};
}

static inline const Config *config(void *arg, uint64_t *stamp)
{
    const SchedulerFixture *fixture = arg;
    *stamp = 1;
    return fixture->config;
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

/* The fixture's scheduler. cluster_settings must outlive it. */
static inline Scheduler *scheduler_create(SchedulerFixture *fixture, const ClusterSettings *cluster_settings)
{
    return scheduler_new(fixture, &(SchedulerSettings){.loop = fixture->loop,
                                                       .recorder = recorder_new(fixture, "bench"),
                                                       .table = fixture->table,
                                                       .liveset = fixture->liveset,
                                                       .orphans = orphans_new(fixture),
                                                       .cluster_settings = cluster_settings,
                                                       .leader = {.arg = fixture,
                                                                  .leads = always_true,
                                                                  .decides = always_true,
                                                                  .won_ms = won_ms,
                                                                  .clock = clock_now,
                                                                  .config = config,
                                                                  .policy = policy,
                                                                  .policy_failures = policy_failures,
                                                                  .submit = submit_refuse}});
}

/* A fixture owned by mem, with count idle workers of 64 cores each. */
static inline SchedulerFixture *scheduler_fixture_new(void *mem, size_t count)
{
    static const char CONFIG[] =
        "{\"r\":0,\"cells\":{\"all\":{\"tenants\":{\"all\":{},\"full\":{\"quota\":{\"cpu\":64,\"memMb\":0}}},\"queues\":{\"a\":{\"priority\":1},\"b\":{}}}}}";
    SchedulerFixture *fixture = talloc_zero(mem, SchedulerFixture);
    fixture->world = sim_world_new(mem, 1);
    ClusterSettings *cluster_settings = talloc(fixture, ClusterSettings);
    Faults *faults = talloc_zero(fixture, Faults);
    *cluster_settings = cluster_settings_default();
    faults->mem = fixture;
    sim_start(fixture->world, sim_machine_new(fixture->world), loop_started, &fixture->loop);
    fixture->table = table_new(fixture);
    fixture->liveset = liveset_new(fixture);
    fixture->config = config_read(fixture, CONFIG, strlen(CONFIG), 1, faults);
    fixture->scheduler = scheduler_create(fixture, cluster_settings);
    const ConfigSet set = {.version = 1, .text = CONFIG};
    deliver_change(fixture, CHANGE_CONFIG_SET, &ConfigSet_shape, &set);
    workers_add(fixture, count, FIXTURE_CPU_MILLI);
    return fixture;
}

#endif
