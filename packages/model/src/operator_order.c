/* Requests of an operator: sent again until they are answered clearly, which must be in time. */
#include "operator_order.h"

#include <inttypes.h>
#include <talloc.h>

#define ROUTE_MS 3 /* ms; an acknowledgement may take so much longer for each queue */

Loop *operator_loop(const Operator *self)
{
    return sim_loop(self->topology->world, self->machine);
}

TopologyNode *operator_node(Operator *self)
{
    Topology *topology = self->topology;
    for (;;) {
        TopologyNode *node =
            &topology->servers[random_source_span(&self->random_source, 0, (int64_t)topology->server_count - 1)];
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

Outcome operator_ask(const Operator *self, void *mem, const TopologyNode *node, const char *method,
                     const Worded *worded, Bytes *result)
{
    const Topology *topology = self->topology;
    const HttpHeader heads[] = {{worded->head_name, worded->head_value}};
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                topology->codec->operator_port),
                     .method = method,
                     .path = worded->path,
                     .body = worded->body,
                     .wait_ms = CALL_MOST_MS,
                     .request_headers = heads,
                     .request_header_count = worded->head_name != NULL};
    const Status status = loop_call(operator_loop(self), &call);
    if (result != NULL)
        *result = call.response_body;
    return topology->codec->outcome(status == STATUS_OK ? call.code : 0);
}

/* While the controllers are settled and no link is cut, it must be acknowledged in time. */
static void ack_check(Ordering *ordering)
{
    const Topology *topology = ordering->owner->topology;
    const int64_t now_ms = topology_now_ms(topology);
    if (ordering->late_notified || ordering->raced || ordering->over || !topology_settled(topology) ||
        !topology_calm(topology))
        return;
    if (ordering->sent != NULL && ordering->sent->spoil != SPOIL_NONE)
        return;
    int64_t from_ms = ordering->sent_ms;
    from_ms = topology->any_ms + topology->site->contact_ms > from_ms ? topology->any_ms + topology->site->contact_ms
                                                                      : from_ms;
    const int64_t queues = ordering->sent != NULL ? (int64_t)ordering->sent->document.queue_count : 0;
    if (now_ms - from_ms < topology->site->ack_ms + queues * ROUTE_MS)
        return;
    ordering->late_notified = true;
    rules_broke(topology->rules, RULE_ACK, topology_day_ms(topology),
                "%s %" PRIu64 " is not acknowledged after %" PRId64 " ms",
                ordering->sent != NULL ? "document" : ordering->zone,
                ordering->sent != NULL ? ordering->sent->document.version : 0, now_ms - from_ms);
}

/* UNCLEAR: go on; else what ended it. */
static Outcome order_once(Ordering *ordering, void *mem, const Worded *worded)
{
    Operator *self = ordering->owner;
    TopologyNode *node = operator_node(self);
    const uint64_t life = node->life;
    const Outcome outcome = operator_ask(self, mem, node, "POST", worded, NULL);
    if (outcome == OUTCOME_GOOD && node->life == life) {
        self->last_taker = node;
        self->last_taken_ms = topology_now_ms(self->topology);
    }
    return outcome == OUTCOME_GOOD || outcome == OUTCOME_STALE || outcome == OUTCOME_WRONG ? outcome : OUTCOME_UNCLEAR;
}

Outcome order_send(Ordering *ordering, const Worded *worded, int64_t for_ms)
{
    Operator *self = ordering->owner;
    ordering->sent_ms = topology_now_ms(self->topology);
    int64_t pause_ms = 50;
    Outcome outcome = OUTCOME_UNCLEAR;
    self->orders++;
    self->opened++;
    while (outcome == OUTCOME_UNCLEAR && topology_now_ms(self->topology) - ordering->sent_ms < for_ms) {
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
