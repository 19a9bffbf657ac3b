#include "attempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state/change.h"

#define TRACE_DETAIL_BYTES 48 /* bytes; a method, a code and a time */
#define ATTEMPT_QUIET_MS 400  /* ms; nothing has come back for so long: does the way live? A commit takes far less */

/* Freed by whichever of the asking task and the waiting one ends last.
 * Invariant: on the forwarder's list exactly while its asker waits. */
typedef struct Attempt {
    struct Attempt *prev, *next;
    Forwarder *forwarder;
    size_t users;
    WaysTaken taken;
    ForwardAsk ask;
    RpcSending sending;
    int64_t deadline_ms;
    bool done;
    Signal news; /* it is done, or the ways have moved on */
    Status status;
    ForwardAnswer answer;
} Attempt;

/* What the result speaks of, for those who trace it. */
static void trace_answered(const Forwarder *forwarder, const Attempt *attempt, int64_t took_ms)
{
    char detail[TRACE_DETAIL_BYTES];
    const ForwardAnswer *answer = &attempt->answer;
    snprintf(detail, sizeof(detail), "%s %d, %lld ms", attempt->ask.method, (int)answer->code, (long long)took_ms);
    for (size_t i = 0; i < answer->repair_items_count; i++) {
        const RepairItem *item = &answer->repair_items[i];
        void *mem = talloc_new(NULL);
        JobAdd add;
        JobCancel cancel;
        ConfigSet set;
        ZoneDrain drain;
        if (item->change == CHANGE_JOB_ADD && shape_unpack(&JobAdd_shape, item->payload, mem, &add, NULL) == STATUS_OK)
            trace_say(forwarder->settings.trace, TRACE_CARRIED, detail, "job:%s", add.spec.id);
        else if (item->change == CHANGE_JOB_CANCEL &&
                 shape_unpack(&JobCancel_shape, item->payload, mem, &cancel, NULL) == STATUS_OK)
            trace_say(forwarder->settings.trace, TRACE_CARRIED, detail, "job:%s", cancel.id);
        else if (item->change == CHANGE_CONFIG_SET &&
                 shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) == STATUS_OK)
            trace_say(forwarder->settings.trace, TRACE_CARRIED, detail, "config:%" PRIu64, set.version);
        else if (item->change == CHANGE_ZONE_DRAIN &&
                 shape_unpack(&ZoneDrain_shape, item->payload, mem, &drain, NULL) == STATUS_OK)
            trace_say(forwarder->settings.trace, TRACE_CARRIED, detail, "zone:%s", drain.zone);
        talloc_free(mem);
    }
}

static void attempt_leave(Attempt *attempt)
{
    if (--attempt->users == 0)
        talloc_free(attempt);
}

/* A leader that serves, as its answer shows. */
static bool served(const ForwardAnswer *answer)
{
    return answer->code != NOT_TAKEN_HTTP || (answer->status != STATUS_NOT_LEADER &&
                                              answer->status != STATUS_REPAIRING && answer->status != STATUS_LEAVING);
}

static void ask_main(void *arg)
{
    Attempt *attempt = arg;
    Forwarder *forwarder = attempt->forwarder;
    Loop *loop = forwarder->settings.loop;
    const int64_t start_ms = loop_now_ms(loop);
    attempt->ask.wait_ms = (uint64_t)(attempt->deadline_ms - start_ms);
    if (attempt->taken.own) {
        attempt->sending.sent = true;
        forwarder->settings.serve(forwarder->settings.arg, attempt, &attempt->ask, &attempt->answer);
        attempt->status = STATUS_OK;
    } else {
        const RpcTarget target = {attempt->taken.address, attempt->taken.peer, &attempt->sending};
        attempt->status =
            rpc_ask_peer(forwarder->settings.rpc, attempt, &target, MESSAGE_FORWARD, &ForwardAsk_shape, &attempt->ask,
                         attempt->deadline_ms - start_ms, &ForwardAnswer_shape, &attempt->answer);
    }
    if (attempt->status == STATUS_OK) {
        if (!attempt->taken.own)
            ways_heard(forwarder->ways, &attempt->taken, served(&attempt->answer));
        trace_answered(forwarder, attempt, loop_now_ms(loop) - start_ms);
        repair_buffer_keep(forwarder->settings.repair_buffer, attempt->answer.repair_items,
                           attempt->answer.repair_items_count);
        attempt->answer.repair_items_count = 0;
    } else {
        ways_told(forwarder->ways, &attempt->answer);
    }
    attempt->done = true;
    signal_raise(loop, &attempt->news);
    attempt_leave(attempt);
}

void attempts_wake(Forwarder *forwarder)
{
    for (Attempt *one = forwarder->waiting; one != NULL; one = one->next)
        signal_raise(forwarder->settings.loop, &one->news);
}

/* Nothing has come back along the way since this was asked, and not lately: the first
 * to see that asks whether it lives, for all. */
static void whether_alive(Forwarder *forwarder, const Attempt *attempt)
{
    forwarder->pinging = true;
    if (!ways_alive(forwarder->ways, &attempt->taken))
        ways_failed(forwarder->ways, &attempt->taken);
    forwarder->pinging = false;
    attempts_wake(forwarder);
}

static void wait_for(Forwarder *forwarder, Attempt *attempt, int64_t asked_ms)
{
    Loop *loop = forwarder->settings.loop;
    while (!attempt->done && ways_current(forwarder->ways, &attempt->taken) &&
           loop_now_ms(loop) < attempt->deadline_ms) {
        int64_t heard_ms = ways_heard_ms(forwarder->ways), wake_ms = attempt->deadline_ms;
        if (heard_ms < asked_ms)
            heard_ms = asked_ms;
        const int64_t quiet_ms = heard_ms + ATTEMPT_QUIET_MS;
        if (!attempt->taken.own && !forwarder->pinging) {
            if (loop_now_ms(loop) >= quiet_ms) {
                whether_alive(forwarder, attempt);
                continue;
            }
            if (quiet_ms < wake_ms)
                wake_ms = quiet_ms;
        }
        signal_wait(loop, &attempt->news, wake_ms);
    }
}

Status attempt_forward(Forwarder *forwarder, void *mem, const WaysTaken *taken, const ForwardAsk *ask, int64_t until_ms,
                       ForwardAnswer *answer)
{
    Attempt *attempt = talloc_zero(forwarder, Attempt);
    attempt->forwarder = forwarder;
    attempt->users = 2;
    attempt->deadline_ms = until_ms;
    attempt->taken = *taken;
    shape_copy(&ForwardAsk_shape, ask, attempt, &attempt->ask);
    attempt->ask.relay = taken->relay;
    attempt->next = forwarder->waiting;
    if (attempt->next != NULL)
        attempt->next->prev = attempt;
    forwarder->waiting = attempt;
    loop_spawn(forwarder->settings.loop, "attempt", ask_main, attempt);
    wait_for(forwarder, attempt, loop_now_ms(forwarder->settings.loop));
    if (attempt->prev != NULL)
        attempt->prev->next = attempt->next;
    else
        forwarder->waiting = attempt->next;
    if (attempt->next != NULL)
        attempt->next->prev = attempt->prev;
    /* one that still waits for a connection will not be sent any more */
    attempt->sending.cancelled = true;
    Status status = attempt->sending.sent ? STATUS_EXPIRED : STATUS_UNREACHABLE;
    if (attempt->done)
        status = attempt->status;
    if (status == STATUS_OK)
        shape_copy(&ForwardAnswer_shape, &attempt->answer, mem, answer);
    attempt_leave(attempt);
    return status;
}
