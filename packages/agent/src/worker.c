/* The worker's side: takes a report, brings the attempt table in line with it, and answers once there is something to
 * answer with. */
#include <talloc.h>

#include "answer.h"
#include "attempts.h"
#include "heartbeat.h"
#include "boot.h"

static bool listed(const AttemptUpdate *list, size_t count, const Order *order)
{
    for (size_t i = 0; i < count; i++)
        if (attempt_is(order, list[i].job, list[i].task, list[i].attempt))
            return true;
    return false;
}

static Attempt *attempt_of(Agent *agent, const AttemptUpdate *update)
{
    Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
    if (attempt == NULL) {
        /* given by an earlier agent process: the leader decides whether it is wanted */
        const Order order = {
            .job = update->job, .task = update->task, .attempt = update->attempt, .payload = "", .saved = ""};
        attempt = attempt_add(agent, &order, PHASE_RUNNING);
    }
    return attempt;
}

static void end_take(Agent *agent, const AttemptUpdate *update)
{
    Attempt *attempt = attempt_of(agent, update);
    if (attempt->phase < PHASE_ENDED) {
        if (update->saved[0] != '\0')
            attempt_runs(agent, attempt, update);
        attempt_end(agent, attempt, (AttemptWord)update->word, update->text, false);
        return;
    }
    /* a reported completion replaces any other end, a reported failure one that was inferred */
    const bool weighs = (update->word == ATTEMPT_DONE && attempt->word != ATTEMPT_DONE) ||
                        (update->word == ATTEMPT_FAILED && attempt->guessed);
    attempt->guessed = false;
    if (weighs)
        attempt_report_end(agent, attempt, (AttemptWord)update->word, update->text);
}

/* Brings the attempt table in line with the report: what the worker reports replaces what the agent inferred, and an
 * attempt that it does not list is over, or its order has not arrived. */
static void attempts_take(Agent *agent, const WorkerReport *report)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    for (size_t i = 0; i < report->running_count; i++) {
        Attempt *attempt = attempt_of(agent, &report->running[i]);
        if (attempt->phase < PHASE_ENDED)
            attempt_runs(agent, attempt, &report->running[i]);
    }
    for (size_t i = 0; i < report->ended_count; i++)
        end_take(agent, &report->ended[i]);
    for (Attempt *attempt = agent->attempts.lives.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_OFFERED || listed(report->running, report->running_count, &attempt->order))
            continue;
        if (attempt->phase == PHASE_STOPPING)
            attempt_end(agent, attempt, ATTEMPT_STOPPED, "stopped", true);
        else if (attempt->phase == PHASE_RUNNING)
            attempt_end(agent, attempt, ATTEMPT_LOST, "the worker knows nothing of it any more", true);
        else if (now_ms < attempt->timeout_ms)
            attempt->phase = PHASE_OFFERED; /* the answer that carried it did not arrive */
        else
            attempt_expire(agent, attempt);
    }
}

/* A worker that reports its free capacity may be used by others too: theirs is what is neither free nor used by our
 * attempts. An attempt of unknown size, given by an earlier agent process, counts as theirs. */
static void others_take(Agent *agent, const WorkerReport *report)
{
    agent->others = (Resources){0};
    if (!report->free_given)
        return;
    Resources known = report->free;
    for (const Attempt *attempt = agent->attempts.lives.first; attempt != NULL; attempt = attempt->next)
        if (listed(report->running, report->running_count, &attempt->order)) {
            known.cpu_milli += attempt->order.resources.cpu_milli;
            known.mem_mb += attempt->order.resources.mem_mb;
            known.gpu += attempt->order.resources.gpu;
        }
    const Resources whole = report->worker.resources;
    agent->others = (Resources){whole.cpu_milli > known.cpu_milli ? whole.cpu_milli - known.cpu_milli : 0,
                                whole.mem_mb > known.mem_mb ? whole.mem_mb - known.mem_mb : 0,
                                whole.gpu > known.gpu ? whole.gpu - known.gpu : 0};
}

/* The worker's description and state. Called after attempts_take, which has adopted the attempts of an earlier agent
 * process: the table is complete from here on. */
static void self_take(Agent *agent, const WorkerReport *report)
{
    Worker worker = report->worker;
    worker.name = agent->worker_name;
    const bool same = report->left || shape_equal(&Worker_shape, &worker, &agent->worker);
    const bool live = !report->left, leaving = report->leaving || report->left;
    const bool changed = !same || agent->worker_live != live || agent->worker_leaving != leaving || !agent->settled;
    agent->settled = true;
    if (!same) {
        void *mem = talloc_new(agent);
        shape_copy(&Worker_shape, &worker, mem, &agent->worker);
        talloc_free(agent->worker_mem);
        agent->worker_mem = mem;
        /* those attempts were placed on the worker as it was described before */
        attempts_withdraw(agent, "the worker is another now");
    }
    agent->worker_live = live;
    agent->worker_leaving = leaving;
    agent->leave_until_ms = report->leave_ms > 0 ? loop_now_ms(agent->loop) + report->leave_ms : 0;
    if (leaving)
        attempts_withdraw(agent, "the worker leaves");
    if (changed)
        heartbeat_now(agent);
}

/* Waits until there is something to answer the report with; false: its worker does not wait for an answer any more. */
static bool report_await(Agent *agent, const bool *gone, const WorkerReport *report)
{
    const uint64_t question = ++agent->questions;
    const int64_t until_ms = answer_until_ms(agent, report);
    signal_raise(agent->loop, &agent->for_worker); /* ends an earlier report's wait */
    while (question == agent->questions && !*gone && !answer_ready(agent, report))
        if (!signal_wait(agent->loop, &agent->for_worker, until_ms))
            break;
    arrivals_answered(&agent->reports, loop_now_ms(agent->loop));
    return !*gone && question == agent->questions;
}

Status agent_report(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders)
{
    *orders = (WorkerOrders){0};
    const Status status = boot_take(agent, report);
    if (status != STATUS_OK)
        return status;
    const int64_t now_ms = loop_now_ms(agent->loop);
    agent->asked_ms = now_ms;
    arrivals_asked(&agent->reports, now_ms);
    attempts_take(agent, report);
    others_take(agent, report);
    self_take(agent, report);
    if (report->left) {
        agent->questions++;
        arrivals_answered(&agent->reports, now_ms);
        signal_raise(agent->loop, &agent->for_worker);
        boot_end(agent, report->boot_ends, "the worker has left");
        orders_fill(agent, mem, report, orders);
        orders->lease_ms = 0;
        return STATUS_OK;
    }
    if (!report_await(agent, gone, report))
        return STATUS_CLOSED;
    orders_fill(agent, mem, report, orders);
    return STATUS_OK;
}
