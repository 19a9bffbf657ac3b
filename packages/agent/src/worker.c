/* The interface to the worker: applies a report to the attempt table, and answers once there is something to answer
 * with. */
#include <talloc.h>

#include "answer.h"
#include "attempts.h"
#include "heartbeat.h"
#include "boot.h"

/* True if the last report lists the attempt as running. */
static bool is_listed(const Agent *agent, const Attempt *attempt)
{
    return attempt->listed_in == agent->applied_number;
}

/* Returns the attempt that the worker reports. Adds it to the table if it is not there. */
static Attempt *attempt_find_or_adopt(Agent *agent, const AttemptUpdate *update)
{
    Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
    if (attempt == NULL) {
        /* Given by an earlier agent process: the leader decides whether it is wanted. */
        const Order order = {
            .job = update->job, .task = update->task, .attempt = update->attempt, .payload = "", .saved = ""};
        attempt = attempt_add(agent, &order, PHASE_RUNNING);
    }
    return attempt;
}

static void end_apply(Agent *agent, const AttemptUpdate *update)
{
    Attempt *attempt = attempt_find_or_adopt(agent, update);
    if (attempt->phase < PHASE_ENDED) {
        if (update->saved[0] != '\0')
            attempt_running(agent, attempt, update);
        attempt_end(agent, attempt, (AttemptStatus)update->word, update->text, false);
        return;
    }
    /* A reported completion replaces any other end; a reported failure replaces an end that was inferred. */
    const bool takes_precedence = (update->word == ATTEMPT_DONE && attempt->word != ATTEMPT_DONE) ||
                                  (update->word == ATTEMPT_FAILED && attempt->inferred);
    attempt->inferred = false;
    if (takes_precedence)
        attempt_report_end(agent, attempt, (AttemptStatus)update->word, update->text);
}

/* Handles an attempt that was given to the worker and is known not to run: it has ended, or its order has not arrived.
 */
static void unlisted_apply(Agent *agent, Attempt *attempt)
{
    if (attempt->phase == PHASE_STOPPING)
        attempt_end(agent, attempt, ATTEMPT_STOPPED, "stopped", true);
    else if (attempt->phase == PHASE_RUNNING)
        attempt_end(agent, attempt, ATTEMPT_LOST, "the worker knows nothing of it any more", true);
    else if (loop_now_ms(agent->loop) < attempt->timeout_ms)
        attempt->phase = PHASE_ORDERED; /* The answer that carried it did not arrive */
    else
        attempt_expire(agent, attempt);
}

/* Updates the attempt table to match the report: what the worker reports replaces what the agent inferred. */
static void attempts_apply_report(Agent *agent, const WorkerReport *report)
{
    agent->applied_number++;
    for (size_t i = 0; i < report->running_count; i++) {
        Attempt *attempt = attempt_find_or_adopt(agent, &report->running[i]);
        attempt->listed_in = agent->applied_number;
        if (attempt->phase < PHASE_ENDED)
            attempt_running(agent, attempt, &report->running[i]);
    }
    for (size_t i = 0; i < report->ended_count; i++)
        end_apply(agent, &report->ended[i]);
    if (report->ends_cut)
        return; /* The end of an attempt that is not listed may come with a later report */
    for (Attempt *attempt = agent->attempts.live.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase != PHASE_ORDERED && !is_listed(agent, attempt) && !attempt_may_run_unlisted(agent, attempt))
            unlisted_apply(agent, attempt);
    }
}

/* Determines whether the attempt table is complete once the report is applied. After a restart of the agent it is when
 * the report was sent after the restart, or when all that the worker runs does so by leases of this process. */
static void settled_update(Agent *agent, const WorkerReport *report)
{
    const bool inherited_leases_expired = loop_now_ms(agent->loop) >= agent->inherited_lease_until_ms;
    if (agent->settled || report->ends_cut || !(boot_report_is_current(agent) || inherited_leases_expired))
        return;
    agent->settled = true;
    heartbeat_request(agent);
}

/* Computes the capacity that others use. A worker that reports its free capacity may be shared with others; they use
 * what is neither free nor used by this agent's attempts. An attempt of unknown size, given by an earlier agent
 * process, counts as theirs. */
