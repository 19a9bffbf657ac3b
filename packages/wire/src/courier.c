#include "wire/courier.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"
#include "envelope.h"

typedef struct Handler {
    const Shape *ask, *answer;
    CourierFn fn;
    void *arg;
} Handler;

/* A question on its way. Invariant: on its line's list until answered or given up. */
typedef struct Asking {
    struct Asking *next;
    uint64_t call;
    int64_t sentMs;
    bool done;
    Status status;
    void *mem;
    Bytes payload;
    Signal answered;
} Asking;

/* The connection to one peer.
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

struct Courier {
    Loop *loop;
    Ring *ring;
    uint64_t cluster;
    uint64_t lastCall;
    Map *lines;
    Handler handlers[MESSAGE_MAX];
    CourierCounts counts;
};

static const struct {
    bool known;
    bool open;
} KINDS[MESSAGE_MAX] = {
#define X(name, number, word, opened) [number] = {true, opened},
    MESSAGE_LIST(X)
#undef X
};

Courier *courierNew(void *mem, Loop *loop, Ring *ring)
{
    Courier *courier = talloc_zero(mem, Courier);
    courier->loop = loop;
    courier->ring = ring;
    courier->lines = mapNew(courier);
    return courier;
}

void courierSetCluster(Courier *courier, uint64_t cluster)
{
    courier->cluster = cluster;
}

uint64_t courierCluster(const Courier *courier)
{
    return courier->cluster;
}

const CourierCounts *courierCounts(const Courier *courier)
{
    return &courier->counts;
}

void courierHandle(Courier *courier, MessageKind kind, const Shape *ask, const Shape *answer, CourierFn fn, void *arg)
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

static void servedLeave(Served *served)
{
    if (--served->users > 0)
        return;
    channelClose(served->channel);
    talloc_free(served);
}

static void answerSend(Served *served, void *mem, const Envelope *question, Status status, Bytes payload)
{
    const Envelope envelope = {.version = WIRE_VERSION,
                               .cluster = served->courier->cluster,
                               .kind = question->kind,
                               .call = question->call,
                               .answer = true,
                               .status = (uint64_t)status,
                               .payload = payload};
    Bytes frame = {0};
    shapePack(&EnvelopeShape, &envelope, mem, &frame);
    channelSend(served->channel, frame);
}

static void questionMain(void *arg)
{
    Question *question = arg;
    Served *served = question->served;
    Courier *courier = served->courier;
    const Envelope *envelope = &question->envelope;
    const Handler *handler = &courier->handlers[envelope->kind];
    const uint64_t cluster = courier->cluster;
    void *ask = talloc_zero_size(question, handler->ask->size);
    void *answer = talloc_zero_size(question, handler->answer->size);
    Failure failure = {0};
    Bytes payload = {0};
    Status status = STATUS_OK;
    if ((envelope->cluster != 0 && cluster != 0 && envelope->cluster != cluster) ||
        ((envelope->cluster == 0 || cluster == 0) && !KINDS[envelope->kind].open)) {
        courier->counts.strangers++;
        status = STATUS_STRANGER;
    } else {
        status = shapeUnpack(handler->ask, envelope->payload, question, ask, &failure);
        if (status != STATUS_OK) {
            courier->counts.badFrames++;
            ringSay(courier->ring, RING_NOTE, loopNowMs(courier->loop), "bad frame: %s", failure.text);
            channelShut(served->channel);
        } else {
            status = handler->fn(handler->arg, question, ask, answer);
            shapePack(handler->answer, answer, question, &payload);
            courier->counts.served++;
        }
    }
    answerSend(served, question, envelope, status, payload);
    servedLeave(served);
    talloc_free(question);
}

static void serve(void *arg, Channel *channel)
{
    Courier *courier = arg;
    Served *served = talloc_zero(courier, Served);
    *served = (Served){courier, channel, 1};
    for (;;) {
        Question *question = talloc_zero(courier, Question);
        Bytes frame;
        Failure failure = {0};
        if (channelReceive(channel, question, INT64_MAX, &frame) != STATUS_OK) {
            talloc_free(question);
            break;
        }
        if (shapeUnpack(&EnvelopeShape, frame, question, &question->envelope, &failure) != STATUS_OK ||
            question->envelope.answer || question->envelope.kind >= MESSAGE_MAX ||
            courier->handlers[question->envelope.kind].fn == NULL) {
            courier->counts.badFrames++;
            ringSay(courier->ring, RING_NOTE, loopNowMs(courier->loop), "bad frame, connection ended: %s",
                    failure.text);
            talloc_free(question);
            break;
        }
        if (question->envelope.version > WIRE_VERSION)
            courier->counts.otherVersions++; /* read as ours: fields are only ever added */
        question->served = served;
        served->users++;
        loopSpawn(courier->loop, "question", questionMain, question);
    }
    channelShut(channel);
    servedLeave(served);
}

Status courierListen(Courier *courier, const char *address, char bound[ADDRESS_MAX], Failure *failure)
{
    return loopListen(courier->loop, address, serve, courier, bound, failure);
}

/* --- asking ------------------------------------------------------------------ */

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

