/* What the leader commits because of a heartbeat: how the worker describes itself, that it has left, and the attempts
 * that are not on it any more. */
#include "heartbeat_commit.h"

#include <talloc.h>

#include "attempt_updates.h"
#include "heartbeat/attempt_set.h"
#include "leader.h"
#include "orders.h"

/* True if the agent had the newest orders for its worker when it sent the heartbeat. */
static bool has_newest_orders(const Controller *controller, const HeartbeatAsk *heartbeat)
{
    return heartbeat->have_term == replication_led_term(controller->replication) &&
           heartbeat->have == table_orders_version(controller->table, heartbeat->worker.name);
}

/* True if an order that was given at the last change of the task has expired. */
static bool order_has_expired(const Controller *controller, const JobTask *task)
{
    return replication_clock_ms(controller->replication) - task->changed_ms > ORDER_EXPIRED_MS;
}

/* True if an attempt that is to be stopped, and that its agent does not list, has ended. An order to start it may still
 * be on its way to the agent until ORDER_EXPIRED_MS has passed or the agent has newer orders. */
static bool stop_has_ended(const Controller *controller, const HeartbeatAsk *heartbeat, const JobTask *task)
{
    return task->phase == TASK_STOPPING &&
           (order_has_expired(controller, task) || has_newest_orders(controller, heartbeat));
}

/* True if an attempt that its agent does not list was dropped there: the agent has the order to start it, which has
 * expired, and does not ask for it again. */
static bool start_was_dropped(const Controller *controller, const HeartbeatAsk *heartbeat, const JobTask *task)
{
    return task->phase == TASK_PLACED && has_newest_orders(controller, heartbeat) &&
           order_has_expired(controller, task);
}

/* Why a placed attempt did not start. */
static const char *refusal_text(const JobTask *task, bool unfit)
{
    if (task->phase != TASK_PLACED)
        return "not on its worker any more";
    return unfit ? "its worker is another one now" : "its order expired before it started";
}

/* Builds updates for the attempts that the state table has on the worker and that the heartbeat's complete list lacks:
 * running attempts are lost, stopping attempts have stopped, and placed ones that the worker can't run, as it describes
 * itself in this heartbeat, or that its agent has dropped are refused: no order to start them is given or accepted any
 * more. Allocated on mem. */
static AttemptList missing_attempts(const Controller *controller, void *mem, const HeartbeatAsk *heartbeat)
{
    AttemptList list = {0};
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(controller->table, heartbeat->worker.name, &on);
    const AttemptSet *listed = attempt_set_new(mem, heartbeat->attempts, heartbeat->attempts_count);
    for (size_t i = 0; i < count; i++) {
        const Job *job = on[i].job;
        const JobTask *task = &job->tasks[on[i].task];
        const uint64_t number = task_number(task);
        const bool unfit = task->phase == TASK_PLACED && worker_is_unfit(controller, heartbeat, job, task->step);
        if ((task->phase != TASK_RUNNING && !unfit && !stop_has_ended(controller, heartbeat, task) &&
             !start_was_dropped(controller, heartbeat, task)) ||
            attempt_set_has(listed, job->spec.id, number, task->attempt))
            continue;
        if (list.updates == NULL)
            list.updates = talloc_array(mem, AttemptUpdate, (unsigned)count);
        list.updates[list.updates_count++] = (AttemptUpdate){.job = talloc_strdup(mem, job->spec.id),
                                                             .task = number,
                                                             .attempt = task->attempt,
                                                             .worker = talloc_strdup(mem, heartbeat->worker.name),
                                                             .word = task->phase == TASK_STOPPING ? ATTEMPT_STOPPED
                                                                     : task->phase == TASK_PLACED ? ATTEMPT_REFUSED
                                                                                                  : ATTEMPT_LOST,
                                                             .text = refusal_text(task, unfit),
                                                             .saved = ""};
    }
    return list;
}

/* Changes reported by a heartbeat. They are committed in a task of their own, so that the answer, which renews the
 * lease, does not wait for the disks. Owns all that it points to except the controller and the session. */
typedef struct HeartbeatCommit {
    Controller *controller;
    AgentSession *session;
    Worker worker;
    bool worker_changed; /* The state table has no record of the worker or a different one */
    bool left;           /* The worker has drained */
    AttemptList missing_attempts;
} HeartbeatCommit;

