/* How a process asks others: one line for each address. */
#include <inttypes.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"

/* A question on its way. Invariant: on its line's list until answered or given up. */
typedef struct Asking {
    struct Asking *next;
    uint64_t call;
    MessageKind kind;
    PeerLife meant;
    uint64_t sent_up_to; /* of the line's channel, when it was sent */
    int64_t sent_ms;
    bool done;
    Status status;
    void *mem;
    Bytes payload;
    Signal answered;
} Asking;

/* The connection to one address.
 * Invariant: while channel is non-null a reading task serves it; misses counts
 * questions in a row that expired. */
typedef struct Line {
    Rpc *rpc;
    const char *address;
    Channel *channel;
    bool opening;
    Signal opened;
    Asking *asking;
    unsigned misses;
} Line;

static Asking *asking_take(Line *line, uint64_t call)
{
    for (Asking **at = &line->asking; *at != NULL; at = &(*at)->next)
        if ((*at)->call == call) {
            Asking *asking = *at;
            *at = asking->next;
            return asking;
        }
    return NULL;
}

static void asking_end(Line *line, Asking *asking, Status status)
{
    asking_take(line, asking->call);
    asking->done = true;
    asking->status = status;
    signal_raise(line->rpc->loop, &asking->answered);
}

/* Whether an answer is that of the process that was asked, as far as both say who it is. */
static bool from_meant(const Asking *asking, const Envelope *envelope)
{
    return asking->meant.id == 0 || envelope->peer == 0 ||
           (envelope->peer == asking->meant.id && envelope->peer_life >= asking->meant.life);
}

/* How the answer to a question that is on the line is to be taken. A refusal by another
 * process, cluster or life is one as well: it says that nothing was carried out. */
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
        return status != STATUS_OK ? status : STATUS_CLOSED; /* whoever it is may have carried it out */
    }
    return status;
}

/* Takes a frame as an answer. False: the line is to end, for what came on it can't be
 * trusted. An answer to a question that was given up goes to nobody. */
static bool answer_take(Line *line, Bytes frame, void *mem)
{
    Rpc *rpc = line->rpc;
    Envelope envelope = {0};
    if (shape_unpack(&Envelope_shape, frame, mem, &envelope, NULL) != STATUS_OK || !envelope.answer) {
        rpc->counts.bad_frames++;
        return false;
    }
    Asking *asking = asking_take(line, envelope.call);
    if (asking == NULL) {
        rpc->counts.late_answers++;
        return true;
    }
    if (envelope.kind != asking->kind) {
        rpc->counts.other_kinds++;
        rpc_note_refused(rpc, STATUS_BAD_FRAME, "an answer of another kind", &envelope);
        asking_end(line, asking, STATUS_CLOSED);
        return false;
    }
    const Status status = answer_check(rpc, asking, &envelope);
    if (status == (Status)envelope.status) {
        asking->payload = envelope.payload;
        talloc_steal(asking->mem, envelope.payload.data);
    } else {
        rpc_note_refused(rpc, status, "an answer", &envelope);
    }
    asking_end(line, asking, status);
    return true;
}

static void line_main(void *arg)
{
    Line *line = arg;
    Rpc *rpc = line->rpc;
    Channel *channel = line->channel;
    for (bool good = true; good;) {
        void *mem = talloc_new(rpc);
        Bytes frame;
        good = channel_receive(channel, mem, INT64_MAX, &frame) == STATUS_OK && answer_take(line, frame, mem);
        talloc_free(mem);
    }
    line->channel = NULL;
    line->misses = 0;
    channel_shut(channel);
    while (line->asking != NULL) /* what never left this process was not taken by anybody */
        asking_end(line, line->asking,
                   channel_unsent(channel, line->asking->sent_up_to) ? STATUS_UNREACHABLE : STATUS_CLOSED);
    channel_close(channel);
}

void rpc_renew(Rpc *rpc, const char *address)
{
    const Line *line = map_get(rpc->lines, address);
    if (line == NULL || line->channel == NULL)
        return;
    /* questions of its present life are answered or under way; one that waits for long went to the last */
    for (const Asking *asking = line->asking; asking != NULL; asking = asking->next)
        if (loop_now_ms(rpc->loop) - asking->sent_ms >= LINE_SILENT_MS) {
            channel_shut(line->channel);
            return;
        }
}

