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
    uint64_t sentUpTo; /* of the line's channel, when it was sent */
    int64_t sentMs;
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
    Courier *courier;
    const char *address;
    Channel *channel;
    bool opening;
    Signal opened;
    Asking *asking;
    unsigned misses;
} Line;

static Asking *askingTake(Line *line, uint64_t call)
{
    for (Asking **at = &line->asking; *at != NULL; at = &(*at)->next)
        if ((*at)->call == call) {
            Asking *asking = *at;
            *at = asking->next;
            return asking;
        }
    return NULL;
}

static void askingEnd(Line *line, Asking *asking, Status status)
{
    askingTake(line, asking->call);
    asking->done = true;
    asking->status = status;
    signal_raise(line->courier->loop, &asking->answered);
}

/* Whether an answer is that of the process that was asked, as far as both say who it is. */
static bool fromMeant(const Asking *asking, const Envelope *envelope)
{
    return asking->meant.id == 0 || envelope->peer == 0 ||
           (envelope->peer == asking->meant.id && envelope->peerLife >= asking->meant.life);
}

/* How the answer to a question that is on the line is to be taken. A refusal by another
 * process, cluster or life is one as well: it says that nothing was carried out. */
static Status answerCheck(Courier *courier, const Asking *asking, const Envelope *envelope)
{
    const Status status = envelope->status < STATUS_COUNT ? (Status)envelope->status : STATUS_INTERNAL;
    if (envelope->version != WIRE_VERSION) {
        courier->counts.otherVersions++;
        return STATUS_OTHER_VERSION;
    }
    if (!courierSameCluster(envelope->cluster, courier->cluster)) {
        courier->counts.strangers++;
        return STATUS_STRANGER;
    }
    if (!fromMeant(asking, envelope)) {
        courier->counts.otherPeers++;
        return status != STATUS_OK ? status : STATUS_CLOSED; /* whoever it is may have carried it out */
    }
    return status;
}

/* Takes a frame as an answer. False: the line is to end, for what came on it can't be
 * trusted. An answer to a question that was given up goes to nobody. */
static bool answerTake(Line *line, Bytes frame, void *mem)
{
    Courier *courier = line->courier;
    Envelope envelope = {0};
    if (shapeUnpack(&EnvelopeShape, frame, mem, &envelope, NULL) != STATUS_OK || !envelope.answer) {
        courier->counts.badFrames++;
        return false;
    }
    Asking *asking = askingTake(line, envelope.call);
    if (asking == NULL) {
        courier->counts.lateAnswers++;
        return true;
    }
    if (envelope.kind != asking->kind) {
        courier->counts.otherKinds++;
        courierNoteRefused(courier, STATUS_BAD_FRAME, "an answer of another kind", &envelope);
        askingEnd(line, asking, STATUS_CLOSED);
        return false;
    }
    const Status status = answerCheck(courier, asking, &envelope);
    if (status == (Status)envelope.status) {
        asking->payload = envelope.payload;
        talloc_steal(asking->mem, envelope.payload.data);
    } else {
        courierNoteRefused(courier, status, "an answer", &envelope);
    }
    askingEnd(line, asking, status);
    return true;
}

static void lineMain(void *arg)
{
    Line *line = arg;
    Courier *courier = line->courier;
    Channel *channel = line->channel;
    for (bool good = true; good;) {
        void *mem = talloc_new(courier);
        Bytes frame;
        good = channel_receive(channel, mem, INT64_MAX, &frame) == STATUS_OK && answerTake(line, frame, mem);
        talloc_free(mem);
    }
    line->channel = NULL;
    line->misses = 0;
    channel_shut(channel);
    while (line->asking != NULL) /* what never left this process was not taken by anybody */
        askingEnd(line, line->asking,
                  channel_unsent(channel, line->asking->sentUpTo) ? STATUS_UNREACHABLE : STATUS_CLOSED);
    channel_close(channel);
}

void courierRenew(Courier *courier, const char *address)
{
    const Line *line = map_get(courier->lines, address);
    if (line == NULL || line->channel == NULL)
        return;
    /* questions of its present life are answered or under way; one that waits for long went to the last */
    for (const Asking *asking = line->asking; asking != NULL; asking = asking->next)
        if (loop_now_ms(courier->loop) - asking->sentMs >= LINE_SILENT_MS) {
            channel_shut(line->channel);
            return;
        }
}

