/* A worker model: its process, its heartbeats, its pace, and its shutdown. */
#include "late_call.h"
#include "worker_model.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define ANSWER_TIMEOUT_MS 1000 /* timeout of a heartbeat; a later answer is ignored */
#define UPDATE_GAP_MS 50       /* delay of the heartbeat that reports an end, so that it can report several */
#define HEARTBEAT_RETRY_MS 300 /* interval after a failed heartbeat */
#define LEAVE_TIMEOUT_MS 4000  /* time limit for the acknowledgement of leaving, after the time to leave */
#define HEARTBEAT_ENDS_MAX 500 /* maximum number of ends in one heartbeat */
#define ANSWER_BYTES_MAX (4 * 1024 * 1024) /* a larger answer to a heartbeat is ignored */

void worker_model_update_pace(WorkerModel *worker_model)
{
    for (WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        worker_group_update_rate(run->worker_group);
        for (size_t i = 0; i < run->worker_group->count; i++)
            signal_raise(run->worker_group->members[i]->worker_model->loop,
                         &run->worker_group->members[i]->worker_model->work);
    }
}

void worker_model_slow(WorkerModel *worker_model, int64_t slow_factor)
{
    worker_model->slow_factor = slow_factor;
    if (worker_model->up)
        worker_model_update_pace(worker_model);
}

void worker_model_hang(WorkerModel *worker_model, bool hangs)
{
    worker_model->hangs = hangs;
    if (worker_model->up)
        worker_model_update_pace(worker_model);
}

/* --- heartbeats --------------------------------------------------------------------------------------------- */

static void fill_report(WorkerModel *worker_model, void *mem, WorkerModelReport *report)
{
    const int64_t now_ms = topology_now_ms(worker_model->worker_models->topology);
    size_t count = 0;
    for (const WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next)
        count++;
    *report = (WorkerModelReport){
        .kind = worker_model->kind,
        .zone = worker_model->zone,
        .label = worker_model->label,
        .rack = worker_model->rack,
        .address = talloc_asprintf(mem, "%s:8080",
                                   sim_address(worker_model->worker_models->topology->world, worker_model->machine)),
        .resources = worker_model->resources,
        .leaving = worker_model->leaving,
        .leave_ms = worker_model->leave_at_ms > now_ms ? worker_model->leave_at_ms - now_ms : 0,
        .clock_ms = loop_now_ms(worker_model->loop),
        .sequence = ++worker_model->sequence,
        .running = talloc_zero_array(mem, WorkerModelRunning, (unsigned)count),
        .ended = talloc_zero_array(mem, WorkerModelEnded, HEARTBEAT_ENDS_MAX)};
    for (WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        worker_group_advance(run->worker_group);
        const int64_t work_ms = run->worker_group->work_us / 1000;
        report->running[report->running_count++] =
            (WorkerModelRunning){run->task->name, run->attempt,
                                 job_records_checkpoint_text(mem, run->task, worker_model_saved_ms(run, false)),
                                 work_ms > 0 ? (int)(worker_group_progress_ms(run->worker_group) * 100 / work_ms) : 0};
    }
    worker_model->worker_models->topology->bounds[BOUND_ENDS_CUT] += worker_model->end_count > HEARTBEAT_ENDS_MAX;
    for (size_t i = 0; i < worker_model->end_count && i < HEARTBEAT_ENDS_MAX; i++)
        report->ended[report->ended_count++] = worker_model->ends[i].reported;
}

static void record_leave_acknowledged(WorkerModel *worker_model)
{
    if (!worker_model->leaving || worker_model->leave_ack_ms != 0)
        return;
    worker_model->leave_ack_ms = topology_now_ms(worker_model->worker_models->topology);
    worker_model->leave_ack_in_touch = node_in_touch(worker_model->agent_node);
}

