/* Who a process is on the wire, and how it serves the questions of others. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"

static const struct {
    bool known;
    bool open;
} KINDS[MESSAGE_MAX] = {
#define X(name, number, word, opened) [number] = {true, opened},
    MESSAGE_LIST(X)
#undef X
};

bool rpc_open_kind(uint64_t kind)
{
    return kind < MESSAGE_MAX && KINDS[kind].open;
}

bool rpc_same_cluster(uint64_t a, uint64_t b)
{
    return a == 0 || b == 0 || a == b;
}

PeerLife peer_life(const char *id, uint64_t life)
{
    return (PeerLife){bytes_crc(id, strlen(id)), life};
}

void rpc_set_self(Rpc *rpc, PeerLife self)
{
    if (rpc->self.id == 0)
        rpc->born_life = self.life;
    rpc->self = self;
}

Rpc *rpc_new(void *mem, Loop *loop, Recorder *recorder)
{
    Rpc *rpc = talloc_zero(mem, Rpc);
    rpc->loop = loop;
    rpc->recorder = recorder;
    rpc->lines = map_new(rpc);
    return rpc;
}

void rpc_set_cluster(Rpc *rpc, uint64_t cluster)
{
    rpc->cluster = cluster;
}

uint64_t rpc_cluster(const Rpc *rpc)
{
    return rpc->cluster;
}

const RpcCounts *rpc_counts(const Rpc *rpc)
{
    return &rpc->counts;
}

void rpc_handle(Rpc *rpc, MessageKind kind, const Shape *ask, const Shape *answer, RpcFn fn, void *arg)
{
    rpc->handlers[kind] = (Handler){ask, answer, fn, arg};
}

/* --- serving ---------------------------------------------------------------- */

/* A connection served; freed when its reader and all its questions have ended. */
typedef struct Served {
    Rpc *rpc;
    Channel *channel;
    size_t users;
} Served;

typedef struct Question {
    Served *served;
    Envelope envelope;
} Question;

static void served_leave(Served *served)
{
    if (--served->users > 0)
        return;
    channel_close(served->channel);
    talloc_free(served);
}

static void answer_send(Served *served, void *mem, const Envelope *question, Status status, Bytes payload)
{
    const Rpc *rpc = served->rpc;
    const Envelope envelope = {.version = WIRE_VERSION,
                               .cluster = rpc->cluster,
                               .kind = question->kind,
                               .call = question->call,
                               .answer = true,
                               .status = (uint64_t)status,
                               .payload = payload,
                               .peer = rpc->self.id,
                               .peer_life = rpc->self.life};
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, mem, &frame);
    channel_send(served->channel, frame);
}

void rpc_note_refused(Rpc *rpc, Status status, const char *what, const Envelope *envelope)
{
    const uint64_t count = ++rpc->refused;
    if ((count & (count - 1)) == 0) /* the first, the second, the fourth: the log is not filled by them */
        recorder_write(rpc->recorder, RECORDER_NOTE, loop_now_ms(rpc->loop),
                       "%s is refused: %s (kind %" PRIu64 ", cluster %016" PRIx64 ", version %" PRIu64 "); %" PRIu64
                       " so far",
                       what, status_word(status), envelope->kind, envelope->cluster, envelope->version, count);
}

/* Whether a question is one for this process: of its version, its cluster, and meant for
 * it in its present life. One that is not is refused, and certainly not carried out. */
static Status question_check(Rpc *rpc, const Envelope *envelope)
{
    const PeerLife *self = &rpc->self;
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
        return STATUS_OK; /* whoever stands here was asked, or by an earlier release */
    if (envelope->peer != self->id) {
        rpc->counts.other_peers++;
        return STATUS_OTHER_PEER;
    }
    if (envelope->peer_life != self->life && envelope->peer_life != rpc->born_life) {
        rpc->counts.other_lives++;
        return STATUS_OTHER_LIFE;
    }
    return STATUS_OK;
}

static void note_bad(Rpc *rpc, const char *text)
{
    rpc->counts.bad_frames++;
    recorder_write(rpc->recorder, RECORDER_NOTE, loop_now_ms(rpc->loop), "bad frame, connection ended: %s", text);
}

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

/* Takes a frame as a question; false: the connection is to end. */
static bool question_read(Served *served, Question *question, Bytes frame)
{
    Rpc *rpc = served->rpc;
    Envelope *envelope = &question->envelope;
    Failure failure = {0};
    if (shape_unpack(&Envelope_shape, frame, question, envelope, &failure) != STATUS_OK || envelope->answer) {
        note_bad(rpc, envelope->answer ? "an answer where a question belongs" : failure.text);
        return false;
    }
    if (envelope->kind >= MESSAGE_MAX || rpc->handlers[envelope->kind].fn == NULL) {
        /* of a later release, or meant for another role: certainly not carried out */
        answer_send(served, question, envelope, STATUS_UNKNOWN_QUESTION, (Bytes){0});
        note_bad(rpc, "a question that is not known here");
        return false;
    }
    return true;
}

static void serve(void *arg, Channel *channel)
{
    Rpc *rpc = arg;
    Served *served = talloc_zero(rpc, Served);
    *served = (Served){rpc, channel, 1};
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
