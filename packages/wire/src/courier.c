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

bool courier_open_kind(uint64_t kind)
{
    return kind < MESSAGE_MAX && KINDS[kind].open;
}

bool courier_same_cluster(uint64_t a, uint64_t b)
{
    return a == 0 || b == 0 || a == b;
}

PeerLife peer_life(const char *id, uint64_t life)
{
    return (PeerLife){bytes_crc(id, strlen(id)), life};
}

void courier_set_self(Courier *courier, PeerLife self)
{
    if (courier->self.id == 0)
        courier->born_life = self.life;
    courier->self = self;
}

Courier *courier_new(void *mem, Loop *loop, Ring *ring)
{
    Courier *courier = talloc_zero(mem, Courier);
    courier->loop = loop;
    courier->ring = ring;
    courier->lines = map_new(courier);
    return courier;
}

void courier_set_cluster(Courier *courier, uint64_t cluster)
{
    courier->cluster = cluster;
}

uint64_t courier_cluster(const Courier *courier)
{
    return courier->cluster;
}

const CourierCounts *courier_counts(const Courier *courier)
{
    return &courier->counts;
}

void courier_handle(Courier *courier, MessageKind kind, const Shape *ask, const Shape *answer, CourierFn fn, void *arg)
{
    courier->handlers[kind] = (Handler){ask, answer, fn, arg};
}

/* --- serving ---------------------------------------------------------------- */

/* A connection served; freed when its reader and all its questions have ended. */
typedef struct Served {
    Courier *courier;
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
    const Courier *courier = served->courier;
    const Envelope envelope = {.version = WIRE_VERSION,
                               .cluster = courier->cluster,
                               .kind = question->kind,
                               .call = question->call,
                               .answer = true,
                               .status = (uint64_t)status,
                               .payload = payload,
                               .peer = courier->self.id,
                               .peer_life = courier->self.life};
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, mem, &frame);
    channel_send(served->channel, frame);
}

void courier_note_refused(Courier *courier, Status status, const char *what, const Envelope *envelope)
{
    const uint64_t count = ++courier->refused;
    if ((count & (count - 1)) == 0) /* the first, the second, the fourth: the log is not filled by them */
        ring_say(courier->ring, RING_NOTE, loop_now_ms(courier->loop),
                 "%s is refused: %s (kind %" PRIu64 ", cluster %016" PRIx64 ", version %" PRIu64 "); %" PRIu64
                 " so far",
                 what, status_word(status), envelope->kind, envelope->cluster, envelope->version, count);
}

/* Whether a question is one for this process: of its version, its cluster, and meant for
 * it in its present life. One that is not is refused, and certainly not carried out. */
static Status question_check(Courier *courier, const Envelope *envelope)
{
    const PeerLife *self = &courier->self;
    if (envelope->version != WIRE_VERSION) {
        courier->counts.other_versions++;
        return STATUS_OTHER_VERSION;
    }
    if (!courier_same_cluster(envelope->cluster, courier->cluster) ||
        ((envelope->cluster == 0 || courier->cluster == 0) && !courier_open_kind(envelope->kind))) {
        courier->counts.strangers++;
        return STATUS_STRANGER;
    }
    if (envelope->peer == 0 || self->id == 0)
        return STATUS_OK; /* whoever stands here was asked, or by an earlier release */
    if (envelope->peer != self->id) {
        courier->counts.other_peers++;
        return STATUS_OTHER_PEER;
    }
    if (envelope->peer_life != self->life && envelope->peer_life != courier->born_life) {
        courier->counts.other_lives++;
        return STATUS_OTHER_LIFE;
    }
    return STATUS_OK;
}

static void note_bad(Courier *courier, const char *text)
{
    courier->counts.bad_frames++;
    ring_say(courier->ring, RING_NOTE, loop_now_ms(courier->loop), "bad frame, connection ended: %s", text);
}

static Status question_serve(Question *question, Bytes *payload)
{
    Served *served = question->served;
    Courier *courier = served->courier;
    const Envelope *envelope = &question->envelope;
    const Handler *handler = &courier->handlers[envelope->kind];
    Status status = question_check(courier, envelope);
    if (status != STATUS_OK) {
        courier_note_refused(courier, status, "a question", envelope);
        return status;
    }
    void *ask = talloc_zero_size(question, handler->ask->size);
    void *answer = talloc_zero_size(question, handler->answer->size);
    Failure failure = {0};
    status = shape_unpack(handler->ask, envelope->payload, question, ask, &failure);
    if (status != STATUS_OK) {
        note_bad(courier, failure.text);
        channel_shut(served->channel);
        return status;
    }
    status = handler->fn(handler->arg, question, ask, answer);
    shape_pack(handler->answer, answer, question, payload);
    courier->counts.served++;
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
    Courier *courier = served->courier;
    Envelope *envelope = &question->envelope;
    Failure failure = {0};
    if (shape_unpack(&Envelope_shape, frame, question, envelope, &failure) != STATUS_OK || envelope->answer) {
        note_bad(courier, envelope->answer ? "an answer where a question belongs" : failure.text);
        return false;
    }
    if (envelope->kind >= MESSAGE_MAX || courier->handlers[envelope->kind].fn == NULL) {
        /* of a later release, or meant for another role: certainly not carried out */
        answer_send(served, question, envelope, STATUS_UNKNOWN_QUESTION, (Bytes){0});
        note_bad(courier, "a question that is not known here");
        return false;
    }
    return true;
}

static void serve(void *arg, Channel *channel)
{
    Courier *courier = arg;
    Served *served = talloc_zero(courier, Served);
    *served = (Served){courier, channel, 1};
    for (;;) {
        Question *question = talloc_zero(courier, Question);
        Bytes frame;
        if (channel_receive(channel, question, INT64_MAX, &frame) != STATUS_OK ||
            !question_read(served, question, frame)) {
            talloc_free(question);
            break;
        }
        question->served = served;
        served->users++;
        loop_spawn(courier->loop, "question", question_main, question);
    }
    channel_shut(channel);
    served_leave(served);
}

Status courier_listen(Courier *courier, const char *address, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop_listen(courier->loop, address, serve, courier, bound, failure);
}
