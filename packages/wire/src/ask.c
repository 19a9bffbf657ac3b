/* How a process asks others: sends a request over the connection to the peer's address and waits for
 * its answer. */
#include <talloc.h>

#include "asking.h"
#include "base/constants.h"
#include "envelope.h"
#include "inside.h"
#include "line.h"
#include "loop/loop.h"
#include "wire/rpc.h"
#include "wire/shape.h"

/* Sends the request and puts it on its connection's list. TOO_LARGE, UNREACHABLE: it has not been sent. */
static Status asking_send(Connection *connection, Asking *asking, const Shape *ask_shape, const void *ask)
{
    Rpc *rpc = connection->rpc;
    Envelope envelope = {.version = WIRE_VERSION,
                         .cluster = rpc->cluster,
                         .kind = asking->kind,
                         .call = asking->call,
                         .peer = asking->meant.id,
                         .peer_life = asking->meant.life};
    shape_pack(ask_shape, ask, asking->mem, &envelope.payload);
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, asking->mem, &frame);
    asking->next = connection->asking;
    connection->asking = asking;
    const Status status = channel_send(connection->channel, frame);
    if (status != STATUS_OK)
        asking_take(connection, asking->call);
    asking->sent_up_to = channel_queued(connection->channel);
    return status == STATUS_OK || status == STATUS_TOO_LARGE ? status : STATUS_UNREACHABLE;
}

/* Unpacks the answer, on mem. The status is the peer's own, or why there is no answer. */
static Status answer_read(Connection *connection, const Asking *asking, void *mem, const Shape *answer_shape,
                          void *answer)
{
    Rpc *rpc = connection->rpc;
    if (asking->payload.count > 0 || (asking->status != STATUS_CLOSED && asking->status != STATUS_UNREACHABLE)) {
        connection->misses = 0;
        rpc->counts.answered++;
    }
    if (asking->payload.count == 0)
        return asking->status == STATUS_OK ? STATUS_BAD_FRAME : asking->status;
    const Status unpacked = shape_unpack(answer_shape, asking->payload, mem, answer, NULL);
    if (unpacked == STATUS_OK)
        return asking->status;
    rpc->counts.bad_frames++;
    return unpacked;
}

/* Waits until the request is done. EXPIRED: it was given up at until_ms, and may have been carried out. */
static Status asking_wait(Connection *connection, Asking *asking, int64_t until_ms)
{
    Rpc *rpc = connection->rpc;
    while (!asking->done)
        if (!signal_wait(rpc->loop, &asking->answered, until_ms))
            break;
    if (asking->done)
        return STATUS_OK;
    asking_take(connection, asking->call);
    rpc->counts.expired++;
    /* a connection that stays silent may be dead: end it, so that the next request opens another */
    if (++connection->misses >= CONNECTION_MISSES && connection->channel != NULL)
        channel_shut(connection->channel);
    return STATUS_EXPIRED;
}

Status rpc_ask_peer(Rpc *rpc, void *mem, const RpcTarget *target, MessageKind kind, const Shape *ask_shape,
                    const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer)
{
    const int64_t until_ms = loop_now_ms(rpc->loop) + wait_ms;
    rpc->counts.asked++;
    Connection *connection = connection_ready(rpc, target->address, until_ms);
    if (connection == NULL || (target->sending != NULL && target->sending->cancelled))
        return STATUS_UNREACHABLE;
    void *scratch = talloc_new(mem);
    Asking *asking = talloc_zero(scratch, Asking);
    *asking = (Asking){.call = ++rpc->last_call,
                       .kind = kind,
                       .meant = target->meant,
                       .sent_ms = loop_now_ms(rpc->loop),
                       .mem = scratch};
    Status status = asking_send(connection, asking, ask_shape, ask);
    if (status == STATUS_OK && target->sending != NULL)
        target->sending->sent = true;
    if (status == STATUS_OK)
        status = asking_wait(connection, asking, until_ms);
    if (status == STATUS_OK)
        status = answer_read(connection, asking, mem, answer_shape, answer);
    talloc_free(scratch);
    return status;
}

Status rpc_ask(Rpc *rpc, void *mem, const char *address, MessageKind kind, const Shape *ask_shape, const void *ask,
               int64_t wait_ms, const Shape *answer_shape, void *answer)
{
    return rpc_ask_peer(rpc, mem, &(RpcTarget){.address = address}, kind, ask_shape, ask, wait_ms, answer_shape,
                        answer);
}
