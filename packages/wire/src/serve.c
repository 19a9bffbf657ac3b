/* Incoming requests: a task reads each connection, and each request is handled in a task of its own, so that a slow
 * request does not delay others. */
#include <inttypes.h>
#include <talloc.h>

#include "base/constants.h"
#include "envelope.h"
#include "internal.h"
#include "loop/loop.h"
#include "served.h"
#include "wire/rpc.h"
#include "wire/shape.h"

/* Requests in progress on a connection that is not known to be of this cluster; each costs the stack of a task */
#define UNVERIFIED_REQUESTS_MAX 4

/* An incoming request; it is the talloc parent of all memory that its handling needs. */
typedef struct IncomingRequest {
    Served *served;
    Envelope envelope;
} IncomingRequest;

/* Releases one use of the connection; the last one closes and frees it. */
static void served_release(Served *served)
{
    signal_raise(served->rpc->loop, &served->released);
    if (--served->users > 0)
        return;
    if (served->previous != NULL)
        served->previous->next = served->next;
    else
        served->rpc->served = served->next;
    if (served->next != NULL)
        served->next->previous = served->previous;
    channel_close(served->channel);
    talloc_free(served);
}

static void answer_send(Served *served, void *mem, const Envelope *request, Status status, Bytes payload)
{
    Rpc *rpc = served->rpc;
    const Envelope envelope = {.version = WIRE_VERSION,
                               .cluster = rpc->cluster,
                               .kind = request->kind,
                               .call = request->call,
                               .answer = true,
                               .status = (uint64_t)status,
                               .payload = payload,
                               .peer = rpc->self.id,
                               .peer_life = rpc->self.incarnation};
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, mem, &frame);
    if (channel_send(served->channel, frame) == STATUS_OK)
        rpc_count_sent(rpc, served->channel, request->kind, RPC_ANSWERS, frame.count);
}

/* Checks that a request has this process's wire version and cluster and is meant for its current incarnation. Returns
 * OK, or the reason of the refusal; a refused request is certainly not executed. */
static Status request_check(Rpc *rpc, const Envelope *envelope)
{
    const PeerIdentity *self = &rpc->self;
    if (envelope->version != WIRE_VERSION) {
        rpc->counts.other_versions++;
        return STATUS_OTHER_VERSION;
    }
    if (!rpc_same_cluster(envelope->cluster, rpc->cluster) ||
        ((envelope->cluster == 0 || rpc->cluster == 0) && !rpc_open_kind(envelope->kind))) {
        rpc->counts.strangers++;
        return STATUS_FOREIGN_CLUSTER;
    }
    if (envelope->peer == 0 || self->id == 0)
        return STATUS_OK; /* meant for any process that listens here, or sent by an earlier release */
    if (envelope->peer != self->id) {
        rpc->counts.other_peers++;
        return STATUS_OTHER_PEER;
    }
    if (envelope->peer_life != self->incarnation && envelope->peer_life != rpc->first_incarnation) {
        rpc->counts.other_incarnations++;
        return STATUS_OTHER_INCARNATION;
    }
    return STATUS_OK;
}

/* Counts and logs a malformed frame, after which the connection is closed. */
static void bad_frame_note(Rpc *rpc, const char *text)
{
    rpc->counts.bad_frames++;
    log_event(rpc->recorder, LOG_FRAME_BAD, loop_now_ms(rpc->loop), &(LogFields){.text = text});
}

/* Suspends the coroutine if the handler does. Runs the handler and packs its answer. */
static Status request_serve(IncomingRequest *request, Bytes *payload)
{
    Served *served = request->served;
    Rpc *rpc = served->rpc;
    const Envelope *envelope = &request->envelope;
    const Handler *handler = &rpc->handlers[envelope->kind];
    void *ask = talloc_zero_size(request, handler->ask->size);
    void *answer = talloc_zero_size(request, handler->answer->size);
    Failure failure = {0};
    Status status = shape_unpack(handler->ask, envelope->payload, request, ask, &failure);
    if (status != STATUS_OK) {
        bad_frame_note(rpc, failure.text);
        channel_shut(served->channel);
        return status;
    }
    status = handler->fn(handler->arg, request, ask, answer);
    shape_pack(handler->answer, answer, request, payload);
    rpc->counts.served++;
    return status;
}

static void request_main(void *arg)
{
    IncomingRequest *request = arg;
    Served *served = request->served;
    Bytes payload = {0};
    const Status status = request_serve(request, &payload);
    answer_send(served, request, &request->envelope, status, payload);
    served_release(served);
    talloc_free(request);
}

/* Unpacks a frame as a request. Returns false when the connection must be closed. */
static bool request_read(Served *served, IncomingRequest *request, Bytes frame)
{
    Rpc *rpc = served->rpc;
    Envelope *envelope = &request->envelope;
    Failure failure = {0};
    if (shape_unpack(&Envelope_shape, frame, request, envelope, &failure) != STATUS_OK || envelope->answer) {
        bad_frame_note(rpc, envelope->answer ? "an answer instead of a request" : failure.text);
        return false;
    }
    rpc_count_received(rpc, envelope->kind, RPC_REQUESTS, frame.count);
    if (envelope->kind >= MESSAGE_MAX || rpc->handlers[envelope->kind].fn == NULL) {
        /* the request is of a later release or for another role: the answer states that it was not executed */
        answer_send(served, request, envelope, STATUS_UNKNOWN_REQUEST, (Bytes){0});
        bad_frame_note(rpc, "a request of an unknown kind");
        return false;
    }
    return true;
}

/* Whether the request is executed here. One that is refused is answered at once, without a task of its own: anyone may
 * send such requests, and any number of them. */
static bool request_accept(Served *served, IncomingRequest *request)
{
    Rpc *rpc = served->rpc;
    const Envelope *envelope = &request->envelope;
    const Status status = request_check(rpc, envelope);
    if (status != STATUS_OK) {
        rpc_note_refused(rpc, status, "a request", envelope);
        answer_send(served, request, envelope, status, (Bytes){0});
        return false;
    }
    if (envelope->cluster != 0 && envelope->cluster == rpc->cluster)
        channel_set_verified(served->channel);
    return true;
}

/* Suspends the coroutine while the connection has as many requests in progress as it may have. */
static void requests_wait(Served *served)
{
    while (!channel_is_verified(served->channel) && served->users > UNVERIFIED_REQUESTS_MAX)
        signal_wait(served->rpc->loop, &served->released, INT64_MAX);
}

/* Reads a connection's requests in a task of its own, which owns the channel. */
static void serve(void *arg, Channel *channel)
{
    Rpc *rpc = arg;
    Served *served = talloc_zero(rpc, Served);
    *served = (Served){.next = rpc->served, .rpc = rpc, .channel = channel, .users = 1};
    if (rpc->served != NULL)
        rpc->served->previous = served;
    rpc->served = served;
    for (;;) {
        requests_wait(served);
        IncomingRequest *request = talloc_zero(rpc, IncomingRequest);
        Bytes frame;
        if (channel_receive(channel, request, INT64_MAX, &frame) != STATUS_OK ||
            !request_read(served, request, frame)) {
            talloc_free(request);
            break;
        }
        if (!request_accept(served, request)) {
            talloc_free(request);
            continue;
        }
        request->served = served;
        served->users++;
        loop_spawn(rpc->loop, "question", request_main, request);
    }
    channel_shut(channel);
    served_release(served);
}

Status rpc_listen(Rpc *rpc, const char *address, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop_listen(rpc->loop, address, serve, rpc, bound, failure);
}
