/* Answers the messages of agents as leader: heartbeats, which also request orders, and updates of attempts. */
#include "agents.h"

#include <string.h>
#include <talloc.h>

#include "attempt_updates.h"
#include "heartbeat_commit.h"
#include "leader.h"
#include "orders.h"
#include "scheduler/attempt_progress.h"
#include "scheduler/checkpoint.h"

/* True if the state table does not yet record that the attempt is running. */
static bool running_unrecorded(const Controller *controller, const char *worker, const AttemptSaved *saved)
{
    const Job *job = table_job(controller->table, saved->job);
    const size_t at = job != NULL ? task_index(job, saved->task) : 0;
    if (job == NULL || at == job->tasks_count)
        return false;
    const JobTask *task = &job->tasks[at];
    /* The disks may have lost the placement. */
    return task->phase == TASK_WAITING
               ? saved->attempt > task->attempt
               : task->phase == TASK_PLACED && saved->attempt == task->attempt && strcmp(task->worker, worker) == 0;
}

/* Records the checkpoints and the progress of running attempts. Submits that an attempt is running where the state
 * table does not record it. */
static void running_attempts_record(Controller *controller, const HeartbeatAsk *heartbeat)
{
    for (size_t i = 0; i < heartbeat->saved_count; i++) {
        const AttemptSaved *saved = &heartbeat->saved[i];
        checkpoint_record(controller->scheduler, saved);
        progress_record(controller->scheduler, heartbeat->worker.name, saved);
        if (!running_unrecorded(controller, heartbeat->worker.name, saved))
            continue;
        const AttemptUpdate update = {.job = saved->job,
                                      .task = saved->task,
                                      .attempt = saved->attempt,
                                      .worker = heartbeat->worker.name,
                                      .word = ATTEMPT_RUNNING,
                                      .text = "",
                                      .saved = saved->text,
                                      .ran_ms = saved->ran_ms};
        attempt_updates_commit_later(controller, &update);
    }
    if (scheduler_place_from_ms(controller->scheduler) > loop_now_ms(controller->loop))
        attempt_updates_flush(controller);
}

/* Used after a loss of acknowledged changes. True if every known agent has listed all attempts that may run on its
 * worker, and the state table has all of them. */
static bool all_agents_reported(Controller *controller)
{
    void *mem = talloc_new(controller);
    const Worker **workers;
    const size_t count = table_workers(controller->table, mem, &workers);
    bool all = attempt_updates_idle(controller);
    for (size_t i = 0; i < count && all; i++) {
        const LiveRow *row = liveset_find(controller->liveset, workers[i]->name);
        all = workers[i]->excluded || (row != NULL && row->last_heartbeat_ms != INT64_MIN && row->settled);
    }
    const LiveRow **rows;
    const size_t row_count = liveset_rows(controller->liveset, mem, &rows);
    size_t reported = 0, agents = 0;
    for (size_t i = 0; i < row_count; i++)
        reported += rows[i]->last_heartbeat_ms != INT64_MIN && rows[i]->settled;
    const MemberTable *members = members_table(controller->members);
    for (size_t i = 0; i < members->count; i++)
        agents += members->rows[i].record.role == ROLE_AGENT && !members->rows[i].record.leaving;
    talloc_free(mem);
    return all && reported >= agents;
}

/* Lets the scheduler place tasks before the leases have expired, as soon as all agents have reported. */
static void placement_resume_early(Controller *controller)
{
    const int64_t now_ms = loop_now_ms(controller->loop);
    if (now_ms >= scheduler_place_from_ms(controller->scheduler) || controller->repairing ||
        !replication_leading(controller->replication) || !all_agents_reported(controller))
        return;
    scheduler_set_place_from(controller->scheduler, now_ms); /* The state table has all running attempts */
    scheduler_notify(controller->scheduler);
}

/* The state of a worker when this leader last received a heartbeat from its agent: whether its lease had expired
 * and whether it was leaving. */
typedef struct PreviousWorkerState {
    bool lapsed, leaving;
} PreviousWorkerState;

static PreviousWorkerState previous_worker_state(const LiveRow *row, int64_t now_ms)
{
    if (row == NULL || row->last_heartbeat_ms == INT64_MIN)
        return (PreviousWorkerState){0};
    return (PreviousWorkerState){now_ms > row->until_ms, row->leaving};
}

static void worker_changes_log(Controller *controller, const LiveRow *row, PreviousWorkerState before, int64_t now_ms)
{
    const LogFields fields = {.peer = row->name};
    if (before.lapsed)
        log_event(controller->recorder, LOG_WORKER_RETURNED, now_ms, &fields);
    if (row->leaving && !before.leaving)
        log_event(controller->recorder, LOG_WORKER_LEAVES, now_ms, &fields);
}