/* Sends a heartbeat; returns the time until the next one is due, in ms. Suspends the coroutine. */
static int64_t send_heartbeat(WorkerModel *worker_model, void *mem)
{
    const Topology *topology = worker_model->worker_models->topology;
    const Codec *codec = topology->codec;
    WorkerModelReport report;
    fill_report(worker_model, mem, &report);
    worker_model->update_open = false;
    const bool leaving = report.leaving;
    HttpCall call = {.mem = mem,
                     .address =
                         talloc_asprintf(mem, "%s:%d", sim_address(topology->world, worker_model->agent_node->machine),
                                         codec->operator_port),
                     .method = "POST",
                     .path = codec->heartbeat_path(mem, worker_model->boot, false),
                     .body = codec->report(mem, &report),
                     .wait_ms = ANSWER_TIMEOUT_MS};
    const int64_t sent_ms = loop_now_ms(worker_model->loop);
    if (late_heartbeat_drawn(worker_model, &call)) {
        loop_sleep(worker_model->loop, ANSWER_TIMEOUT_MS);
        worker_model->update_open = true;
        return HEARTBEAT_RETRY_MS;
    }
    const Status status = loop_call(worker_model->loop, &call);
    worker_model->worker_models->topology->bounds[BOUND_LARGE_ANSWERS] +=
        call.response_body.count > ANSWER_BYTES_MAX / 4;
    WorkerModelAnswer *orders = talloc_zero(mem, WorkerModelAnswer);
    if (status != STATUS_OK || call.code < 200 || call.code > 299 ||
        loop_now_ms(worker_model->loop) - sent_ms > ANSWER_TIMEOUT_MS || call.response_body.count > ANSWER_BYTES_MAX ||
        !codec->orders(mem, call.response_body, orders)) {
        worker_model->update_open = true;
        return HEARTBEAT_RETRY_MS;
    }
    if (leaving)
        record_leave_acknowledged(worker_model);
    worker_model_apply_orders(worker_model, orders, sent_ms);
    return orders->next_heartbeat_ms >= 0 && orders->next_heartbeat_ms < topology->site->heartbeat_ms
               ? orders->next_heartbeat_ms
               : topology->site->heartbeat_ms;
}

static void heartbeat_main(void *arg)
{
    WorkerModel *worker_model = arg;
    for (;;) {
        void *mem = talloc_new(worker_model->mem);
        const int64_t wait_ms = send_heartbeat(worker_model, mem);
        talloc_free(mem);
        const int64_t until_ms = loop_now_ms(worker_model->loop) + wait_ms;
        if (wait_ms == HEARTBEAT_RETRY_MS && worker_model->update_open)
            loop_sleep(worker_model->loop, wait_ms);
        else if (worker_model->update_open || signal_wait(worker_model->loop, &worker_model->updates, until_ms))
            loop_sleep(worker_model->loop, UPDATE_GAP_MS);
    }
}

/* --- leaving --------------------------------------------------------------------------------- */

static void end_after_leaving(void *arg)
{
    WorkerModel *worker_model = arg;
    if (worker_model->up && (worker_model->leaving || worker_model->departs))
        worker_model_crash(worker_model, false);
}

/* Notifies the agent that the worker's process is about to end. Suspends the coroutine. */
static void announce_end(WorkerModel *worker_model)
{
    const Topology *topology = worker_model->worker_models->topology;
    void *mem = talloc_new(worker_model->mem);
    HttpCall call = {.mem = mem,
                     .address =
                         talloc_asprintf(mem, "%s:%d", sim_address(topology->world, worker_model->agent_node->machine),
                                         topology->codec->operator_port),
                     .method = "POST",
                     .path = topology->codec->heartbeat_path(mem, worker_model->boot, true),
                     .wait_ms = ANSWER_TIMEOUT_MS};
    loop_call(worker_model->loop, &call);
    talloc_free(mem);
    topology_log(topology, "%s has announced its end", worker_model->boot);
}

/* Announces the end first, and runs on until the time to leave. */
static void depart_main(void *arg)
{
    WorkerModel *worker_model = arg;
    const Topology *topology = worker_model->worker_models->topology;
    announce_end(worker_model);
    worker_model->worker_models->topology->bounds[BOUND_DEPARTED_FIRST]++;
    const int64_t left_ms = worker_model->leave_at_ms - topology_now_ms(topology);
    if (left_ms > 0)
        loop_sleep(worker_model->loop, left_ms);
    sim_schedule(topology->world, topology_now_ms(topology), end_after_leaving, worker_model);
}

static void leave_main(void *arg)
{
    WorkerModel *worker_model = arg;
    const Topology *topology = worker_model->worker_models->topology;
    for (;;) {
        const int64_t now_ms = topology_now_ms(topology);
        const bool leave_known =
            worker_model->leave_ack_ms != 0 && now_ms >= worker_model->leave_ack_ms + topology->site->drain_ms + 100;
        if (now_ms >= worker_model->leave_at_ms &&
            (leave_known || now_ms >= worker_model->leave_at_ms + LEAVE_TIMEOUT_MS))
            break;
        loop_sleep(worker_model->loop, 50);
    }
    announce_end(worker_model);
    sim_schedule(topology->world, topology_now_ms(topology), end_after_leaving, worker_model);
}