/* Waits until the line has a channel; null when the peer can't be reached. */
static Line *line_ready(Rpc *rpc, const char *address, int64_t until_ms)
{
    Line *line = map_get(rpc->lines, address);
    if (line == NULL) {
        line = talloc_zero(rpc, Line);
        line->rpc = rpc;
        line->address = talloc_strdup(line, address);
        map_set(rpc->lines, address, line);
    }
    while (line->channel == NULL && line->opening)
        if (!signal_wait(rpc->loop, &line->opened, until_ms))
            return NULL;
    if (line->channel != NULL)
        return line;
    int64_t wait_ms = until_ms - loop_now_ms(rpc->loop);
    if (wait_ms <= 0)
        return NULL;
    if (wait_ms > CONNECT_TIMEOUT_MS)
        wait_ms = CONNECT_TIMEOUT_MS;
    line->opening = true;
    Channel *channel;
    const Status status = loop_open(rpc->loop, line, address, wait_ms, &channel);
    line->opening = false;
    if (status == STATUS_OK) {
        line->channel = channel;
        rpc->counts.lines_opened++;
        loop_spawn(rpc->loop, "line", line_main, line);
    }
    signal_raise(rpc->loop, &line->opened);
    return line->channel != NULL ? line : NULL;
}

/* Puts the question on the line. */
static Status asking_send(Line *line, Asking *asking, const Shape *ask_shape, const void *ask)
{
    Rpc *rpc = line->rpc;
    Envelope envelope = {.version = WIRE_VERSION,
                         .cluster = rpc->cluster,
                         .kind = asking->kind,
                         .call = asking->call,
                         .peer = asking->meant.id,
                         .peer_life = asking->meant.life};
    shape_pack(ask_shape, ask, asking->mem, &envelope.payload);
    Bytes frame = {0};
    shape_pack(&Envelope_shape, &envelope, asking->mem, &frame);
    asking->next = line->asking;
    line->asking = asking;
    const Status status = channel_send(line->channel, frame);
    if (status != STATUS_OK)
        asking_take(line, asking->call);
    asking->sent_up_to = channel_queued(line->channel);
    return status;
}

/* The answer as it came; the status is the peer's own, or why it is not taken. */
static Status answer_read(Line *line, const Asking *asking, void *mem, const Shape *answer_shape, void *answer)
{
    Rpc *rpc = line->rpc;
    if (asking->payload.count > 0 || (asking->status != STATUS_CLOSED && asking->status != STATUS_UNREACHABLE)) {
        line->misses = 0;
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

Status rpc_ask_peer(Rpc *rpc, void *mem, const RpcTarget *target, MessageKind kind, const Shape *ask_shape,
                    const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer)
{
    const int64_t until_ms = loop_now_ms(rpc->loop) + wait_ms;
    rpc->counts.asked++;
    Line *line = line_ready(rpc, target->address, until_ms);
    if (line == NULL || (target->sending != NULL && target->sending->cancelled))
        return STATUS_UNREACHABLE;
    void *scratch = talloc_new(mem);
    Asking *asking = talloc_zero(scratch, Asking);
    *asking = (Asking){.call = ++rpc->last_call,
                       .kind = kind,
                       .meant = target->meant,
                       .sent_ms = loop_now_ms(rpc->loop),
                       .mem = scratch};
    Status status = asking_send(line, asking, ask_shape, ask);
    if (status != STATUS_OK) {
        talloc_free(scratch);
        return status == STATUS_TOO_LARGE ? status : STATUS_UNREACHABLE;
    }
    if (target->sending != NULL)
        target->sending->sent = true;
    while (!asking->done)
        if (!signal_wait(rpc->loop, &asking->answered, until_ms))
            break;
    if (!asking->done) {
        asking_take(line, asking->call);
        rpc->counts.expired++;
        /* a line that has gone quiet may be a dead connection: open it anew */
        if (++line->misses >= LINE_MISSES && line->channel != NULL)
            channel_shut(line->channel);
        status = STATUS_EXPIRED;
    } else {
        status = answer_read(line, asking, mem, answer_shape, answer);
    }
    talloc_free(scratch);
    return status;
}

Status rpc_ask(Rpc *rpc, void *mem, const char *address, MessageKind kind, const Shape *ask_shape, const void *ask,
               int64_t wait_ms, const Shape *answer_shape, void *answer)
{
    return rpc_ask_peer(rpc, mem, &(RpcTarget){.address = address}, kind, ask_shape, ask, wait_ms, answer_shape,
                        answer);
}
