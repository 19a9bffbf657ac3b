/* The leader towards agents: heartbeats, updates of attempts, questions for orders. */
#include "agents.h"

#include <string.h>
#include <talloc.h>

#include "attempt_updates.h"
#include "leader.h"
#include "orders.h"
#include "scheduler/attempt_pace.h"
#include "scheduler/checkpoint.h"

static bool listed(const HeartbeatAsk *heartbeat, const char *job, uint64_t task, uint64_t attempt)
{
    for (size_t i = 0; i < heartbeat->attempts_count; i++)
        if (heartbeat->attempts[i].attempt == attempt && heartbeat->attempts[i].task == task &&
            strcmp(heartbeat->attempts[i].job, job) == 0)
            return true;
    return false;
}

/* Whether an attempt that is to be stopped is over, since its agent does not list it: it has stopped, or it
 * never came there. An order for it may still be under way until its deadline, or until the agent has newer
 * ones. */
static bool stop_over(const Controller *controller, const HeartbeatAsk *heartbeat, const JobTask *task)
{
    return task->phase == TASK_STOPPING &&
           (replication_clock_ms(controller->replication) - task->changed_ms > ORDER_GONE_MS ||
            (heartbeat->have_term == configuration_term(controller->replication) &&
             heartbeat->have == table_orders(controller->table, heartbeat->worker.name)));
}

/* Attempts that should run there and that a complete list does not have are lost; those that were to stop have
 * stopped. */
static AttemptList missing(const Controller *controller, void *mem, const HeartbeatAsk *heartbeat)
{
    AttemptList list = {0};
    const TaskOn *on;
    const size_t count = table_on(controller->table, heartbeat->worker.name, &on);
    for (size_t i = 0; i < count; i++) {
        const Job *job = on[i].job;
        const JobTask *task = &job->tasks[on[i].task];
        const uint64_t number = task_number(task);
        if ((task->phase != TASK_RUNNING && !stop_over(controller, heartbeat, task)) ||
            listed(heartbeat, job->spec.id, number, task->attempt))
            continue;
        if (list.updates == NULL)
            list.updates = talloc_array(mem, AttemptUpdate, (unsigned)count);
        list.updates[list.updates_count++] =
            (AttemptUpdate){.job = talloc_strdup(mem, job->spec.id),
                            .task = number,
                            .attempt = task->attempt,
                            .worker = talloc_strdup(mem, heartbeat->worker.name),
                            .word = task->phase == TASK_STOPPING ? ATTEMPT_STOPPED : ATTEMPT_LOST,
                            .text = "not on its worker any more",
                            .saved = ""};
    }
    return list;
}

/* What a heartbeat makes known, committed beside it: the lease does not wait for the disks. */
typedef struct Learning {
    Controller *controller;
    AgentSession *line;
    Worker worker;
    bool learn, left;
    AttemptList missing;
} Learning;

static void learn_main(void *arg)
{
    Learning *learning = arg;
    Controller *controller = learning->controller;
    ChangeResult result;
    update_notify(controller, learning->missing.updates, learning->missing.updates_count);
    if (learning->learn)
        controller_submit(controller, learning, CHANGE_WORKER_SET, &Worker_shape, &learning->worker, &result);
    if (learning->left) {
        const WorkerLeft left = {learning->worker.name, true};
        controller_submit(controller, learning, CHANGE_WORKER_LEFT, &WorkerLeft_shape, &left, &result);
    }
    learning->line->learning = false;
    talloc_free(learning);
}

/* One at a time for each worker: what is being committed need not be submitted again. */
static void learn(Controller *controller, const HeartbeatAsk *heartbeat, bool list_counts)
{
    AgentSession *line = agent_session(controller, heartbeat->worker.name);
    if (line->learning)
        return;
    const Worker *known = table_worker(controller->table, heartbeat->worker.name);
    Worker worker = heartbeat->worker;
    const bool here = heartbeat->worker_live && !heartbeat->leaving;
    worker.excluded = known != NULL && known->excluded && !here;
    const bool learns = heartbeat->worker_live && (known == NULL || !shape_equal(&Worker_shape, known, &worker));
    /* drained: it said so, it is gone, and no attempt of ours is left on it */
    const bool left = known != NULL && !known->excluded && heartbeat->leaving && !heartbeat->worker_live &&
                      heartbeat->settled && heartbeat->attempts_count == 0;
    void *mem = talloc_new(controller);
    const AttemptList gone = list_counts ? missing(controller, mem, heartbeat) : (AttemptList){0};
    if (learns || left || gone.updates_count > 0) {
        Learning *learning = talloc_zero(controller, Learning);
        *learning = (Learning){.controller = controller, .line = line, .learn = learns, .left = left, .missing = gone};
        shape_copy(&Worker_shape, &worker, learning, &learning->worker);
        talloc_steal(learning, mem);
        line->learning = true;
        loop_spawn(controller->loop, "learn", learn_main, learning);
    } else {
        talloc_free(mem);
    }
}