void worker_model_leave(WorkerModel *worker_model, int64_t after_ms)
{
    const Topology *topology = worker_model->worker_models->topology;
    if (!worker_model->up || worker_model->leaving || worker_model->departs)
        return;
    worker_model->leave_at_ms = topology_now_ms(topology) + after_ms;
    RandomSource random_source = random_source_new(topology->seed, worker_model->boot, 0);
    if (random_source_percent(&random_source, topology->site->depart_first_percent)) {
        worker_model->departs = true;
        loop_spawn(worker_model->loop, "depart", depart_main, worker_model);
        return;
    }
    worker_model->leaving = true;
    worker_model->update_open = true;
    signal_raise(worker_model->loop, &worker_model->updates);
    loop_spawn(worker_model->loop, "leave", leave_main, worker_model);
}

/* --- process --------------------------------------------------------------------------------- */

static void process_start(void *arg, Loop *loop)
{
    WorkerModel *worker_model = arg;
    worker_model->mem = talloc_new(loop);
    worker_model->loop = loop;
    worker_model->sequence = worker_model->fence = worker_model->end_number = 0;
    worker_model->lease_until_ms = 0;
    worker_model->runs = NULL;
    worker_model->ends = NULL;
    worker_model->end_count = 0;
    worker_model->highest = map_new(worker_model->mem);
    worker_model->work = worker_model->updates = (Signal){0};
    worker_model->leaving = worker_model->departs = worker_model->update_open = false;
    worker_model->leave_at_ms = worker_model->leave_ack_ms = 0;
    loop_spawn(loop, "work", worker_model_work_main, worker_model);
    loop_spawn(loop, "beat", heartbeat_main, worker_model);
}

void worker_model_start(WorkerModel *worker_model)
{
    if (worker_model->up)
        return;
    worker_model->incarnation++;
    snprintf(
        worker_model->boot, sizeof(worker_model->boot), "i-%08" PRIx64,
        random_source_new(worker_model->worker_models->topology->seed, "boot", worker_model->worker_models->boots++)
                .state >>
            32);
    worker_model->up = true;
    sim_start(worker_model->worker_models->topology->world, worker_model->machine, process_start, worker_model);
}

void worker_model_crash(WorkerModel *worker_model, bool power)
{
    if (!worker_model->up)
        return;
    worker_model->up = false;
    while (worker_model->runs != NULL) {
        WorkerModelRun *run = worker_model->runs;
        topology_log_task(worker_model->worker_models->topology, &run->task->name,
                          "attempt %" PRIu64 " ended with the process %s", run->attempt, worker_model->boot);
        WorkerGroup *worker_group = run->worker_group;
        WorkerModelRun *others[sizeof(worker_group->members) / sizeof(worker_group->members[0])];
        size_t count = 0;
        for (size_t i = 0; i < worker_group->count && worker_group->begun; i++)
            if (worker_group->members[i]->worker_model != worker_model)
                others[count++] = worker_group->members[i];
        worker_model_run_drop(run);
        for (size_t i = 0; i < count; i++)
            worker_model_run_end(others[i], ATTEMPT_BROKEN);
    }
    if (power)
        sim_power_off(worker_model->worker_models->topology->world, worker_model->machine);
    else
        sim_kill(worker_model->worker_models->topology->world, worker_model->machine);
}

WorkerModels *worker_models_new(void *mem, JobRecords *records, SentDocuments *sent_documents)
{
    static const int64_t SPEEDS[] = {100, 80, 125};
    WorkerModels *worker_models = talloc_zero(mem, WorkerModels);
    Topology *topology = records->topology;
    const Site *site = topology->site;
    worker_models->topology = topology;
    worker_models->records = records;
    worker_models->sent_documents = sent_documents;
    worker_models->count = topology->agent_count;
    for (size_t i = 0; i < worker_models->count; i++) {
        WorkerModel *worker_model = &worker_models->list[i];
        *worker_model =
            (WorkerModel){.worker_models = worker_models,
                          .agent_node = &topology->agents[i],
                          .machine = sim_machine_new(topology->world),
                          .number = (int)i,
                          .kind = "std",
                          .zone = topology->agents[i].zone,
                          .label = i % 2 == 0 ? "a" : "b",
                          .resources = {(uint64_t)site->worker_model_cpu_milli, (uint64_t)site->worker_model_mem_mb, 0},
                          .speed = SPEEDS[i % 3],
                          .slow_factor = 1};
        snprintf(worker_model->rack, sizeof(worker_model->rack), "r%" PRId64 "-%" PRId64, (int64_t)i % site->zones,
                 (int64_t)i / site->zones / site->rack_worker_models);
        if (i % 3 == 1 && site->slow_percent > 0)
            sim_clock_rate(topology->world, worker_model->machine, 100 - site->slow_percent);
    }
    return worker_models;
}

void worker_models_start(WorkerModels *worker_models)
{
    late_calls_start(worker_models->topology);
    for (size_t i = 0; i < worker_models->count; i++)
        worker_model_start(&worker_models->list[i]);
}
