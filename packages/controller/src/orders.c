/* Orders tell a worker what to run. They are sent in the answer to its agent's waiting request as soon as they
 * change. */
#include "orders.h"

#include <string.h>
#include <talloc.h>

#include "heartbeat/attempt_set.h"
#include "leader.h"
#include "plan/plan.h"

AgentSession *agent_session(Controller *controller, const char *worker)
{
    AgentSession *session = map_get(controller->agent_sessions, worker);
    if (session == NULL) {
        session = talloc_zero(controller->agent_sessions, AgentSession);
        map_set(controller->agent_sessions, worker, session);
    }
    return session;
}

static void on_orders(void *arg, const char *worker)
{
    Controller *controller = arg;
    AgentSession *session = map_get(controller->agent_sessions, worker);
    if (session != NULL)
        signal_raise(controller->loop, &session->changed);
}

void orders_recheck(Controller *controller)
{
    void *mem = talloc_new(controller);
    const char **names;
    const size_t count = map_keys(controller->agent_sessions, mem, &names);
    for (size_t i = 0; i < count; i++)
        signal_raise(controller->loop, &((AgentSession *)map_get(controller->agent_sessions, names[i]))->changed);
    talloc_free(mem);
}

void orders_start(Controller *controller)
{
    controller->agent_sessions = map_new(controller);
    table_watch_orders(controller->table, on_orders, controller);
}

bool worker_is_unfit(const Controller *controller, const HeartbeatAsk *heartbeat, const Job *job, uint64_t step)
{
    const LiveRow *row = liveset_find(controller->liveset, heartbeat->worker.name);
    const Worker *worker = &heartbeat->worker;
    const StepSpec *spec = &job->spec.steps[step];
    const PlanWorker empty = {
        .kind = worker->kind, .labels = worker->labels, .label_count = worker->labels_count, .free = worker->resources};
    const PlanNeed need = {spec->resources, queue_kind(job, step), spec->labels, spec->labels_count};
    return heartbeat->worker_live && ((row != NULL && row->description_pending) || !plan_fits(&empty, &need));
}

/* Lists the attempts that the worker should run, and those of them to start, which the agent does not list yet. A task
 * that was placed by an earlier description of the worker, which it does not meet any more, is not started. The texts
 * belong to the state table: the answer must be packed before anything else is delivered. */
static void orders_list(Controller *controller, void *mem, const HeartbeatAsk *heartbeat, HeartbeatAnswer *out)
{
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(controller->table, heartbeat->worker.name, &on);
    out->wanted = talloc_array(mem, AttemptId, (unsigned)count);
    out->starts = talloc_array(mem, Order, (unsigned)count);
    size_t starts_bytes = 0;
    const AttemptSet *listed = attempt_set_new(mem, heartbeat->attempts, heartbeat->attempts_count);
    for (size_t i = 0; i < count; i++) {
        const Job *job = on[i].job;
        const JobTask *task = &job->tasks[on[i].task];
        if (task->phase != TASK_PLACED && task->phase != TASK_RUNNING)
            continue;
        const char *id = job->spec.id;
        const uint64_t number = task_number(task);
        out->wanted[out->wanted_count++] = (AttemptId){id, number, task->attempt};
        if (task->phase != TASK_PLACED || attempt_set_has(listed, id, number, task->attempt) ||
            worker_is_unfit(controller, heartbeat, job, task->step))
            continue;
        const StepSpec *step = &job->spec.steps[task->step];
        starts_bytes += strlen(step->payload) + strlen(task->saved);
        if (starts_bytes > ORDERS_BYTES_MAX && out->starts_count > 0) {
            out->starts_cut = true;
            continue;
        }
        out->starts[out->starts_count++] =
            (Order){id, number, task->attempt, step->resources, step->payload, task->saved};
    }
}

/* True if there are orders that the agent does not have, and this incarnation of the agent may get them. */
static bool orders_pending(const Controller *controller, const HeartbeatAsk *heartbeat)
{
    const LiveRow *row = liveset_find(controller->liveset, heartbeat->worker.name);
    return replication_leading(controller->replication) && !controller->repairing && row != NULL &&
           row->incarnation == heartbeat->incarnation && !row->loss_pending &&
           (table_orders_version(controller->table, heartbeat->worker.name) != heartbeat->have ||
            replication_led_term(controller->replication) != heartbeat->have_term);
}

void orders_answer(Controller *controller, void *mem, const HeartbeatAsk *heartbeat, int64_t wait_ms,
                   HeartbeatAnswer *out)
{
    const int64_t until_ms = loop_now_ms(controller->loop) + wait_ms;
    AgentSession *session = agent_session(controller, heartbeat->worker.name);
    const uint64_t number = ++session->newest_request;
    signal_raise(controller->loop, &session->changed); /* Makes an earlier request stop waiting */
    while (!orders_pending(controller, heartbeat))
        if (!signal_wait(controller->loop, &session->changed, until_ms) || number != session->newest_request)
            return;
    if (!controller_may_decide(controller))
        return;
    out->orders = true;
    out->version = table_orders_version(controller->table, heartbeat->worker.name);
    out->timeout_ms = ORDER_LIFETIME_MS;
    orders_list(controller, mem, heartbeat, out);
}
