/* Requests of the operator: repeated until there is a clear answer, which must come in time. */
#include "operator_order.h"

#include <inttypes.h>
#include <talloc.h>

#define ACKNOWLEDGEMENT_PER_QUEUE_MS 3 /* additional time that an acknowledgement may take for each queue */

Loop *operator_loop(const Operator *self)
{
    return sim_loop(self->topology->world, self->machine);
}

TopologyNode *operator_random_node(Operator *self)
{
    Topology *topology = self->topology;
    for (;;) {
        TopologyNode *node =
            &topology->servers[random_source_between(&self->random_source, 0, (int64_t)topology->server_count - 1)];
        if (node->used && !node->gone)
            return node;
    }
}

const char *outcome_word(Outcome outcome)
{
    return outcome == OUTCOME_ACCEPTED   ? "taken"
           : outcome == OUTCOME_CONFLICT ? "stale"
           : outcome == OUTCOME_INVALID  ? "wrong"
                                         : "unclear";
}

Outcome operator_call(const Operator *self, void *mem, const TopologyNode *node, const char *method,
                      const CodecRequest *worded, Bytes *result)
{
    const Topology *topology = self->topology;
    const HttpHeader heads[] = {{worded->header_name, worded->header_value}};
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                topology->codec->operator_port),
                     .method = method,
                     .path = worded->path,
                     .body = worded->body,
                     .wait_ms = CALL_TIMEOUT_MS,
                     .request_headers = heads,
                     .request_header_count = worded->header_name != NULL};
    const Status status = loop_call(operator_loop(self), &call);
    if (result != NULL)
        *result = call.response_body;
    return topology->codec->outcome(status == STATUS_OK ? call.code : 0);
}

/* Checks that the request is acknowledged in time while the controllers are settled and there is no fault. */
static void check_acknowledged_in_time(OperatorRequest *request)
{
    const Topology *topology = request->owner->topology;
    const int64_t now_ms = topology_now_ms(topology);
    if (request->late_reported || request->concurrent || request->finished || !topology_settled(topology) ||
        !topology_calm(topology))
        return;
    if (request->sent != NULL && request->sent->spoil != DEFECT_NONE)
        return;
    int64_t from_ms = request->sent_ms;
    from_ms = topology->any_fault_ms + topology->site->contact_ms > from_ms
                  ? topology->any_fault_ms + topology->site->contact_ms
                  : from_ms;
    const int64_t queues = request->sent != NULL ? (int64_t)request->sent->document.queue_count : 0;
    if (now_ms - from_ms < topology->site->ack_ms + queues * ACKNOWLEDGEMENT_PER_QUEUE_MS)
        return;
    request->late_reported = true;
    rules_record_break(topology->rules, RULE_ACK, topology_day_ms(topology),
                       "%s %" PRIu64 " is not acknowledged after %" PRId64 " ms",
                       request->sent != NULL ? "document" : request->zone,
                       request->sent != NULL ? request->sent->document.version : 0, now_ms - from_ms);
}

/* Sends the request once. Suspends the coroutine. Returns OUTCOME_UNCLEAR if it must be repeated, otherwise the final
 * outcome. */
static Outcome send_once(OperatorRequest *request, void *mem, const CodecRequest *worded)
{
    Operator *self = request->owner;
    TopologyNode *node = operator_random_node(self);
    const uint64_t incarnation = node->incarnation;
    const Outcome outcome = operator_call(self, mem, node, "POST", worded, NULL);
    if (outcome == OUTCOME_ACCEPTED && node->incarnation == incarnation) {
        self->last_acknowledger = node;
        self->last_acknowledged_ms = topology_now_ms(self->topology);
    }
    return outcome == OUTCOME_ACCEPTED || outcome == OUTCOME_CONFLICT || outcome == OUTCOME_INVALID ? outcome
                                                                                                    : OUTCOME_UNCLEAR;
}

Outcome operator_request_send(OperatorRequest *request, const CodecRequest *worded, int64_t for_ms)
{
    Operator *self = request->owner;
    request->sent_ms = topology_now_ms(self->topology);
    int64_t pause_ms = 50;
    Outcome outcome = OUTCOME_UNCLEAR;
    self->orders++;
    self->open_requests++;
    while (outcome == OUTCOME_UNCLEAR && topology_now_ms(self->topology) - request->sent_ms < for_ms) {
        void *mem = talloc_new(request);
        outcome = send_once(request, mem, worded);
        talloc_free(mem);
        request->finished = outcome != OUTCOME_UNCLEAR;
        check_acknowledged_in_time(request);
        if (outcome == OUTCOME_UNCLEAR)
            loop_sleep(operator_loop(self), pause_ms);
        pause_ms = pause_ms < 400 ? pause_ms * 2 : pause_ms;
    }
    check_acknowledged_in_time(request);
    self->open_requests--;
    self->unclear += outcome == OUTCOME_UNCLEAR;
    return outcome;
}
