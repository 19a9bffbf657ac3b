/* One attempt to have a request answered: the coroutine that sends the request, and the one that waits for it. */
#include "attempt.h"

#include <talloc.h>

#include "answer_trace.h"
#include "hop.h"
#include "outcome.h"

/* Time without any answer from the next hop after which it is pinged, in ms; a commit takes far less */
#define ATTEMPT_PING_AFTER_MS 400
#define ATTEMPT_REFERENCES 2 /* initial number of references: the sending coroutine's and the waiting one's */

struct Attempts {
    AttemptSettings settings;
    int64_t end_ms;          /* no deadline of an attempt is later */
    bool pinging;            /* one of the waiting coroutines is pinging the next hop */
    struct Attempt *waiting; /* list of the attempts that a request still waits for */
};

/* One attempt. Freed by the last of its two coroutines, the sending one and the waiting one (references).
 * Invariant: an attempt is on the waiting list exactly while attempt_forward waits for it. */
typedef struct Attempt {
    struct Attempt *prev, *next;
    Attempts *attempts;
    size_t references;
    LeaderHop hop;
    ForwardAsk ask;       /* a copy of the request, allocated on the attempt */
    RpcSendState sending; /* whether the request was sent, and whether it is cancelled */
    int64_t deadline_ms;  /* by the loop's clock */
    bool done;            /* status and, if it is STATUS_OK, answer are set */
    Signal changed;       /* raised when the attempt is done or the route has been replaced */
    Status status;
    ForwardAnswer answer;
} Attempt;

Attempts *attempts_new(void *mem, const AttemptSettings *settings)
{
    Attempts *attempts = talloc_zero(mem, Attempts);
    attempts->settings = *settings;
    attempts->end_ms = INT64_MAX;
    return attempts;
}

static void attempt_release(Attempt *attempt)
{
    if (--attempt->references == 0)
        talloc_free(attempt);
}

/* --- the sending coroutine --------------------------------------------------------------- */

/* Suspends the coroutine. Has the request served by this process while it leads, else by the next hop. */
static Status attempt_send(Attempt *attempt, int64_t start_ms)
{
    const AttemptSettings *settings = &attempt->attempts->settings;
    if (attempt->hop.self) {
        attempt->sending.sent = true;
        settings->serve(settings->arg, attempt, &attempt->ask, &attempt->answer);
        return STATUS_OK;
    }
    return hop_request(settings->rpc, attempt, &attempt->hop, &attempt->sending, &attempt->ask,
                       attempt->deadline_ms - start_ms, &attempt->answer);
}

/* Records an answer. Its committed changes are stored for repair even if a caller no longer waits for it: this process
 * may be the only one that has received them. */
static void attempt_record_answer(Attempt *attempt, int64_t took_ms)
{
    const AttemptSettings *settings = &attempt->attempts->settings;
    if (!attempt->hop.self)
        leader_route_record_answer(settings->leader_route, &attempt->hop, outcome_leader_serves(&attempt->answer));
    answer_trace(settings->trace, attempt->ask.method, &attempt->answer, took_ms);
    repair_buffer_add(settings->repair_buffer, attempt->answer.repair_items, attempt->answer.repair_items_count);
    attempt->answer.repair_items_count = 0;
}

static void request_main(void *arg)
{
    Attempt *attempt = arg;
    const AttemptSettings *settings = &attempt->attempts->settings;
    const int64_t start_ms = loop_now_ms(settings->loop);
    attempt->ask.wait_ms = (uint64_t)(attempt->deadline_ms - start_ms);
    attempt->status = attempt_send(attempt, start_ms);
    if (attempt->status == STATUS_OK)
        attempt_record_answer(attempt, loop_now_ms(settings->loop) - start_ms);
    else
        leader_route_learn_leader(settings->leader_route, &attempt->answer);
    attempt->done = true;
    signal_raise(settings->loop, &attempt->changed);
    attempt_release(attempt);
}

/* --- the waiting coroutine ----------------------------------------------------------------- */

