/* How a process answers the requests of others: a task reads each connection, and each request
 * runs in a task of its own, so that a slow one delays no other. */
#include <inttypes.h>
#include <talloc.h>

#include "base/constants.h"
#include "envelope.h"
#include "inside.h"
#include "loop/loop.h"
#include "served.h"
#include "wire/rpc.h"
#include "wire/shape.h"

/* A request that came in; it is the talloc parent of all that its handling needs. */
typedef struct Question {
    Served *served;
    Envelope envelope;
} Question;

static void served_leave(Served *served)
{
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

static void answer_send(Served *served, void *mem, const Envelope *question, Status status, Bytes payload)
{
    Rpc *rpc = served->rpc;
    const Envelope envelope = {.version = WIRE_VERSION,
                               .cluster = rpc->cluster,
                               .kind = question->kind,
                               .call = question->call,
                               .answer = true,
                               .status = (uint64_t)status,
                               .payload = payload,
                               .peer = rpc->self.id,
                               .peer_life = rpc->self.incarnation};
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, mem, &frame);
    if (channel_send(served->channel, frame) == STATUS_OK)
        rpc_count_sent(rpc, served->channel, question->kind, RPC_ANSWERS, frame.count);
}

/* Whether a request is for this process: of its wire version, of its cluster, and meant for its
 * present incarnation. OK, or why it is refused; then it is certainly not carried out. */
static Status question_check(Rpc *rpc, const Envelope *envelope)
{
    const PeerIdentity *self = &rpc->self;
    if (envelope->version != WIRE_VERSION) {
        rpc->counts.other_versions++;
        return STATUS_OTHER_VERSION;
    }
    if (!rpc_same_cluster(envelope->cluster, rpc->cluster) ||
        ((envelope->cluster == 0 || rpc->cluster == 0) && !rpc_open_kind(envelope->kind))) {
        rpc->counts.strangers++;
        return STATUS_STRANGER;
    }
    if (envelope->peer == 0 || self->id == 0)
        return STATUS_OK; /* meant for whoever listens here, or of an earlier release */
    if (envelope->peer != self->id) {
        rpc->counts.other_peers++;
        return STATUS_OTHER_PEER;
    }
    if (envelope->peer_life != self->incarnation && envelope->peer_life != rpc->first_incarnation) {
        rpc->counts.other_incarnations++;
        return STATUS_OTHER_LIFE;
    }
    return STATUS_OK;
}

/* Counts and logs a frame after which the connection is ended. */
static void note_bad(Rpc *rpc, const char *text)
{
    rpc->counts.bad_frames++;
    log_event(rpc->recorder, LOG_FRAME_BAD, loop_now_ms(rpc->loop), &(LogFields){.text = text});
}

/* Waits, as the handler does. Runs the handler and packs its answer. */
static Status question_serve(Question *question, Bytes *payload)
{
    Served *served = question->served;
    Rpc *rpc = served->rpc;
    const Envelope *envelope = &question->envelope;
    const Handler *handler = &rpc->handlers[envelope->kind];
    Status status = question_check(rpc, envelope);
    if (status != STATUS_OK) {
        rpc_note_refused(rpc, status, "a question", envelope);
        return status;
    }
    void *ask = talloc_zero_size(question, handler->ask->size);
    void *answer = talloc_zero_size(question, handler->answer->size);
    Failure failure = {0};
    status = shape_unpack(handler->ask, envelope->payload, question, ask, &failure);
    if (status != STATUS_OK) {
        note_bad(rpc, failure.text);
        channel_shut(served->channel);
        return status;
    }
    status = handler->fn(handler->arg, question, ask, answer);
    shape_pack(handler->answer, answer, question, payload);
    rpc->counts.served++;
    return status;
}

static void question_main(void *arg)
{
    Question *question = arg;
    Served *served = question->served;
    Bytes payload = {0};
    const Status status = question_serve(question, &payload);
    answer_send(served, question, &question->envelope, status, payload);
    served_leave(served);
    talloc_free(question);
}

/* Reads a frame as a request. False: the connection is to be ended. */
static bool question_read(Served *served, Question *question, Bytes frame)
{
    Rpc *rpc = served->rpc;
    Envelope *envelope = &question->envelope;
    Failure failure = {0};
    if (shape_unpack(&Envelope_shape, frame, question, envelope, &failure) != STATUS_OK || envelope->answer) {
        note_bad(rpc, envelope->answer ? "an answer where a question belongs" : failure.text);
        return false;
    }
    rpc_count_received(rpc, envelope->kind, RPC_REQUESTS, frame.count);
    if (envelope->kind >= MESSAGE_MAX || rpc->handlers[envelope->kind].fn == NULL) {
        /* of a later release, or for another role: the caller may know that it was not carried out */
        answer_send(served, question, envelope, STATUS_UNKNOWN_QUESTION, (Bytes){0});
        note_bad(rpc, "a question that is not known here");
        return false;
    }
    return true;
}

/* The reading task of a connection; it owns the channel. */
static void serve(void *arg, Channel *channel)
{
    Rpc *rpc = arg;
    Served *served = talloc_zero(rpc, Served);
    *served = (Served){.next = rpc->served, .rpc = rpc, .channel = channel, .users = 1};
    if (rpc->served != NULL)
        rpc->served->previous = served;
    rpc->served = served;
    for (;;) {
        Question *question = talloc_zero(rpc, Question);
        Bytes frame;
        if (channel_receive(channel, question, INT64_MAX, &frame) != STATUS_OK ||
            !question_read(served, question, frame)) {
            talloc_free(question);
            break;
        }
        question->served = served;
        served->users++;
        loop_spawn(rpc->loop, "question", question_main, question);
    }
    channel_shut(channel);
    served_leave(served);
}

Status rpc_listen(Rpc *rpc, const char *address, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop_listen(rpc->loop, address, serve, rpc, bound, failure);
}
