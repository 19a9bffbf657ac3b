/* The agent towards its worker: one report, answered when there is news. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "inside.h"

static bool listed(const AttemptNews *list, size_t count, const Order *order)
{
    for (size_t i = 0; i < count; i++)
        if (list[i].attempt == order->attempt && list[i].task == order->task && strcmp(list[i].job, order->job) == 0)
            return true;
    return false;
}

/* --- boots ------------------------------------------------------------------------ */

static bool boot_over(const Agent *agent, const char *boot)
{
    for (size_t i = 0; i < BOOTS_KEPT; i++)
        if (agent->boots[i] != NULL && strcmp(agent->boots[i], boot) == 0)
            return true;
    return false;
}

/* The present boot is over: nothing of it runs, no lease that it was given counts.
 * for_good: it does not come back. */
static void boot_end(Agent *agent, bool for_good, const char *why)
{
    attempts_gone(agent, why);
    char **at = &agent->boots[agent->boot_count % BOOTS_KEPT];
    talloc_free(for_good ? *at : agent->boot);
    if (for_good) {
        *at = agent->boot;
        agent->boot_count++;
    }
    agent->boot = NULL;
    agent->worker_until_ms = loop_now_ms(agent->loop);
}

/* Whether the report is the newest word of the boot that is present from now on. */
static Status boot_take(Agent *agent, const WorkerReport *report)
{
    if (report->boot_ends && boot_over(agent, report->boot))
        return STATUS_DUPLICATE_WORKER; /* on its way for long: a newer one has been heard, or it has left */
    if (agent->boot != NULL && strcmp(agent->boot, report->boot) != 0) {
        /* another process of this name: unless the old one is known to be over, its lease must lapse first */
        if (!report->boot_ends && loop_now_ms(agent->loop) < agent->worker_until_ms) {
            recorder_write(agent->recorder, RECORDER_NOTE, loop_now_ms(agent->loop),
                           "worker %s asks as a second process", agent->worker_name);
            return STATUS_DUPLICATE_WORKER;
        }
        boot_end(agent, report->boot_ends, "the worker's process was replaced");
    }
    if (agent->boot == NULL) {
        agent->boot = talloc_strdup(agent, report->boot);
        agent->seq = 0;
    }
    if (report->seq != 0 && report->seq <= agent->seq)
        return STATUS_CLOSED;
    agent->seq = report->seq;
    return STATUS_OK;
}

/* --- taking a report ----------------------------------------------------------------- */

static Attempt *attempt_of(Agent *agent, const AttemptNews *news)
{
    Attempt *attempt = attempt_find(agent, news->job, news->task, news->attempt);
    if (attempt == NULL) {
        /* from before our own start: the leader says whether it is wanted */
        const Order order = {
            .job = news->job, .task = news->task, .attempt = news->attempt, .payload = "", .saved = ""};
        attempt = attempt_add(agent, &order, PHASE_RUNNING);
    }
    return attempt;
}

static void end_take(Agent *agent, const AttemptNews *news)
{
    Attempt *attempt = attempt_of(agent, news);
    if (attempt->phase < PHASE_ENDED) {
        if (news->saved[0] != '\0')
            attempt_runs(agent, attempt, news);
        attempt_end(agent, attempt, (AttemptWord)news->word, news->text, false);
        return;
    }
    /* a finish counts also after the attempt was given up, and so does a failure of its own */
    const bool weighs = (news->word == ATTEMPT_DONE && attempt->word != ATTEMPT_DONE) ||
                        (news->word == ATTEMPT_FAILED && attempt->guessed);
    attempt->guessed = false;
    if (weighs)
        attempt_retell(agent, attempt, (AttemptWord)news->word, news->text);
}

/* What the worker says replaces what we thought. */
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
            attempt->phase = PHASE_OFFERED; /* the answer that carried it was lost */
        else
            attempt_end(agent, attempt, ATTEMPT_REFUSED, "the order expired before it started", true);
    }
}

/* A worker that tells its free room may be used by others too. What it runs for
 * us is not theirs; an attempt of unknown size (from before our start) counts as theirs. */