static void others_update(Agent *agent, const WorkerReport *report)
{
    agent->others = (Resources){0};
    if (!report->free_given)
        return;
    Resources known = report->free;
    for (const Attempt *attempt = agent->attempts.live.first; attempt != NULL; attempt = attempt->next)
        if (is_listed(agent, attempt)) {
            known.cpu_milli += attempt->order.resources.cpu_milli;
            known.mem_mb += attempt->order.resources.mem_mb;
            known.gpu += attempt->order.resources.gpu;
        }
    const Resources capacity = report->worker.resources;
    agent->others = (Resources){capacity.cpu_milli > known.cpu_milli ? capacity.cpu_milli - known.cpu_milli : 0,
                                capacity.mem_mb > known.mem_mb ? capacity.mem_mb - known.mem_mb : 0,
                                capacity.gpu > known.gpu ? capacity.gpu - known.gpu : 0};
}

/* Updates the worker's description and state. */
static void worker_update(Agent *agent, const WorkerReport *report)
{
    Worker worker = report->worker;
    worker.name = agent->worker_name;
    const bool same = report->left || shape_equal(&Worker_shape, &worker, &agent->worker);
    const bool live = !report->left, leaving = report->leaving || report->left || agent->boot->departs;
    const bool changed = !same || agent->worker_live != live || agent->worker_leaving != leaving;
    if (!same) {
        void *mem = talloc_new(agent);
        shape_copy(&Worker_shape, &worker, mem, &agent->worker);
        talloc_free(agent->worker_mem);
        agent->worker_mem = mem;
        agent->description_number++;
        /* Those attempts were placed according to the old description of the worker. */
        attempts_withdraw(agent, "the description of the worker has changed");
    }
    agent->worker_live = live;
    agent->worker_leaving = leaving;
    agent->leave_until_ms = report->leave_ms > 0 ? loop_now_ms(agent->loop) + report->leave_ms : 0;
    if (leaving)
        attempts_withdraw(agent, "the worker leaves");
    if (changed)
        heartbeat_request(agent);
}

/* Handles the worker's announcement that its process will end soon. Nothing ends by it: the attempts run on while the
 * worker reports, and after its last report until its lease has expired. */
static void departure_apply(Agent *agent)
{
    agent->boot->departs = true;
    agent->worker_live = false; /* Until it reports again */
    agent->worker_leaving = true;
    agent->leave_until_ms = 0;
    attempts_withdraw(agent, "the worker leaves");
    heartbeat_request(agent);
}

/* Suspends the coroutine until there is something to answer the report with. Returns false if the worker no longer
 * waits for the answer. */
static bool answer_wait(Agent *agent, const bool *gone, const WorkerReport *report)
{
    const uint64_t number = ++agent->report_number;
    const int64_t until_ms = answer_until_ms(agent, report);
    signal_raise(agent->loop, &agent->answer_signal); /* Ends the wait of an earlier report */
    while (number == agent->report_number && !*gone && !answer_ready(agent, report))
        if (!signal_wait(agent->loop, &agent->answer_signal, until_ms))
            break;
    arrivals_response(&agent->reports, loop_now_ms(agent->loop));
    return !*gone && number == agent->report_number;
}

Status agent_report(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders)
{
    *orders = (WorkerOrders){0};
    const Status status = boot_accept(agent, report);
    if (status != STATUS_OK)
        return status;
    if (report->departs) {
        departure_apply(agent);
        return STATUS_OK;
    }
    const int64_t now_ms = loop_now_ms(agent->loop);
    agent->last_report_ms = now_ms;
    arrivals_request(&agent->reports, now_ms);
    const bool was_settled = agent->settled;
    settled_update(agent, report);
    attempts_apply_report(agent, report);
    if (agent->settled && !was_settled)
        attempts_withdraw(agent, "the worker was not known when it was ordered");
    others_update(agent, report);
    worker_update(agent, report);
    if (report->left) {
        agent->report_number++;
        arrivals_response(&agent->reports, now_ms);
        signal_raise(agent->loop, &agent->answer_signal);
        agent->boot->ended = report->one_process;
        boot_end(agent, "the worker has left");
        orders_fill(agent, mem, report, orders);
        orders->lease_ms = 0;
        return STATUS_OK;
    }
    if (!answer_wait(agent, gone, report))
        return STATUS_CLOSED;
    orders_fill(agent, mem, report, orders);
    return STATUS_OK;
}
