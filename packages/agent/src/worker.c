/* The agent towards its worker: one report, answered when there is news. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

static bool listed(const RoundNews *list, size_t count, const Order *order)
{
    for (size_t i = 0; i < count; i++)
        if (list[i].round == order->round && list[i].task == order->task && strcmp(list[i].job, order->job) == 0)
            return true;
    return false;
}

/* --- boots ------------------------------------------------------------------------ */

static bool bootOver(const Agent *agent, const char *boot)
{
    for (size_t i = 0; i < BOOTS_KEPT; i++)
        if (agent->boots[i] != NULL && strcmp(agent->boots[i], boot) == 0)
            return true;
    return false;
}

/* The present boot is over: nothing of it runs, no hold that it was given counts.
 * forGood: it does not come back. */
static void bootEnd(Agent *agent, bool forGood, const char *why)
{
    roundsGone(agent, why);
    char **at = &agent->boots[agent->bootCount % BOOTS_KEPT];
    talloc_free(forGood ? *at : agent->boot);
    if (forGood) {
        *at = agent->boot;
        agent->bootCount++;
    }
    agent->boot = NULL;
    agent->workerUntilMs = loop_now_ms(agent->loop);
}

/* Whether the report is the newest word of the boot that is present from now on. */
static Status bootTake(Agent *agent, const WorkerReport *report)
{
    if (report->bootEnds && bootOver(agent, report->boot))
        return STATUS_DUPLICATE_WORKER; /* on its way for long: a newer one has been heard, or it has left */
    if (agent->boot != NULL && strcmp(agent->boot, report->boot) != 0) {
        /* another process of this name: unless the old one is known to be over, its hold must lapse first */
        if (!report->bootEnds && loop_now_ms(agent->loop) < agent->workerUntilMs) {
            ring_say(agent->ring, RING_NOTE, loop_now_ms(agent->loop), "worker %s asks as a second process",
                     agent->workerName);
            return STATUS_DUPLICATE_WORKER;
        }
        bootEnd(agent, report->bootEnds, "the worker's process was replaced");
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

static Round *roundOf(Agent *agent, const RoundNews *news)
{
    Round *round = round_find(agent, news->job, news->task, news->round);
    if (round == NULL) {
        /* from before our own start: the leader says whether it is wanted */
        const Order order = {.job = news->job, .task = news->task, .round = news->round, .payload = "", .saved = ""};
        round = roundAdd(agent, &order, PHASE_RUNNING);
    }
    return round;
}

static void endTake(Agent *agent, const RoundNews *news)
{
    Round *round = roundOf(agent, news);
    if (round->phase < PHASE_ENDED) {
        if (news->saved[0] != '\0')
            roundRuns(agent, round, news);
        roundEnd(agent, round, (RoundWord)news->word, news->text, false);
        return;
    }
    /* a finish counts also after the round was given up, and so does a failure of its own */
    const bool weighs =
        (news->word == ROUND_DONE && round->word != ROUND_DONE) || (news->word == ROUND_FAILED && round->guessed);
    round->guessed = false;
    if (weighs)
        roundRetell(agent, round, (RoundWord)news->word, news->text);
}

/* What the worker says replaces what we thought. */
static void rounds_take(Agent *agent, const WorkerReport *report)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    for (size_t i = 0; i < report->runningCount; i++) {
        Round *round = roundOf(agent, &report->running[i]);
        if (round->phase < PHASE_ENDED)
            roundRuns(agent, round, &report->running[i]);
    }
    for (size_t i = 0; i < report->endedCount; i++)
        endTake(agent, &report->ended[i]);
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase == PHASE_OFFERED || listed(report->running, report->runningCount, &round->order))
            continue;
        if (round->phase == PHASE_STOPPING)
            roundEnd(agent, round, ROUND_STOPPED, "stopped", true);
        else if (round->phase == PHASE_RUNNING)
            roundEnd(agent, round, ROUND_LOST, "the worker knows nothing of it any more", true);
        else if (now_ms < round->expiry_ms)
            round->phase = PHASE_OFFERED; /* the answer that carried it was lost */
        else
            roundEnd(agent, round, ROUND_REFUSED, "the order expired before it started", true);
    }
}

