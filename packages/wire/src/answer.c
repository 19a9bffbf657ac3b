/* Whose answer a frame is, and whether it is taken: kind, wire version, cluster, process and
 * incarnation have to agree with the request. */
#include "answer.h"

#include <talloc.h>

#include "asking.h"
#include "base/constants.h"
#include "envelope.h"
#include "inside.h"
#include "wire/shape.h"

/* Whether the answer is that of the process that was asked, as far as both sides name it. A later
 * incarnation than the one that was known may answer. */
static bool from_meant(const Asking *asking, const Envelope *envelope)
{
    return asking->meant.id == 0 || envelope->peer == 0 ||
           (envelope->peer == asking->meant.id && envelope->peer_life >= asking->meant.life);
}

/* What the answer comes to: the peer's own status, or why it is not taken. A refusal by another
 * process, cluster or incarnation is taken too: it says that nothing was carried out. */
static Status answer_check(Rpc *rpc, const Asking *asking, const Envelope *envelope)
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
    if (!from_meant(asking, envelope)) {
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
    Asking *asking = asking_take(connection, envelope.call);
    if (asking == NULL) {
        rpc->counts.late_answers++;
        return true;
    }
    if (envelope.kind != asking->kind) {
        rpc->counts.other_kinds++;
        rpc_note_refused(rpc, STATUS_BAD_FRAME, "an answer of another kind", &envelope);
        asking_end(connection, asking, STATUS_CLOSED);
        return false;
    }
    const Status status = answer_check(rpc, asking, &envelope);
    if (status == (Status)envelope.status) {
        asking->payload = envelope.payload;
        talloc_steal(asking->mem, envelope.payload.data);
    } else {
        rpc_note_refused(rpc, status, "an answer", &envelope);
    }
    asking_end(connection, asking, status);
    return true;
}
