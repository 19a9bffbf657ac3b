/* What the replicated log and the state table call: the lead is won or opened anew, a change is delivered, an
 * attempt leaves its worker. Nothing here waits. */
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

/* This node leads for the first time since another did: nothing that it saw before counts. */
static void lead_begin(Controller *controller)
{
    void *mem = talloc_new(controller);
    const Worker **workers;
    const size_t count = table_workers(controller->table, mem, &workers);
    const char **names = talloc_array(mem, const char *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        names[i] = workers[i]->name;
    /* any lease that the last leader granted ends within this */
    orphans_reset(controller->orphans);
    scheduler_reset(controller->scheduler);
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
        /* until then attempts that the log has lost are told again, or their leases have ended */
        scheduler_set_place_from(controller->scheduler,
                                 loop_now_ms(controller->loop) + controller_claim_ms(controller));
        repair_start(controller);
    }
    if (!repair)
        controller->repairing = false;
    orders_wake(controller);
    scheduler_notify(controller->scheduler);
}

/* An order that was given before may be under way until its deadline, by an agent's clock that is slow. */
static void on_left(void *arg, const Job *job, const JobTask *task)
{
    const Controller *controller = arg;
    if (replication_leased(controller->replication))
        orphans_add(controller->orphans, task->worker, job, task, task->attempt,
                    loop_now_ms(controller->loop) + ORDER_GONE_MS);
}

static void attempts_take(Controller *controller, const AttemptList *attempts)
{
    score_take(controller->scheduler, attempts);
    for (size_t i = 0; i < attempts->updates_count; i++) {
        const AttemptUpdate *updates = &attempts->updates[i];
        const AttemptSaved saved = {
            .job = updates->job, .task = updates->task, .attempt = updates->attempt, .text = updates->saved};
        if (updates->word == ATTEMPT_RUNNING)
            continue; /* a heartbeat has told its checkpoint since */
        if (replication_leased(controller->replication))
            saved_take(controller->scheduler, &saved);
        orphans_end(controller->orphans, updates);
    }
}

static void on_delivered(void *arg, const Record *change, const void *body, const ChangeResult *result)
{
    Controller *controller = arg;
    trace_delivered(controller, change, body, result);
    scheduler_notify(controller->scheduler);
    limits_follow(controller->in_force);
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
