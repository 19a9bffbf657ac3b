/* Events of the replicated log and the state table: a configuration of voters is opened, with the lead won or kept; a
 * change is delivered; an attempt leaves its worker. Nothing here waits. */
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

/* This node has won the lead from another: what it knew of agents as an earlier leader is out of date. */
static void lead_begin(Controller *controller)
{
    void *mem = talloc_new(controller);
    const Worker **workers;
    const size_t count = table_workers(controller->table, mem, &workers);
    const char **names = talloc_array(mem, const char *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        names[i] = workers[i]->name;
    orphans_reset(controller->orphans);
    scheduler_reset(controller->scheduler);
    /* a worker is lost no earlier than any lease of the last leader has ended */
    liveset_reset(controller->liveset, replication_won_ms(controller->replication) + controller_claim_ms(controller),
                  names, count);
    talloc_free(mem);
}

void log_opened(void *arg, uint64_t term, bool new_holder, bool repair)
{
    Controller *controller = arg;
    trace_say(controller->trace, TRACE_OPENED, new_holder ? "the lock was won" : "opened anew", "view:%" PRIu64,
              term_counter(term));
    if (new_holder)
        lead_begin(controller);
    if (repair && (new_holder || !controller->repairing)) {
        controller->repairing = true; /* a repair under way goes on when the lead is opened anew */
        /* by then every running attempt that the log has lost has been reported again, or its lease has ended */
        scheduler_set_place_from(controller->scheduler,
                                 loop_now_ms(controller->loop) + controller_claim_ms(controller));
        repair_start(controller);
    }
    if (!repair)
        controller->repairing = false;
    orders_wake(controller);
    scheduler_notify(controller->scheduler);
}

/* An attempt has left its worker: an order to start it may still be on its way there, until its deadline by the
 * agent's clock, which may be slow. */
static void on_left(void *arg, const Job *job, const JobTask *task)
{
    const Controller *controller = arg;
    if (replication_leased(controller->replication))
        orphans_add(controller->orphans, task->worker, job, task, task->attempt,
                    loop_now_ms(controller->loop) + ORDER_GONE_MS);
}

static void attempts_take(Controller *controller, const AttemptList *attempts)
{
    score_record_ends(controller->scheduler, attempts);
    for (size_t i = 0; i < attempts->updates_count; i++) {
        const AttemptUpdate *update = &attempts->updates[i];
        const AttemptSaved saved = {
            .job = update->job, .task = update->task, .attempt = update->attempt, .text = update->saved};
        if (update->word == ATTEMPT_RUNNING)
            continue; /* heartbeats have brought its checkpoint, and perhaps a newer one */
        if (replication_leased(controller->replication))
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
        attempts_take(controller, body);
    if (body != NULL && change->change == CHANGE_WORKER_LOST)
        liveset_losing(controller->liveset, ((const WorkerLost *)body)->worker, false);
}

void log_events_watch(Controller *controller)
{
    table_watch(controller->table, on_delivered, controller);
    table_left_watch(controller->table, on_left, controller);
}
