/* Reacts to events of the replicated log and the state table: a configuration of voters is opened, with leadership won
 * or kept; a change is delivered; an attempt leaves its worker. No function here suspends the coroutine. */
#include "log_events.h"

#include <inttypes.h>
#include <talloc.h>

#include "base/term.h"
#include "leader.h"
#include "orders.h"
#include "repair.h"
#include "scheduler/checkpoint.h"
#include "scheduler/worker_score.h"
#include "trace_delivered.h"

/* Resets what this node knew about agents as an earlier leader: it has won leadership from another node, and that
 * knowledge is out of date. */
static void leadership_begin(Controller *controller)
{
    void *mem = talloc_new(controller);
    const Worker **workers;
    const size_t count = table_workers(controller->table, mem, &workers);
    const char **names = talloc_array(mem, const char *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        names[i] = workers[i]->name;
    orphans_reset(controller->orphans);
    scheduler_reset(controller->scheduler);
    /* No worker counts as lost before all leases that the previous leader granted have expired. */
    liveset_reset(controller->liveset,
                  replication_lease_won_ms(controller->replication) + controller_claim_ms(controller), names, count);
    talloc_free(mem);
}

void log_opened(void *arg, uint64_t term, bool new_holder, bool repair)
{
    Controller *controller = arg;
    trace_record(controller->trace, TRACE_OPENED, new_holder ? "the lock was won" : "opened again", "view:%" PRIu64,
                 term_counter(term));
    if (new_holder)
        leadership_begin(controller);
    if (repair && (new_holder || !controller->repairing)) {
        /* A repair in progress continues when the same leader opens another configuration. */
        controller->repairing = true;
        /* Nothing is placed until every running attempt that the log has lost has been reported again or its lease has
         * expired. */
        scheduler_set_place_from(controller->scheduler,
                                 loop_now_ms(controller->loop) + controller_claim_ms(controller));
        repair_start(controller);
    }
    if (!repair)
        controller->repairing = false;
    orders_recheck(controller);
    scheduler_notify(controller->scheduler);
}

/* Called when an attempt has left its worker. An order to start it may still be on its way until the order's deadline
 * by the agent's clock, which may run slow. */
static void on_attempt_left(void *arg, const Job *job, const JobTask *task)
{
    const Controller *controller = arg;
    if (replication_lease_valid(controller->replication))
        orphans_add(controller->orphans, task->worker, job, task, task->attempt,
                    loop_now_ms(controller->loop) + ORDER_EXPIRED_MS);
}

static void attempts_apply(Controller *controller, const AttemptList *attempts)
{
    score_record_ends(controller->scheduler, attempts);
    for (size_t i = 0; i < attempts->updates_count; i++) {
        const AttemptUpdate *update = &attempts->updates[i];
        const AttemptSaved saved = {
            .job = update->job, .task = update->task, .attempt = update->attempt, .text = update->saved};
        if (update->word == ATTEMPT_RUNNING)
            continue; /* Heartbeats have delivered its checkpoint, and perhaps a newer one */
        if (replication_lease_valid(controller->replication))
            checkpoint_record(controller->scheduler, &saved);
        orphans_end(controller->orphans, update);
    }
}

static void on_delivered(void *arg, const Record *change, const void *body, const ChangeResult *result)
{
    Controller *controller = arg;
    trace_delivered(controller, change, body, result);
    scheduler_notify(controller->scheduler);
    in_force_limits_apply(controller->in_force);
    if (body != NULL && change->change == CHANGE_ATTEMPTS)
        attempts_apply(controller, body);
    if (body != NULL && change->change == CHANGE_WORKER_LOST)
        liveset_set_loss_pending(controller->liveset, ((const WorkerLost *)body)->worker, false);
}

void log_events_watch(Controller *controller)
{
    table_watch(controller->table, on_delivered, controller);
    table_watch_taken_tasks(controller->table, on_attempt_left, controller);
}