/* Waits until the line has a channel; null when the peer can't be reached. */
static Line *lineReady(Courier *courier, const char *address, int64_t until_ms)
{
    Line *line = map_get(courier->lines, address);
    if (line == NULL) {
        line = talloc_zero(courier, Line);
        line->courier = courier;
        line->address = talloc_strdup(line, address);
        map_set(courier->lines, address, line);
    }
    while (line->channel == NULL && line->opening)
        if (!signal_wait(courier->loop, &line->opened, until_ms))
            return NULL;
    if (line->channel != NULL)
        return line;
    int64_t wait_ms = until_ms - loop_now_ms(courier->loop);
    if (wait_ms <= 0)
        return NULL;
    if (wait_ms > CONNECT_EXPIRY_MS)
        wait_ms = CONNECT_EXPIRY_MS;
    line->opening = true;
    Channel *channel;
    const Status status = loop_open(courier->loop, line, address, wait_ms, &channel);
    line->opening = false;
    if (status == STATUS_OK) {
        line->channel = channel;
        courier->counts.linesOpened++;
        loop_spawn(courier->loop, "line", lineMain, line);
    }
    signal_raise(courier->loop, &line->opened);
    return line->channel != NULL ? line : NULL;
}

/* Puts the question on the line. */
static Status askingSend(Line *line, Asking *asking, const Shape *askShape, const void *ask)
{
    Courier *courier = line->courier;
    Envelope envelope = {.version = WIRE_VERSION,
                         .cluster = courier->cluster,
                         .kind = asking->kind,
                         .call = asking->call,
                         .peer = asking->meant.id,
                         .peerLife = asking->meant.life};
    shapePack(askShape, ask, asking->mem, &envelope.payload);
    Bytes frame = {0};
    shapePack(&EnvelopeShape, &envelope, asking->mem, &frame);
    asking->next = line->asking;
    line->asking = asking;
    const Status status = channel_send(line->channel, frame);
    if (status != STATUS_OK)
        askingTake(line, asking->call);
    asking->sentUpTo = channel_queued(line->channel);
    return status;
}

/* The answer as it came; the status is the peer's own, or why it is not taken. */
static Status answerRead(Line *line, const Asking *asking, void *mem, const Shape *answerShape, void *answer)
{
    Courier *courier = line->courier;
    if (asking->payload.count > 0 || (asking->status != STATUS_CLOSED && asking->status != STATUS_UNREACHABLE)) {
        line->misses = 0;
        courier->counts.answered++;
    }
    if (asking->payload.count == 0)
        return asking->status == STATUS_OK ? STATUS_BAD_FRAME : asking->status;
    const Status unpacked = shapeUnpack(answerShape, asking->payload, mem, answer, NULL);
    if (unpacked == STATUS_OK)
        return asking->status;
    courier->counts.badFrames++;
    return unpacked;
}

Status courierAskPeer(Courier *courier, void *mem, const CourierTarget *target, MessageKind kind, const Shape *askShape,
                      const void *ask, int64_t wait_ms, const Shape *answerShape, void *answer)
{
    const int64_t until_ms = loop_now_ms(courier->loop) + wait_ms;
    courier->counts.asked++;
    Line *line = lineReady(courier, target->address, until_ms);
    if (line == NULL || (target->sending != NULL && target->sending->cancelled))
        return STATUS_UNREACHABLE;
    void *scratch = talloc_new(mem);
    Asking *asking = talloc_zero(scratch, Asking);
    *asking = (Asking){.call = ++courier->lastCall,
                       .kind = kind,
                       .meant = target->meant,
                       .sentMs = loop_now_ms(courier->loop),
                       .mem = scratch};
    Status status = askingSend(line, asking, askShape, ask);
    if (status != STATUS_OK) {
        talloc_free(scratch);
        return status == STATUS_TOO_LARGE ? status : STATUS_UNREACHABLE;
    }
    if (target->sending != NULL)
        target->sending->sent = true;
    while (!asking->done)
        if (!signal_wait(courier->loop, &asking->answered, until_ms))
            break;
    if (!asking->done) {
        askingTake(line, asking->call);
        courier->counts.expired++;
        /* a line that has gone quiet may be a dead connection: open it anew */
        if (++line->misses >= LINE_MISSES && line->channel != NULL)
            channel_shut(line->channel);
        status = STATUS_EXPIRED;
    } else {
        status = answerRead(line, asking, mem, answerShape, answer);
    }
    talloc_free(scratch);
    return status;
}

Status courierAsk(Courier *courier, void *mem, const char *address, MessageKind kind, const Shape *askShape,
                  const void *ask, int64_t wait_ms, const Shape *answerShape, void *answer)
{
    return courierAskPeer(courier, mem, &(CourierTarget){.address = address}, kind, askShape, ask, wait_ms, answerShape,
                          answer);
}
