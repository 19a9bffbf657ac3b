/* Matches received answers with pending requests and checks them: kind, wire version, cluster, process and incarnation
 * must match the request. */
#include "answer.h"

#include <talloc.h>

#include "base/constants.h"
#include "envelope.h"
#include "internal.h"
#include "pending.h"
#include "wire/shape.h"

/* Whether the answer comes from the process for which the request was meant, as far as both messages name it. A later
 * incarnation than the known one may answer. */
static bool from_target(const PendingRequest *request, const Envelope *envelope)
{
    return request->meant.id == 0 || envelope->peer == 0 ||
           (envelope->peer == request->meant.id && envelope->peer_life >= request->meant.incarnation);
}

/* Returns the peer's own status, or the reason why the answer is not accepted. A refusal by another process, cluster or
 * incarnation is accepted, because it states that the request was not executed. */
static Status answer_check(Rpc *rpc, const PendingRequest *request, const Envelope *envelope)
{
    const Status status = envelope->status < STATUS_COUNT ? (Status)envelope->status : STATUS_INTERNAL;
    if (envelope->version != WIRE_VERSION) {
        rpc->counts.other_versions++;
        return STATUS_OTHER_VERSION;
    }
    if (!rpc_same_cluster(envelope->cluster, rpc->cluster)) {
        rpc->counts.strangers++;
        return STATUS_FOREIGN_CLUSTER;
    }
    if (!from_target(request, envelope)) {
        rpc->counts.other_peers++;
        return status != STATUS_OK ? status : STATUS_CLOSED; /* the other process may have executed the request */
    }
    return status;
}

bool answer_take(Connection *connection, Bytes frame, void *mem)
{
    Rpc *rpc = connection->rpc;
    Envelope envelope = {0};
    if (shape_unpack(&Envelope_shape, frame, mem, &envelope, NULL) != STATUS_OK || !envelope.answer) {
        rpc->counts.bad_frames++;
        return false;
    }
    rpc_count_received(rpc, envelope.kind, RPC_ANSWERS, frame.count);
    PendingRequest *request = pending_remove(connection, envelope.call);
    if (request == NULL) {
        rpc->counts.late_answers++;
        connection->timed_out = 0; /* the peer is slow, but it responds */
        return true;
    }
    if (envelope.kind != request->kind) {
        rpc->counts.other_kinds++;
        rpc_note_refused(rpc, STATUS_BAD_FRAME, "an answer of another kind", &envelope);
        pending_complete(connection, request, STATUS_CLOSED);
        return false;
    }
    rpc_count_answer_time(rpc, request->kind, loop_now_ms(rpc->loop) - request->sent_ms);
    const Status status = answer_check(rpc, request, &envelope);
    if (status == (Status)envelope.status) {
        request->payload = envelope.payload;
        talloc_steal(request->mem, envelope.payload.data);
    } else {
        rpc_note_refused(rpc, status, "an answer", &envelope);
    }
    pending_complete(connection, request, status);
    return true;
}