static void others_take(Agent *agent, const WorkerReport *report)
{
    agent->others = (Room){0};
    if (!report->free_told)
        return;
    Room known = report->free;
    for (const Attempt *attempt = agent->attempts.lives.first; attempt != NULL; attempt = attempt->next)
        if (listed(report->running, report->running_count, &attempt->order)) {
            known.cpu_milli += attempt->order.room.cpu_milli;
            known.mem_mb += attempt->order.room.mem_mb;
            known.gpu += attempt->order.room.gpu;
        }
    const Room whole = report->worker.room;
    agent->others = (Room){whole.cpu_milli > known.cpu_milli ? whole.cpu_milli - known.cpu_milli : 0,
                           whole.mem_mb > known.mem_mb ? whole.mem_mb - known.mem_mb : 0,
                           whole.gpu > known.gpu ? whole.gpu - known.gpu : 0};
}

/* What it is, and how it stands; after its attempts: what an earlier agent gave it is
 * known then. */
static void self_take(Agent *agent, const WorkerReport *report)
{
    Worker worker = report->worker;
    worker.name = agent->worker_name;
    const bool same = report->left || shape_equal(&Worker_shape, &worker, &agent->worker);
    const bool live = !report->left, leaving = report->leaving || report->left;
    const bool news = !same || agent->worker_live != live || agent->worker_leaving != leaving || !agent->settled;
    agent->settled = true;
    if (!same) {
        void *mem = talloc_new(agent);
        shape_copy(&Worker_shape, &worker, mem, &agent->worker);
        talloc_free(agent->worker_mem);
        agent->worker_mem = mem;
        /* what was ordered was meant for another worker */
        attempts_withdraw(agent, "the worker is another now");
    }
    agent->worker_live = live;
    agent->worker_leaving = leaving;
    agent->leave_until_ms = report->leave_ms > 0 ? loop_now_ms(agent->loop) + report->leave_ms : 0;
    if (leaving)
        attempts_withdraw(agent, "the worker leaves");
    if (news)
        heartbeat_now(agent);
}

/* --- answering ------------------------------------------------------------------------- */

/* It says of an attempt that is over for us that it runs: it is to stop. */
static bool lingers(Agent *agent, const AttemptNews *news)
{
    const Attempt *attempt = attempt_find(agent, news->job, news->task, news->attempt);
    return attempt != NULL && attempt->phase >= PHASE_ENDED;
}

static bool known_any(Agent *agent, const WorkerReport *report)
{
    for (size_t i = 0; i < report->ended_count; i++) {
        const AttemptNews *news = &report->ended[i];
        const Attempt *attempt = attempt_find(agent, news->job, news->task, news->attempt);
        if (attempt != NULL && attempt->phase == PHASE_KNOWN)
            return true;
    }
    return false;
}

/* Whether there is something that does not wait. */
static bool anything_for(Agent *agent, const WorkerReport *report)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    const bool runs = lease_runs(&agent->lease, now_ms);
    for (const Attempt *attempt = agent->attempts.lives.first; attempt != NULL; attempt = attempt->next)
        if ((attempt->phase == PHASE_OFFERED && runs) || attempt->phase == PHASE_STOPPING)
            return true;
    for (size_t i = 0; i < report->running_count; i++)
        if (lingers(agent, &report->running[i]))
            return true;
    /* what comes next for the room of what has ended goes in the same answer */
    return !report->ends_wait && known_any(agent, report);
}

/* While something runs, an end may wait for the answer, as an order may for the next
 * question: of each the half costs least. While nothing does, only an order can come. */
static int64_t answer_until_ms(const Agent *agent, const WorkerReport *report)
{
    int64_t wait_ms = agent->settings->bounds.worker_poll_ms;
    if (report->wait_ms < wait_ms)
        wait_ms = report->wait_ms;
    if (report->ends_wait && report->running_count + report->ended_count > 0 && wait_ms > WORKER_BUSY_MS)
        wait_ms = WORKER_BUSY_MS;
    return loop_now_ms(agent->loop) + wait_ms;
}

