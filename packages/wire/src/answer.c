/* Whose answer a frame is, and whether it is taken: kind, wire version, cluster, process and
 * incarnation have to agree with the request. */
#include "answer.h"

#include <talloc.h>

#include "base/constants.h"
#include "envelope.h"
#include "inside.h"
#include "pending.h"
#include "wire/shape.h"

/* Whether the answer is that of the process that was asked, as far as both sides name it. A later
 * incarnation than the one that was known may answer. */
static bool from_meant(const PendingRequest *request, const Envelope *envelope)
{
    return request->meant.id == 0 || envelope->peer == 0 ||
           (envelope->peer == request->meant.id && envelope->peer_life >= request->meant.incarnation);
}

/* What the answer comes to: the peer's own status, or why it is not taken. A refusal by another
 * process, cluster or incarnation is taken too: it says that nothing was carried out. */
static Status answer_check(Rpc *rpc, const PendingRequest *request, const Envelope *envelope)
{
    const Status status = envelope->status < STATUS_COUNT ? (Status)envelope->status : STATUS_INTERNAL;
    if (envelope->version != WIRE_VERSION) {
        rpc->counts.other_versions++;
        return STATUS_OTHER_VERSION;
    }
    if (!rpc_same_cluster(envelope->cluster, rpc->cluster)) {
        rpc->counts.strangers++;
        return STATUS_STRANGER;
    }
    if (!from_meant(request, envelope)) {
        rpc->counts.other_peers++;
        return status != STATUS_OK ? status : STATUS_CLOSED; /* that process may have carried it out */
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
    PendingRequest *request = pending_take(connection, envelope.call);
    if (request == NULL) {
        rpc->counts.late_answers++;
        connection->misses = 0; /* slow, but not silent */
        return true;
    }
    if (envelope.kind != request->kind) {
        rpc->counts.other_kinds++;
        rpc_note_refused(rpc, STATUS_BAD_FRAME, "an answer of another kind", &envelope);
        pending_end(connection, request, STATUS_CLOSED);
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
    pending_end(connection, request, status);
    return true;
}
