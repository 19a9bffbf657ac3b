/* Outgoing requests: sends a request over the connection to the peer's address and waits for the answer. */
#include <talloc.h>

#include "base/constants.h"
#include "connection.h"
#include "envelope.h"
#include "internal.h"
#include "loop/loop.h"
#include "pending.h"
#include "wire/rpc.h"
#include "wire/shape.h"

/* Sends the request and adds it to its connection's list. TOO_LARGE and UNREACHABLE: it has not been sent. */
static Status pending_send(Connection *connection, PendingRequest *request, const Shape *ask_shape, const void *ask)
{
    Rpc *rpc = connection->rpc;
    Envelope envelope = {.version = WIRE_VERSION,
                         .cluster = rpc->cluster,
                         .kind = request->kind,
                         .call = request->call,
                         .peer = request->meant.id,
                         .peer_life = request->meant.incarnation};
    shape_pack(ask_shape, ask, request->mem, &envelope.payload);
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, request->mem, &frame);
    request->next = connection->pending;
    connection->pending = request;
    const Status status = channel_send(connection->channel, frame);
    if (status == STATUS_OK)
        rpc_count_sent(rpc, connection->channel, request->kind, RPC_REQUESTS, frame.count);
    else
        pending_remove(connection, request->call);
    request->sent_up_to = channel_queued(connection->channel);
    return status == STATUS_OK || status == STATUS_TOO_LARGE ? status : STATUS_UNREACHABLE;
}

/* Unpacks the answer on mem. Returns the peer's own status, or the reason why there is no answer. */
static Status answer_read(Connection *connection, const PendingRequest *request, void *mem, const Shape *answer_shape,
                          void *answer)
{
    Rpc *rpc = connection->rpc;
    if (request->payload.count > 0 || (request->status != STATUS_CLOSED && request->status != STATUS_UNREACHABLE)) {
        connection->timed_out = 0;
        rpc->counts.answered++;
    }
    if (request->payload.count == 0)
        return request->status == STATUS_OK ? STATUS_BAD_FRAME : request->status;
    const Status unpacked = shape_unpack(answer_shape, request->payload, mem, answer, NULL);
    if (unpacked == STATUS_OK)
        return request->status;
    rpc->counts.bad_frames++;
    return unpacked;
}

/* Suspends the coroutine until the request is done. EXPIRED: it timed out at until_ms, and may have been executed. */
static Status pending_wait(Connection *connection, PendingRequest *request, int64_t until_ms)
{
    Rpc *rpc = connection->rpc;
    while (!request->done)
        if (!signal_wait(rpc->loop, &request->answered, until_ms))
            break;
    if (request->done)
        return STATUS_OK;
    pending_remove(connection, request->call);
    rpc->counts.expired++;
    /* a connection without answers may be dead: closing it makes the next request open a new one */
    if (++connection->timed_out >= CONNECTION_TIMEOUTS_MAX && connection->channel != NULL)
        channel_shut(connection->channel);
    return STATUS_EXPIRED;
}

Status rpc_call_peer(Rpc *rpc, void *mem, const RpcTarget *target, MessageKind kind, const Shape *ask_shape,
                     const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer)
{
    const int64_t until_ms = loop_now_ms(rpc->loop) + wait_ms;
    rpc->counts.asked++;
    Connection *connection = connection_ready(rpc, target->address, until_ms);
    if (connection == NULL || (target->send_state != NULL && target->send_state->cancelled))
        return STATUS_UNREACHABLE;
    void *scratch = talloc_new(mem);
    PendingRequest *request = talloc_zero(scratch, PendingRequest);
    *request = (PendingRequest){.call = ++rpc->last_call,
                                .kind = kind,
                                .meant = target->target_peer,
                                .sent_ms = loop_now_ms(rpc->loop),
                                .mem = scratch};
    Status status = pending_send(connection, request, ask_shape, ask);
    if (status == STATUS_OK && target->send_state != NULL)
        target->send_state->sent = true;
    if (status == STATUS_OK)
        status = pending_wait(connection, request, until_ms);
    if (status == STATUS_OK)
        status = answer_read(connection, request, mem, answer_shape, answer);
    talloc_free(scratch);
    return status;
}

Status rpc_call(Rpc *rpc, void *mem, const char *address, MessageKind kind, const Shape *ask_shape, const void *ask,
                int64_t wait_ms, const Shape *answer_shape, void *answer)
{
    return rpc_call_peer(rpc, mem, &(RpcTarget){.address = address}, kind, ask_shape, ask, wait_ms, answer_shape,
                         answer);
}