/* A worker that tells its free room may be used by others too. What it runs for
 * us is not theirs; a round of unknown size (from before our start) counts as theirs. */
static void othersTake(Agent *agent, const WorkerReport *report)
{
    agent->others = (Room){0};
    if (!report->freeTold)
        return;
    Room known = report->free;
    for (const Round *round = agent->rounds.lives.first; round != NULL; round = round->next)
        if (listed(report->running, report->runningCount, &round->order)) {
            known.cpu_milli += round->order.room.cpu_milli;
            known.mem_mb += round->order.room.mem_mb;
            known.gpu += round->order.room.gpu;
        }
    const Room whole = report->worker.room;
    agent->others = (Room){whole.cpu_milli > known.cpu_milli ? whole.cpu_milli - known.cpu_milli : 0,
                           whole.mem_mb > known.mem_mb ? whole.mem_mb - known.mem_mb : 0,
                           whole.gpu > known.gpu ? whole.gpu - known.gpu : 0};
}

/* What it is, and how it stands; after its rounds: what an earlier agent gave it is
 * known then. */
static void selfTake(Agent *agent, const WorkerReport *report)
{
    Worker worker = report->worker;
    worker.name = agent->workerName;
    const bool same = report->left || shape_equal(&Worker_shape, &worker, &agent->worker);
    const bool live = !report->left, leaving = report->leaving || report->left;
    const bool news = !same || agent->worker_live != live || agent->workerLeaving != leaving || !agent->settled;
    agent->settled = true;
    if (!same) {
        void *mem = talloc_new(agent);
        shape_copy(&Worker_shape, &worker, mem, &agent->worker);
        talloc_free(agent->workerMem);
        agent->workerMem = mem;
        /* what was ordered was meant for another worker */
        roundsWithdraw(agent, "the worker is another now");
    }
    agent->worker_live = live;
    agent->workerLeaving = leaving;
    agent->leave_until_ms = report->leave_ms > 0 ? loop_now_ms(agent->loop) + report->leave_ms : 0;
    if (leaving)
        roundsWithdraw(agent, "the worker leaves");
    if (news)
        beatNow(agent);
}

/* --- answering ------------------------------------------------------------------------- */

/* It says of a round that is over for us that it runs: it is to stop. */
static bool lingers(Agent *agent, const RoundNews *news)
{
    const Round *round = round_find(agent, news->job, news->task, news->round);
    return round != NULL && round->phase >= PHASE_ENDED;
}

static bool knownAny(Agent *agent, const WorkerReport *report)
{
    for (size_t i = 0; i < report->endedCount; i++) {
        const RoundNews *news = &report->ended[i];
        const Round *round = round_find(agent, news->job, news->task, news->round);
        if (round != NULL && round->phase == PHASE_KNOWN)
            return true;
    }
    return false;
}

/* Whether there is something that does not wait. */
static bool anythingFor(Agent *agent, const WorkerReport *report)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    const bool runs = hold_runs(&agent->hold, now_ms);
    for (const Round *round = agent->rounds.lives.first; round != NULL; round = round->next)
        if ((round->phase == PHASE_OFFERED && runs) || round->phase == PHASE_STOPPING)
            return true;
    for (size_t i = 0; i < report->runningCount; i++)
        if (lingers(agent, &report->running[i]))
            return true;
    /* what comes next for the room of what has ended goes in the same answer */
    return !report->endsWait && knownAny(agent, report);
}

/* While something runs, an end may wait for the answer, as an order may for the next
 * question: of each the half costs least. While nothing does, only an order can come. */
static int64_t answerUntilMs(const Agent *agent, const WorkerReport *report)
{
    int64_t wait_ms = agent->props->bounds.worker_poll_ms;
    if (report->wait_ms < wait_ms)
        wait_ms = report->wait_ms;
    if (report->endsWait && report->runningCount + report->endedCount > 0 && wait_ms > WORKER_BUSY_MS)
        wait_ms = WORKER_BUSY_MS;
    return loop_now_ms(agent->loop) + wait_ms;
}

