/* One attempt to have a request answered: the coroutine that asks, and the wait for it. */
#include "attempt.h"

#include <talloc.h>

#include "answer_trace.h"
#include "hop.h"
#include "outcome.h"

#define ATTEMPT_QUIET_MS \
    400 /* ms; after so long without an answer the next hop is asked whether it is alive; a commit takes far less */
#define ATTEMPT_USERS 2 /* count; the asking coroutine and the waiting one */

struct Attempts {
    AttemptSettings settings;
    bool pinging;            /* one of the waiting coroutines asks whether the next hop is alive */
    struct Attempt *waiting; /* attempts whose callers still wait */
};

/* Freed by whichever ends last, the asking coroutine or the waiting one (users).
 * Invariant: on the waiting list exactly while attempt_forward waits for it. */
typedef struct Attempt {
    struct Attempt *prev, *next;
    Attempts *attempts;
    size_t users;
    LeaderHop taken;
    ForwardAsk ask;
    RpcSending sending;
    int64_t deadline_ms;
    bool done;
    Signal changed; /* it is done, or the route has been replaced */
    Status status;
    ForwardAnswer answer;
} Attempt;

Attempts *attempts_new(void *mem, const AttemptSettings *settings)
{
    Attempts *attempts = talloc_zero(mem, Attempts);
    attempts->settings = *settings;
    return attempts;
}

static void attempt_leave(Attempt *attempt)
{
    if (--attempt->users == 0)
        talloc_free(attempt);
}

/* --- the asking coroutine ---------------------------------------------------------------- */

/* Waits. Asks this process itself while it leads, else the next hop. */
static Status attempt_ask(Attempt *attempt, int64_t start_ms)
{
    const AttemptSettings *settings = &attempt->attempts->settings;
    if (attempt->taken.own) {
        attempt->sending.sent = true;
        settings->serve(settings->arg, attempt, &attempt->ask, &attempt->answer);
        return STATUS_OK;
    }
    return hop_ask(settings->rpc, attempt, &attempt->taken, &attempt->sending, &attempt->ask,
                   attempt->deadline_ms - start_ms, &attempt->answer);
}

/* The committed changes are kept also when nobody waits for the answer any more: this process may be the only one that
 * has received them. */
static void attempt_answered(Attempt *attempt, int64_t took_ms)
{
    const AttemptSettings *settings = &attempt->attempts->settings;
    if (!attempt->taken.own)
        leader_route_heard(settings->leader_route, &attempt->taken, outcome_leader_serves(&attempt->answer));
    answer_trace(settings->trace, attempt->ask.method, &attempt->answer, took_ms);
    repair_buffer_keep(settings->repair_buffer, attempt->answer.repair_items, attempt->answer.repair_items_count);
    attempt->answer.repair_items_count = 0;
}

static void ask_main(void *arg)
{
    Attempt *attempt = arg;
    const AttemptSettings *settings = &attempt->attempts->settings;
    const int64_t start_ms = loop_now_ms(settings->loop);
    attempt->ask.wait_ms = (uint64_t)(attempt->deadline_ms - start_ms);
    attempt->status = attempt_ask(attempt, start_ms);
    if (attempt->status == STATUS_OK)
        attempt_answered(attempt, loop_now_ms(settings->loop) - start_ms);
    else
        leader_route_learn(settings->leader_route, &attempt->answer);
    attempt->done = true;
    signal_raise(settings->loop, &attempt->changed);
    attempt_leave(attempt);
}

/* --- the waiting coroutine ----------------------------------------------------------------- */

void attempts_wake(Attempts *attempts)
{
    for (Attempt *one = attempts->waiting; one != NULL; one = one->next)
        signal_raise(attempts->settings.loop, &one->changed);
}

/* Waits. Asks, for all who wait, whether the next hop is alive: nothing has come back along the route for
 * ATTEMPT_QUIET_MS. */
static void hop_check_alive(Attempts *attempts, const Attempt *attempt)
{
    LeaderRoute *leader_route = attempts->settings.leader_route;
    attempts->pinging = true;
    if (!leader_route_alive(leader_route, &attempt->taken))
        leader_route_failed(leader_route, &attempt->taken);
    attempts->pinging = false;
    attempts_wake(attempts);
}

/* Waits, until the attempt is done, its route has been replaced or its deadline has passed. */
static void wait_for(Attempts *attempts, Attempt *attempt, int64_t asked_ms)
{
    Loop *loop = attempts->settings.loop;
    const LeaderRoute *leader_route = attempts->settings.leader_route;
    while (!attempt->done && leader_route_current(leader_route, &attempt->taken) &&
           loop_now_ms(loop) < attempt->deadline_ms) {
        int64_t heard_ms = leader_route_heard_ms(leader_route);
        int64_t wake_ms = attempt->deadline_ms;
        if (heard_ms < asked_ms)
            heard_ms = asked_ms;
        const int64_t quiet_ms = heard_ms + ATTEMPT_QUIET_MS;
        if (!attempt->taken.own && !attempts->pinging) {
            if (loop_now_ms(loop) >= quiet_ms) {
                hop_check_alive(attempts, attempt);
                continue;
            }
            if (quiet_ms < wake_ms)
                wake_ms = quiet_ms;
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

Status attempt_forward(Attempts *attempts, void *mem, const LeaderHop *taken, const ForwardAsk *ask, int64_t until_ms,
                       ForwardAnswer *answer)
{
    Loop *loop = attempts->settings.loop;
    Attempt *attempt = talloc_zero(attempts, Attempt);
    attempt->attempts = attempts;
    attempt->users = ATTEMPT_USERS;
    attempt->deadline_ms = until_ms;
    attempt->taken = *taken;
    shape_copy(&ForwardAsk_shape, ask, attempt, &attempt->ask);
    attempt->ask.relay = taken->relay;
    waiting_add(attempts, attempt);
    loop_spawn(loop, "attempt", ask_main, attempt);
    wait_for(attempts, attempt, loop_now_ms(loop));
    waiting_remove(attempts, attempt);
    /* a request that still waits for a connection is not sent any more */
    attempt->sending.cancelled = true;
    Status status = attempt->sending.sent ? STATUS_EXPIRED : STATUS_UNREACHABLE;
    if (attempt->done)
        status = attempt->status;
    if (status == STATUS_OK)
        shape_copy(&ForwardAnswer_shape, &attempt->answer, mem, answer);
    attempt_leave(attempt);
    return status;
}