void attempts_wake(Attempts *attempts)
{
    for (Attempt *attempt = attempts->waiting; attempt != NULL; attempt = attempt->next)
        signal_raise(attempts->settings.loop, &attempt->changed);
}

void attempts_end_by(Attempts *attempts, int64_t until_ms)
{
    attempts->end_ms = until_ms;
    for (Attempt *attempt = attempts->waiting; attempt != NULL; attempt = attempt->next)
        if (attempt->deadline_ms > until_ms)
            attempt->deadline_ms = until_ms < attempts->end_ms ? until_ms : attempts->end_ms;
    attempts_wake(attempts);
}

/* Suspends the coroutine. Pings the next hop on behalf of all waiting attempts, after ATTEMPT_PING_AFTER_MS without an
 * answer on the route. */
static void hop_check_alive(Attempts *attempts, const Attempt *attempt)
{
    LeaderRoute *leader_route = attempts->settings.leader_route;
    attempts->pinging = true;
    if (!leader_route_check_hop(leader_route, &attempt->hop))
        leader_route_report_failure(leader_route, &attempt->hop);
    attempts->pinging = false;
    attempts_wake(attempts);
}

/* Suspends the coroutine until the attempt is done, its route has been replaced or its deadline has passed. */
static void attempt_wait(Attempts *attempts, Attempt *attempt, int64_t sent_ms)
{
    Loop *loop = attempts->settings.loop;
    const LeaderRoute *leader_route = attempts->settings.leader_route;
    while (!attempt->done && leader_route_is_current(leader_route, &attempt->hop) &&
           loop_now_ms(loop) < attempt->deadline_ms) {
        int64_t last_answer_ms = leader_route_last_answer_ms(leader_route);
        int64_t wake_ms = attempt->deadline_ms;
        if (last_answer_ms < sent_ms)
            last_answer_ms = sent_ms;
        const int64_t ping_at_ms = last_answer_ms + ATTEMPT_PING_AFTER_MS;
        if (!attempt->hop.self && !attempts->pinging) {
            if (loop_now_ms(loop) >= ping_at_ms) {
                hop_check_alive(attempts, attempt);
                continue;
            }
            if (ping_at_ms < wake_ms)
                wake_ms = ping_at_ms;
        }
        signal_wait(loop, &attempt->changed, wake_ms);
    }
}

static void waiting_add(Attempts *attempts, Attempt *attempt)
{
    attempt->next = attempts->waiting;
    if (attempt->next != NULL)
        attempt->next->prev = attempt;
    attempts->waiting = attempt;
}

static void waiting_remove(Attempts *attempts, Attempt *attempt)
{
    if (attempt->prev != NULL)
        attempt->prev->next = attempt->next;
    else
        attempts->waiting = attempt->next;
    if (attempt->next != NULL)
        attempt->next->prev = attempt->prev;
}

Status attempt_forward(Attempts *attempts, void *mem, const LeaderHop *hop, const ForwardAsk *ask, int64_t until_ms,
                       ForwardAnswer *answer)
{
    Loop *loop = attempts->settings.loop;
    Attempt *attempt = talloc_zero(attempts, Attempt);
    attempt->attempts = attempts;
    attempt->references = ATTEMPT_REFERENCES;
    attempt->deadline_ms = until_ms;
    attempt->hop = *hop;
    shape_copy(&ForwardAsk_shape, ask, attempt, &attempt->ask);
    attempt->ask.relay = hop->relay;
    waiting_add(attempts, attempt);
    loop_spawn(loop, "attempt", request_main, attempt);
    attempt_wait(attempts, attempt, loop_now_ms(loop));
    waiting_remove(attempts, attempt);
    /* a request that still waits for a connection will not be sent */
    attempt->sending.cancelled = true;
    Status status = attempt->sending.sent ? STATUS_EXPIRED : STATUS_UNREACHABLE;
    if (attempt->done)
        status = attempt->status;
    if (status == STATUS_OK)
        shape_copy(&ForwardAnswer_shape, &attempt->answer, mem, answer);
    attempt_release(attempt);
    return status;
}
