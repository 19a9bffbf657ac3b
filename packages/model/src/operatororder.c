/* Orders of an operator: sent again until they are answered clearly, and in time. */
#include "operatororder.h"

#include <inttypes.h>
#include <talloc.h>

#define ROUTE_MS 3 /* ms; an acknowledgement may take so much longer for each queue */

Loop *operatorLoop(const Operator *self)
{
    return sim_loop(self->ground->world, self->machine);
}

GroundNode *operatorNode(Operator *self)
{
    Ground *ground = self->ground;
    for (;;) {
        GroundNode *node = &ground->edges[diceSpan(&self->dice, 0, (int64_t)ground->edgeCount - 1)];
        if (node->used && !node->gone)
            return node;
    }
}

const char *outcomeWord(Outcome outcome)
{
    return outcome == OUTCOME_GOOD    ? "taken"
           : outcome == OUTCOME_STALE ? "stale"
           : outcome == OUTCOME_WRONG ? "wrong"
                                      : "unclear";
}

Outcome operatorAsk(const Operator *self, void *mem, const GroundNode *node, const char *method, const Worded *worded,
                    Bytes *result)
{
    const Ground *ground = self->ground;
    const HttpPair heads[] = {{worded->headName, worded->headValue}};
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(ground->world, node->machine),
                                                ground->tongue->operatorPort),
                     .method = method,
                     .path = worded->path,
                     .body = worded->body,
                     .wait_ms = CALL_MOST_MS,
                     .heads = heads,
                     .head_count = worded->headName != NULL};
    const Status status = loop_call(operatorLoop(self), &call);
    if (result != NULL)
        *result = call.result;
    return ground->tongue->outcome(status == STATUS_OK ? call.code : 0);
}

/* Within one stretch of a settled core and whole links it is acknowledged in time. */
static void ackCheck(Ordering *ordering)
{
    const Ground *ground = ordering->owner->ground;
    const int64_t now_ms = groundNowMs(ground);
    if (ordering->lateTold || ordering->raced || ordering->over || !groundSettled(ground) || !groundCalm(ground))
        return;
    if (ordering->sent != NULL && ordering->sent->spoil != SPOIL_NONE)
        return;
    int64_t from_ms = ordering->sent_ms;
    from_ms = ground->anyMs + ground->site->contactMs > from_ms ? ground->anyMs + ground->site->contactMs : from_ms;
    const int64_t queues = ordering->sent != NULL ? (int64_t)ordering->sent->document.queue_count : 0;
    if (now_ms - from_ms < ground->site->ackMs + queues * ROUTE_MS)
        return;
    ordering->lateTold = true;
    rulesBroke(ground->rules, RULE_ACK, groundDayMs(ground), "%s %" PRIu64 " is not acknowledged after %" PRId64 " ms",
               ordering->sent != NULL ? "document" : ordering->zone,
               ordering->sent != NULL ? ordering->sent->document.revision : 0, now_ms - from_ms);
}

/* UNCLEAR: go on; else what ended it. */
static Outcome orderOnce(Ordering *ordering, void *mem, const Worded *worded)
{
    Operator *self = ordering->owner;
    GroundNode *node = operatorNode(self);
    const uint64_t life = node->life;
    const Outcome outcome = operatorAsk(self, mem, node, "POST", worded, NULL);
    if (outcome == OUTCOME_GOOD && node->life == life) {
        self->lastTaker = node;
        self->lastTakenMs = groundNowMs(self->ground);
    }
    return outcome == OUTCOME_GOOD || outcome == OUTCOME_STALE || outcome == OUTCOME_WRONG ? outcome : OUTCOME_UNCLEAR;
}

Outcome orderSend(Ordering *ordering, const Worded *worded, int64_t for_ms)
{
    Operator *self = ordering->owner;
    ordering->sent_ms = groundNowMs(self->ground);
    int64_t pauseMs = 50;
    Outcome outcome = OUTCOME_UNCLEAR;
    self->orders++;
    self->opened++;
    while (outcome == OUTCOME_UNCLEAR && groundNowMs(self->ground) - ordering->sent_ms < for_ms) {
        void *mem = talloc_new(ordering);
        outcome = orderOnce(ordering, mem, worded);
        talloc_free(mem);
        ordering->over = outcome != OUTCOME_UNCLEAR;
        ackCheck(ordering);
        if (outcome == OUTCOME_UNCLEAR)
            loop_sleep(operatorLoop(self), pauseMs);
        pauseMs = pauseMs < 400 ? pauseMs * 2 : pauseMs;
    }
    ackCheck(ordering);
    self->opened--;
    self->unclear += outcome == OUTCOME_UNCLEAR;
    return outcome;
}