/* What of the rest of the agent's own hold is passed on. */
static int64_t holdPass(Agent *agent, int64_t now_ms)
{
    int64_t left_ms = hold_left_ms(&agent->hold, now_ms);
    if (left_ms > agent->props->bounds.worker_hold_ms)
        left_ms = agent->props->bounds.worker_hold_ms;
    const int64_t passedMs = hold_passed_ms(left_ms);
    if (passedMs > 0 && now_ms + hold_claim_ms(passedMs) > agent->workerUntilMs)
        agent->workerUntilMs = now_ms + hold_claim_ms(passedMs);
    return passedMs;
}

static RoundId idOf(void *mem, const Round *round)
{
    return (RoundId){talloc_strdup(mem, round->order.job), round->order.task, round->order.round};
}

static void orders_fill(Agent *agent, void *mem, const WorkerReport *report, WorkerOrders *orders)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    const unsigned lives = (unsigned)agent->rounds.lives.count;
    Order *starts = talloc_zero_array(mem, Order, lives);
    RoundId *stops = talloc_zero_array(mem, RoundId, lives + (unsigned)report->runningCount);
    RoundId *known = talloc_zero_array(mem, RoundId, (unsigned)report->endedCount);
    *orders = (WorkerOrders){.epoch = agent->hold.epoch,
                             .fence = epoch_counter(agent->hold.epoch),
                             .hold_ms = holdPass(agent, now_ms),
                             .starts = starts,
                             .start_ms = INT64_MAX,
                             .stops = stops,
                             .known = known,
                             .again_ms = WORKER_AGAIN_MS};
    for (Round *round = agent->rounds.lives.first, *next; round != NULL; round = next) {
        next = round->next;
        if (round->phase == PHASE_OFFERED && now_ms >= round->expiry_ms) {
            roundEnd(agent, round, ROUND_REFUSED, "the order expired before it started", true);
        } else if (round->phase == PHASE_OFFERED && orders->hold_ms > 0) {
            shape_copy(&Order_shape, &round->order, mem, &starts[orders->starts_count++]);
            if (round->expiry_ms - now_ms < orders->start_ms)
                orders->start_ms = round->expiry_ms - now_ms;
            round->phase = PHASE_SENT;
            round->givenMs = now_ms;
            roundTrace(agent, round, TRACE_GIVEN);
        } else if (round->phase == PHASE_STOPPING) {
            stops[orders->stopsCount++] = idOf(mem, round);
        }
    }
    for (size_t i = 0; i < report->runningCount; i++) {
        const RoundNews *news = &report->running[i];
        if (lingers(agent, news))
            stops[orders->stopsCount++] = (RoundId){talloc_strdup(mem, news->job), news->task, news->round};
    }
    for (size_t i = 0; i < report->endedCount; i++) {
        const RoundNews *news = &report->ended[i];
        const Round *round = round_find(agent, news->job, news->task, news->round);
        if (round != NULL && round->phase == PHASE_KNOWN)
            known[orders->knownCount++] = idOf(mem, round);
    }
}

Status agentReport(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders)
{
    *orders = (WorkerOrders){0};
    const Status status = bootTake(agent, report);
    if (status != STATUS_OK)
        return status;
    const int64_t now_ms = loop_now_ms(agent->loop);
    agent->asked_ms = now_ms;
    rounds_take(agent, report);
    othersTake(agent, report);
    selfTake(agent, report);
    const uint64_t question = ++agent->questions;
    signal_raise(agent->loop, &agent->forWorker); /* an earlier question is over */
    if (report->left) {
        bootEnd(agent, report->bootEnds, "the worker has left");
        orders_fill(agent, mem, report, orders);
        orders->hold_ms = 0;
        return STATUS_OK;
    }
    const int64_t until_ms = answerUntilMs(agent, report);
    while (question == agent->questions && !*gone && !anythingFor(agent, report))
        if (!signal_wait(agent->loop, &agent->forWorker, until_ms))
            break;
    if (*gone || question != agent->questions)
        return STATUS_CLOSED;
    orders_fill(agent, mem, report, orders);
    return STATUS_OK;
}