/* Whether the table has yet to be told that the attempt runs. */
static bool runs_untold(const Controller *controller, const char *worker, const AttemptSaved *saved)
{
    const Job *job = table_job(controller->table, saved->job);
    const size_t at = job != NULL ? task_index(job, saved->task) : 0;
    if (job == NULL || at == job->tasks_count)
        return false;
    const JobTask *task = &job->tasks[at];
    /* its placement may have been lost with the disks */
    return task->phase == TASK_WAITING
               ? saved->attempt > task->attempt
               : task->phase == TASK_PLACED && saved->attempt == task->attempt && strcmp(task->worker, worker) == 0;
}

static void runs_take(Controller *controller, const HeartbeatAsk *heartbeat)
{
    for (size_t i = 0; i < heartbeat->saved_count; i++) {
        const AttemptSaved *saved = &heartbeat->saved[i];
        saved_take(controller->scheduler, saved);
        pace_take(controller->scheduler, heartbeat->worker.name, saved);
        if (!runs_untold(controller, heartbeat->worker.name, saved))
            continue;
        const AttemptUpdate updates = {.job = saved->job,
                                       .task = saved->task,
                                       .attempt = saved->attempt,
                                       .worker = heartbeat->worker.name,
                                       .word = ATTEMPT_RUNNING,
                                       .text = "",
                                       .saved = saved->text,
                                       .ran_ms = saved->ran_ms};
        update_later(controller, &updates);
    }
    if (scheduler_place_from_ms(controller->scheduler) > loop_now_ms(controller->loop))
        update_hurry(controller);
}

/* After a loss of acknowledged changes: every known agent has told of all attempts that may run beside it, and
 * the table has them. */
static bool all_heard(Controller *controller)
{
    void *mem = talloc_new(controller);
    const Worker **workers;
    const size_t count = table_workers(controller->table, mem, &workers);
    bool all = update_idle(controller);
    for (size_t i = 0; i < count && all; i++) {
        const LiveRow *row = liveset_find(controller->liveset, workers[i]->name);
        all = workers[i]->excluded || (row != NULL && row->heard_ms != INT64_MIN && row->settled);
    }
    const LiveRow **rows;
    const size_t row_count = liveset_rows(controller->liveset, mem, &rows);
    size_t heard = 0, agents = 0;
    for (size_t i = 0; i < row_count; i++)
        heard += rows[i]->heard_ms != INT64_MIN && rows[i]->settled;
    const MemberTable *members = members_table(controller->members);
    for (size_t i = 0; i < members->count; i++)
        agents += members->rows[i].record.role == ROLE_AGENT && !members->rows[i].record.leaving;
    talloc_free(mem);
    return all && heard >= agents;
}

static void place_maybe(Controller *controller)
{
    const int64_t now_ms = loop_now_ms(controller->loop);
    if (now_ms >= scheduler_place_from_ms(controller->scheduler) || controller->repairing ||
        !replication_leading(controller->replication) || !all_heard(controller))
        return;
    scheduler_set_place_from(controller->scheduler, now_ms); /* no attempt that the log has lost still runs */
    scheduler_notify(controller->scheduler);
}

/* Whether the worker's lease had lapsed, or it was leaving, when its agent was last heard by this leader. */
typedef struct WorkerBefore {
    bool lapsed, leaving;
} WorkerBefore;

static WorkerBefore worker_before(const LiveRow *row, int64_t now_ms)
{
    if (row == NULL || row->heard_ms == INT64_MIN)
        return (WorkerBefore){0};
    return (WorkerBefore){now_ms > row->until_ms, row->leaving};
}

static void worker_log(Controller *controller, const LiveRow *row, WorkerBefore before, int64_t now_ms)
{
    const LogFields fields = {.peer = row->name};
    if (before.lapsed)
        log_event(controller->recorder, LOG_WORKER_RETURNED, now_ms, &fields);
    if (row->leaving && !before.leaving)
        log_event(controller->recorder, LOG_WORKER_LEAVES, now_ms, &fields);
}