/* What of the rest of the agent's own lease is passed on. */
static int64_t lease_pass(Agent *agent, int64_t now_ms)
{
    int64_t left_ms = lease_left_ms(&agent->lease, now_ms);
    if (left_ms > agent->settings->bounds.worker_lease_ms)
        left_ms = agent->settings->bounds.worker_lease_ms;
    const int64_t passed_ms = lease_passed_ms(left_ms);
    if (passed_ms > 0 && now_ms + lease_claim_ms(passed_ms) > agent->worker_until_ms)
        agent->worker_until_ms = now_ms + lease_claim_ms(passed_ms);
    return passed_ms;
}

static AttemptId id_of(void *mem, const Attempt *attempt)
{
    return (AttemptId){talloc_strdup(mem, attempt->order.job), attempt->order.task, attempt->order.attempt};
}

static void orders_fill(Agent *agent, void *mem, const WorkerReport *report, WorkerOrders *orders)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    const unsigned lives = (unsigned)agent->attempts.lives.count;
    Order *starts = talloc_zero_array(mem, Order, lives);
    AttemptId *stops = talloc_zero_array(mem, AttemptId, lives + (unsigned)report->running_count);
    AttemptId *known = talloc_zero_array(mem, AttemptId, (unsigned)report->ended_count);
    *orders = (WorkerOrders){.term = agent->lease.term,
                             .fence = term_counter(agent->lease.term),
                             .lease_ms = lease_pass(agent, now_ms),
                             .starts = starts,
                             .start_ms = INT64_MAX,
                             .stops = stops,
                             .known = known,
                             .again_ms = WORKER_AGAIN_MS};
    for (Attempt *attempt = agent->attempts.lives.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_OFFERED && now_ms >= attempt->timeout_ms) {
            attempt_end(agent, attempt, ATTEMPT_REFUSED, "the order expired before it started", true);
        } else if (attempt->phase == PHASE_OFFERED && orders->lease_ms > 0) {
            shape_copy(&Order_shape, &attempt->order, mem, &starts[orders->starts_count++]);
            if (attempt->timeout_ms - now_ms < orders->start_ms)
                orders->start_ms = attempt->timeout_ms - now_ms;
            attempt->phase = PHASE_SENT;
            attempt->given_ms = now_ms;
            attempt_trace(agent, attempt, TRACE_GIVEN);
        } else if (attempt->phase == PHASE_STOPPING) {
            stops[orders->stops_count++] = id_of(mem, attempt);
        }
    }
    for (size_t i = 0; i < report->running_count; i++) {
        const AttemptNews *news = &report->running[i];
        if (lingers(agent, news))
            stops[orders->stops_count++] = (AttemptId){talloc_strdup(mem, news->job), news->task, news->attempt};
    }
    for (size_t i = 0; i < report->ended_count; i++) {
        const AttemptNews *news = &report->ended[i];
        const Attempt *attempt = attempt_find(agent, news->job, news->task, news->attempt);
        if (attempt != NULL && attempt->phase == PHASE_KNOWN)
            known[orders->known_count++] = id_of(mem, attempt);
    }
}

Status agent_report(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders)
{
    *orders = (WorkerOrders){0};
    const Status status = boot_take(agent, report);
    if (status != STATUS_OK)
        return status;
    const int64_t now_ms = loop_now_ms(agent->loop);
    agent->asked_ms = now_ms;
    attempts_take(agent, report);
    others_take(agent, report);
    self_take(agent, report);
    const uint64_t question = ++agent->questions;
    signal_raise(agent->loop, &agent->for_worker); /* an earlier question is over */
    if (report->left) {
        boot_end(agent, report->boot_ends, "the worker has left");
        orders_fill(agent, mem, report, orders);
        orders->lease_ms = 0;
        return STATUS_OK;
    }
    const int64_t until_ms = answer_until_ms(agent, report);
    while (question == agent->questions && !*gone && !anything_for(agent, report))
        if (!signal_wait(agent->loop, &agent->for_worker, until_ms))
            break;
    if (*gone || question != agent->questions)
        return STATUS_CLOSED;
    orders_fill(agent, mem, report, orders);
    return STATUS_OK;
}