static void lineMain(void *arg)
{
    Line *line = arg;
    Courier *courier = line->courier;
    Channel *channel = line->channel;
    for (;;) {
        void *mem = talloc_new(courier);
        Bytes frame;
        Envelope envelope;
        if (channelReceive(channel, mem, INT64_MAX, &frame) != STATUS_OK ||
            shapeUnpack(&EnvelopeShape, frame, mem, &envelope, NULL) != STATUS_OK || !envelope.answer) {
            talloc_free(mem);
            break;
        }
        Asking *asking = askingTake(line, envelope.call);
        if (asking != NULL) {
            asking->done = true;
            asking->status = envelope.status < STATUS_COUNT ? (Status)envelope.status : STATUS_INTERNAL;
            asking->payload = envelope.payload;
            talloc_steal(asking->mem, envelope.payload.data);
            signalRaise(courier->loop, &asking->answered);
        }
        talloc_free(mem);
    }
    line->channel = NULL;
    line->misses = 0;
    while (line->asking != NULL) {
        Asking *asking = line->asking;
        askingTake(line, asking->call);
        asking->done = true;
        asking->status = STATUS_CLOSED;
        signalRaise(courier->loop, &asking->answered);
    }
    channelClose(channel);
}

void courierRenew(Courier *courier, const char *address)
{
    const Line *line = mapGet(courier->lines, address);
    if (line == NULL || line->channel == NULL)
        return;
    /* questions of its present life are answered or under way; one that waits for long went to the last */
    for (const Asking *asking = line->asking; asking != NULL; asking = asking->next)
        if (loopNowMs(courier->loop) - asking->sentMs >= LINE_SILENT_MS) {
            channelShut(line->channel);
            return;
        }
}

/* Waits until the line has a channel; null when the peer can't be reached. */
static Line *lineReady(Courier *courier, const char *address, int64_t untilMs)
{
    Line *line = mapGet(courier->lines, address);
    if (line == NULL) {
        line = talloc_zero(courier, Line);
        line->courier = courier;
        line->address = talloc_strdup(line, address);
        mapSet(courier->lines, address, line);
    }
    while (line->channel == NULL && line->opening)
        if (!signalWait(courier->loop, &line->opened, untilMs))
            return NULL;
    if (line->channel != NULL)
        return line;
    int64_t waitMs = untilMs - loopNowMs(courier->loop);
    if (waitMs <= 0)
        return NULL;
    if (waitMs > CONNECT_EXPIRY_MS)
        waitMs = CONNECT_EXPIRY_MS;
    line->opening = true;
    Channel *channel;
    const Status status = loopOpen(courier->loop, line, address, waitMs, &channel);
    line->opening = false;
    if (status == STATUS_OK) {
        line->channel = channel;
        courier->counts.linesOpened++;
        loopSpawn(courier->loop, "line", lineMain, line);
    }
    signalRaise(courier->loop, &line->opened);
    return line->channel != NULL ? line : NULL;
}

Status courierAsk(Courier *courier, void *mem, const char *address, MessageKind kind, const Shape *askShape,
                  const void *ask, int64_t waitMs, const Shape *answerShape, void *answer)
{
    const int64_t untilMs = loopNowMs(courier->loop) + waitMs;
    courier->counts.asked++;
    Line *line = lineReady(courier, address, untilMs);
    if (line == NULL)
        return STATUS_UNREACHABLE;
    void *scratch = talloc_new(mem);
    Asking *asking = talloc_zero(scratch, Asking);
    asking->call = ++courier->lastCall;
    asking->sentMs = loopNowMs(courier->loop);
    asking->mem = scratch;
    Envelope envelope = {.version = WIRE_VERSION, .cluster = courier->cluster, .kind = kind, .call = asking->call};
    shapePack(askShape, ask, scratch, &envelope.payload);
    Bytes frame = {0};
    shapePack(&EnvelopeShape, &envelope, scratch, &frame);
    asking->next = line->asking;
    line->asking = asking;
    Status status = channelSend(line->channel, frame);
    if (status != STATUS_OK) {
        askingTake(line, asking->call);
        talloc_free(scratch);
        return status == STATUS_TOO_LARGE ? status : STATUS_UNREACHABLE;
    }
    while (!asking->done)
        if (!signalWait(courier->loop, &asking->answered, untilMs))
            break;
    if (!asking->done) {
        askingTake(line, asking->call);
        courier->counts.expired++;
        /* a line that has gone quiet may be a dead connection: open it anew */
        if (++line->misses >= LINE_MISSES && line->channel != NULL)
            channelShut(line->channel);
        talloc_free(scratch);
        return STATUS_EXPIRED;
    }
    status = asking->status;
    if (status != STATUS_CLOSED || asking->payload.count > 0) {
        line->misses = 0;
        courier->counts.answered++;
        if (asking->payload.count > 0) {
            const Status unpacked = shapeUnpack(answerShape, asking->payload, mem, answer, NULL);
            if (unpacked != STATUS_OK) {
                courier->counts.badFrames++;
                status = unpacked;
            }
        } else if (status == STATUS_OK) {
            status = STATUS_BAD_FRAME;
        }
    }
    talloc_free(scratch);
    return status;
}
