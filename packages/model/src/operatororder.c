/* Orders of an operator: sent again until they are answered clearly, and in time. */
#include "operatororder.h"

#include <inttypes.h>
#include <talloc.h>

#define ROUTE_MS 3 /* ms; an acknowledgement may take so much longer for each queue */

Loop *operator_loop(const Operator *self)
{
    return sim_loop(self->ground->world, self->machine);
}

GroundNode *operator_node(Operator *self)
{
    Ground *ground = self->ground;
    for (;;) {
        GroundNode *node = &ground->edges[dice_span(&self->dice, 0, (int64_t)ground->edge_count - 1)];
        if (node->used && !node->gone)
            return node;
    }
}

const char *outcome_word(Outcome outcome)
{
    return outcome == OUTCOME_GOOD    ? "taken"
           : outcome == OUTCOME_STALE ? "stale"
           : outcome == OUTCOME_WRONG ? "wrong"
                                      : "unclear";
}

Outcome operator_ask(const Operator *self, void *mem, const GroundNode *node, const char *method, const Worded *worded,
                     Bytes *result)
{
    const Ground *ground = self->ground;
    const HttpPair heads[] = {{worded->head_name, worded->head_value}};
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(ground->world, node->machine),
                                                ground->tongue->operator_port),
                     .method = method,
                     .path = worded->path,
                     .body = worded->body,
                     .wait_ms = CALL_MOST_MS,
                     .heads = heads,
                     .head_count = worded->head_name != NULL};
    const Status status = loop_call(operator_loop(self), &call);
    if (result != NULL)
        *result = call.result;
    return ground->tongue->outcome(status == STATUS_OK ? call.code : 0);
}

/* Within one stretch of a settled controller and whole links it is acknowledged in time. */
static void ack_check(Ordering *ordering)
{
    const Ground *ground = ordering->owner->ground;
    const int64_t now_ms = ground_now_ms(ground);
    if (ordering->late_told || ordering->raced || ordering->over || !ground_settled(ground) || !ground_calm(ground))
        return;
    if (ordering->sent != NULL && ordering->sent->spoil != SPOIL_NONE)
        return;
    int64_t from_ms = ordering->sent_ms;
    from_ms = ground->any_ms + ground->site->contact_ms > from_ms ? ground->any_ms + ground->site->contact_ms : from_ms;
    const int64_t queues = ordering->sent != NULL ? (int64_t)ordering->sent->document.queue_count : 0;
    if (now_ms - from_ms < ground->site->ack_ms + queues * ROUTE_MS)
        return;
    ordering->late_told = true;
    rules_broke(ground->rules, RULE_ACK, ground_day_ms(ground),
                "%s %" PRIu64 " is not acknowledged after %" PRId64 " ms",
                ordering->sent != NULL ? "document" : ordering->zone,
                ordering->sent != NULL ? ordering->sent->document.version : 0, now_ms - from_ms);
}

/* UNCLEAR: go on; else what ended it. */
static Outcome order_once(Ordering *ordering, void *mem, const Worded *worded)
{
    Operator *self = ordering->owner;
    GroundNode *node = operator_node(self);
    const uint64_t life = node->life;
    const Outcome outcome = operator_ask(self, mem, node, "POST", worded, NULL);
    if (outcome == OUTCOME_GOOD && node->life == life) {
        self->last_taker = node;
        self->last_taken_ms = ground_now_ms(self->ground);
    }
    return outcome == OUTCOME_GOOD || outcome == OUTCOME_STALE || outcome == OUTCOME_WRONG ? outcome : OUTCOME_UNCLEAR;
}

Outcome order_send(Ordering *ordering, const Worded *worded, int64_t for_ms)
{
    Operator *self = ordering->owner;
    ordering->sent_ms = ground_now_ms(self->ground);
    int64_t pause_ms = 50;
    Outcome outcome = OUTCOME_UNCLEAR;
    self->orders++;
    self->opened++;
    while (outcome == OUTCOME_UNCLEAR && ground_now_ms(self->ground) - ordering->sent_ms < for_ms) {
        void *mem = talloc_new(ordering);
        outcome = order_once(ordering, mem, worded);
        talloc_free(mem);
        ordering->over = outcome != OUTCOME_UNCLEAR;
        ack_check(ordering);
        if (outcome == OUTCOME_UNCLEAR)
            loop_sleep(operator_loop(self), pause_ms);
        pause_ms = pause_ms < 400 ? pause_ms * 2 : pause_ms;
    }
    ack_check(ordering);
    self->opened--;
    self->unclear += outcome == OUTCOME_UNCLEAR;
    return outcome;
}