static Status on_heartbeat(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const HeartbeatAsk *heartbeat = question;
    HeartbeatAnswer *out = answer;
    out->term = configuration_term(controller->replication);
    if (!replication_leased(controller->replication))
        return STATUS_NOT_LEADER;
    if (!check_name_text(heartbeat->worker.name) || !check_name_text(heartbeat->worker.zone))
        return STATUS_BAD_FIELD;
    const int64_t now_ms = loop_now_ms(controller->loop);
    const LiveRow *before = liveset_find(controller->liveset, heartbeat->worker.name);
    const bool was_ready = before != NULL && live_row_ready(before, now_ms);
    const WorkerBefore worker_was = worker_before(before, now_ms);
    bool list_counts;
    const int64_t lease_ms = controller->settings->bounds.lease_ms;
    const Status status = liveset_heartbeat(controller->liveset, heartbeat, now_ms, lease_ms, &list_counts);
    if (status != STATUS_OK)
        return status;
    worker_log(controller, liveset_find(controller->liveset, heartbeat->worker.name), worker_was, now_ms);
    if (liveset_find(controller->liveset, heartbeat->worker.name)->number == heartbeat->number)
        orphans_heartbeat(controller->orphans, controller->table, heartbeat, now_ms);
    if (was_ready != live_row_ready(liveset_find(controller->liveset, heartbeat->worker.name), now_ms))
        scheduler_notify(controller->scheduler);
    runs_take(controller, heartbeat);
    if (!controller->repairing && replication_leading(controller->replication))
        learn(controller, heartbeat, list_counts);
    place_maybe(controller);
    if (heartbeat->wait_ms > 0)
        orders_answer(controller, mem, heartbeat,
                      heartbeat->wait_ms < HEARTBEAT_WAIT_MS ? heartbeat->wait_ms : HEARTBEAT_WAIT_MS, out);
    /* the lease counts from when the question was sent, so a leader that has lost the lock since has granted it
     * before: but nobody is to count on it any more */
    if (!replication_leased(controller->replication))
        return STATUS_NOT_LEADER;
    out->term = configuration_term(controller->replication);
    out->lease_ms = lease_ms;
    return STATUS_OK;
}

static Status on_notify(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const NotifyAsk *ask = question;
    (void)mem;
    ((NotifyAnswer *)answer)->term = configuration_term(controller->replication);
    if (!replication_leading(controller->replication))
        return STATUS_NOT_LEADER;
    if (controller->repairing)
        return STATUS_REPAIRING;
    liveset_notified(controller->liveset, ask->agent, ask->incarnation, ask->number);
    /* answered only after the commit: until then the agent sends it again */
    return update_notify(controller, ask->updates, ask->updates_count);
}

/* The protocol of agents of the first release. */
static Status on_fetch(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const FetchAsk *ask = question;
    FetchAnswer *out = answer;
    const HeartbeatAsk heartbeat = {
        .worker.name = ask->agent, .incarnation = ask->incarnation, .have = ask->have, .have_term = ask->have_term};
    HeartbeatAnswer orders = {0};
    out->term = configuration_term(controller->replication);
    if (!replication_leading(controller->replication))
        return STATUS_NOT_LEADER;
    if (controller->repairing)
        return STATUS_REPAIRING;
    const LiveRow *row = liveset_find(controller->liveset, ask->agent);
    if (row == NULL)
        return STATUS_UNKNOWN_WORKER; /* it has to send a heartbeat first */
    if (row->incarnation != ask->incarnation)
        return STATUS_DUPLICATE_WORKER;
    orders_answer(controller, mem, &heartbeat, FETCH_WAIT_MS, &orders);
    if (!orders.orders)
        return STATUS_BUSY;
    *out = (FetchAnswer){configuration_term(controller->replication),
                         orders.version,
                         orders.timeout_ms,
                         orders.starts,
                         orders.starts_count,
                         orders.wanted,
                         orders.wanted_count};
    return STATUS_OK;
}

static Status on_know(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    KnowAnswer *out = answer;
    (void)question;
    uint64_t voters[VOTER_MOST];
    out->knows = replication_knows_holder(controller->replication);
    out->term = members_leader_term(controller->members);
    out->voters_count = replication_voters(controller->replication, voters);
    out->voters = talloc_array(mem, DiskId, VOTER_MOST);
    for (size_t i = 0; i < out->voters_count; i++)
        out->voters[i].disk = voters[i];
    return STATUS_OK;
}

void agents_serve(Controller *controller)
{
    orders_start(controller);
    update_start(controller);
    rpc_handle(controller->rpc, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &HeartbeatAnswer_shape, on_heartbeat,
               controller);
    rpc_handle(controller->rpc, MESSAGE_KNOW, &KnowAsk_shape, &KnowAnswer_shape, on_know, controller);
    rpc_handle(controller->rpc, MESSAGE_NOTIFY, &NotifyAsk_shape, &NotifyAnswer_shape, on_notify, controller);
    rpc_handle(controller->rpc, MESSAGE_FETCH, &FetchAsk_shape, &FetchAnswer_shape, on_fetch, controller);
}