static Status on_heartbeat(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const HeartbeatAsk *heartbeat = request;
    HeartbeatAnswer *out = answer;
    out->term = replication_led_term(controller->replication);
    if (!replication_lease_valid(controller->replication))
        return STATUS_NOT_LEADER;
    if (!is_valid_name(heartbeat->worker.name) || !is_valid_name(heartbeat->worker.zone))
        return STATUS_BAD_FIELD;
    const int64_t now_ms = loop_now_ms(controller->loop);
    const LiveRow *before = liveset_find(controller->liveset, heartbeat->worker.name);
    const bool was_ready = before != NULL && live_row_ready(before, now_ms) && !live_row_overdue(before, now_ms);
    const PreviousWorkerState previous = previous_worker_state(before, now_ms);
    bool list_usable;
    const int64_t lease_ms = controller->settings->cluster_settings.lease_ms;
    const Status status = liveset_heartbeat(controller->liveset, heartbeat, now_ms, lease_ms, &list_usable);
    if (status != STATUS_OK)
        return status;
    worker_changes_log(controller, liveset_find(controller->liveset, heartbeat->worker.name), previous, now_ms);
    if (liveset_find(controller->liveset, heartbeat->worker.name)->number == heartbeat->number) {
        orphans_heartbeat(controller->orphans, controller->table, heartbeat, now_ms);
        description_record(controller, heartbeat);
    }
    liveset_heartbeat_waiting(controller->liveset, heartbeat->worker.name, now_ms);
    if (was_ready != live_row_ready(liveset_find(controller->liveset, heartbeat->worker.name), now_ms))
        scheduler_notify(controller->scheduler);
    running_attempts_record(controller, heartbeat);
    if (!controller->repairing && replication_leading(controller->replication))
        heartbeat_commit(controller, heartbeat, list_usable);
    placement_resume_early(controller);
    if (heartbeat->wait_ms > 0)
        orders_answer(controller, mem, heartbeat,
                      heartbeat->wait_ms < HEARTBEAT_WAIT_MS ? heartbeat->wait_ms : HEARTBEAT_WAIT_MS, out);
    liveset_heartbeat_answered(controller->liveset, heartbeat->worker.name, loop_now_ms(controller->loop));
    /* This node may have lost leadership while it waited; the lease must not be relied on then. */
    if (!replication_lease_valid(controller->replication))
        return STATUS_NOT_LEADER;
    out->term = replication_led_term(controller->replication);
    out->lease_ms = lease_ms;
    return STATUS_OK;
}

static Status on_notify(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const NotifyAsk *ask = request;
    (void)mem;
    ((NotifyAnswer *)answer)->term = replication_led_term(controller->replication);
    if (!replication_leading(controller->replication))
        return STATUS_NOT_LEADER;
    if (controller->repairing)
        return STATUS_REPAIRING;
    liveset_report_sent(controller->liveset, ask->agent, ask->incarnation, ask->number);
    /* The answer is sent only after the commit: until then the agent resends the updates. */
    return attempt_updates_commit(controller, ask->updates, ask->updates_count);
}

/* Answers agents of the first release, which request orders separately from their heartbeats. */
static Status on_fetch(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const FetchAsk *ask = request;
    FetchAnswer *out = answer;
    const HeartbeatAsk heartbeat = {
        .worker.name = ask->agent, .incarnation = ask->incarnation, .have = ask->have, .have_term = ask->have_term};
    HeartbeatAnswer orders = {0};
    out->term = replication_led_term(controller->replication);
    if (!replication_leading(controller->replication))
        return STATUS_NOT_LEADER;
    if (controller->repairing)
        return STATUS_REPAIRING;
    const LiveRow *row = liveset_find(controller->liveset, ask->agent);
    if (row == NULL)
        return STATUS_UNKNOWN_WORKER; /* A heartbeat has to come first */
    if (row->incarnation != ask->incarnation)
        return STATUS_DUPLICATE_WORKER;
    orders_answer(controller, mem, &heartbeat, ORDERS_FETCH_WAIT_MS, &orders);
    if (!orders.orders)
        return STATUS_BUSY;
    *out = (FetchAnswer){replication_led_term(controller->replication),
                         orders.starts_cut ? orders.version - 1 : orders.version,
                         orders.timeout_ms,
                         orders.starts,
                         orders.starts_count,
                         orders.wanted,
                         orders.wanted_count};
    return STATUS_OK;
}

/* Answers an isolated agent, which asks whether this node knows a leader, and for the list of voters (see
 * agent/src/isolated.c). */
static Status on_know(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    KnowAnswer *out = answer;
    (void)request;
    uint64_t voters[VOTERS_MAX];
    out->knows = replication_knows_leader(controller->replication);
    out->term = members_leader_term(controller->members);
    out->voters_count = replication_voters(controller->replication, voters);
    out->voters = talloc_array(mem, DiskId, VOTERS_MAX);
    for (size_t i = 0; i < out->voters_count; i++)
        out->voters[i].disk = voters[i];
    return STATUS_OK;
}

void agents_serve(Controller *controller)
{
    orders_start(controller);
    attempt_updates_start(controller);
    rpc_handle(controller->rpc, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &HeartbeatAnswer_shape, on_heartbeat,
               controller);
    rpc_handle(controller->rpc, MESSAGE_KNOW, &KnowAsk_shape, &KnowAnswer_shape, on_know, controller);
    rpc_handle(controller->rpc, MESSAGE_NOTIFY, &NotifyAsk_shape, &NotifyAnswer_shape, on_notify, controller);
    rpc_handle(controller->rpc, MESSAGE_FETCH, &FetchAsk_shape, &FetchAnswer_shape, on_fetch, controller);
}