/* Suspends the coroutine. Commits the worker's description; the worker may then be given work, unless it describes
 * itself otherwise by now. */
static void description_commit(HeartbeatCommit *commit)
{
    Controller *controller = commit->controller;
    ChangeResult result;
    const Status status =
        controller_submit(controller, commit, CHANGE_WORKER_SET, &Worker_shape, &commit->worker, &result);
    const Worker *described = commit->session->described;
    if (status != STATUS_OK || described == NULL || !shape_equal(&Worker_shape, described, &commit->worker))
        return;
    liveset_set_description_pending(controller->liveset, commit->worker.name, false);
    scheduler_notify(controller->scheduler);
}

static void heartbeat_commit_main(void *arg)
{
    HeartbeatCommit *commit = arg;
    Controller *controller = commit->controller;
    ChangeResult result;
    attempt_updates_commit(controller, commit->missing_attempts.updates, commit->missing_attempts.updates_count);
    if (commit->worker_changed)
        description_commit(commit);
    if (commit->left) {
        const WorkerLeft left = {commit->worker.name, true};
        controller_submit(controller, commit, CHANGE_WORKER_LEFT, &WorkerLeft_shape, &left, &result);
    }
    commit->session->committing = false;
    talloc_free(commit);
}

/* The worker as the heartbeat describes it, for the state table. Borrows all texts. */
static Worker described_worker(const Controller *controller, const HeartbeatAsk *heartbeat)
{
    const Worker *known = table_worker(controller->table, heartbeat->worker.name);
    Worker worker = heartbeat->worker;
    const bool present = heartbeat->worker_live && !heartbeat->leaving;
    worker.excluded = known != NULL && known->excluded && !present;
    return worker;
}

/* Whether the state table has no description of the live worker, or another one. */
static bool description_changed(const Controller *controller, const HeartbeatAsk *heartbeat)
{
    const Worker *known = table_worker(controller->table, heartbeat->worker.name);
    const Worker worker = described_worker(controller, heartbeat);
    return heartbeat->worker_live && (known == NULL || !shape_equal(&Worker_shape, known, &worker));
}

void description_record(Controller *controller, const HeartbeatAsk *heartbeat)
{
    const bool changed = description_changed(controller, heartbeat);
    liveset_set_description_pending(controller->liveset, heartbeat->worker.name, changed);
    if (!changed)
        return;
    AgentSession *session = agent_session(controller, heartbeat->worker.name);
    const Worker worker = described_worker(controller, heartbeat);
    talloc_free(session->described);
    session->described = talloc_zero(session, Worker);
    shape_copy(&Worker_shape, &worker, session->described, session->described);
}

void heartbeat_commit(Controller *controller, const HeartbeatAsk *heartbeat, bool list_usable)
{
    AgentSession *session = agent_session(controller, heartbeat->worker.name);
    if (session->committing)
        return;
    const Worker *known = table_worker(controller->table, heartbeat->worker.name);
    const Worker worker = described_worker(controller, heartbeat);
    const bool worker_changed = description_changed(controller, heartbeat);
    /* The worker has drained: it leaves, its agent no longer receives messages from it, and has no attempts left. */
    const bool left = known != NULL && !known->excluded && heartbeat->leaving && !heartbeat->worker_live &&
                      heartbeat->settled && heartbeat->attempts_count == 0;
    void *mem = talloc_new(controller);
    const AttemptList missing = list_usable ? missing_attempts(controller, mem, heartbeat) : (AttemptList){0};
    if (worker_changed || left || missing.updates_count > 0) {
        HeartbeatCommit *commit = talloc_zero(controller, HeartbeatCommit);
        *commit = (HeartbeatCommit){.controller = controller,
                                    .session = session,
                                    .worker_changed = worker_changed,
                                    .left = left,
                                    .missing_attempts = missing};
        shape_copy(&Worker_shape, &worker, commit, &commit->worker);
        talloc_steal(commit, mem);
        session->committing = true;
        loop_spawn(controller->loop, "heartbeat-commit", heartbeat_commit_main, commit);
    } else {
        talloc_free(mem);
    }
}
