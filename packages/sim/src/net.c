/* Simulated connections: in order, delayed, held back while the way is cut, told
 * of an end only when the way is open. */
#include <string.h>
#include <talloc.h>

#include "world.h"

typedef struct SimFrame {
    struct SimFrame *next;
    int64_t due_ms;
    bool fin;
    Bytes bytes;
} SimFrame;

typedef struct SimChannel SimChannel;

/* Both ends of a connection. Invariant: freed when both ends are gone and no
 * pump or repeated frame is due. */
typedef struct SimPair {
    SimWorld *world;
    int machine[2];
    SimChannel *end[2];
    SimFrame *first[2], *last[2]; /* on the way from that side to the other */
    bool pumping[2];
    bool fin[2];
    size_t repeats; /* frames that come once more */
} SimPair;

struct SimChannel {
    Channel channel; /* first */
    SimPair *pair;
    int side;
};

static void pairMaybeFree(SimPair *pair)
{
    if (pair->end[0] == NULL && pair->end[1] == NULL && !pair->pumping[0] && !pair->pumping[1] && pair->repeats == 0)
        talloc_free(pair);
}

typedef struct SimPump {
    SimPair *pair;
    int side;
} SimPump;

/* What is on its way is lost, and both ends hear of it. */
static void pairReset(SimPair *pair)
{
    for (int side = 0; side < 2; side++) {
        while (pair->first[side] != NULL) {
            SimFrame *frame = pair->first[side];
            pair->first[side] = frame->next;
            talloc_free(frame);
        }
        pair->last[side] = NULL;
        pair->fin[side] = true;
        if (pair->end[side] != NULL)
            channel_end(&pair->end[side]->channel);
    }
}

static void pump(void *arg)
{
    SimPump *one = arg;
    SimPair *pair = one->pair;
    SimWorld *world = pair->world;
    const int side = one->side, other = 1 - side;
    const bool cut = world->cut[pair->machine[side]][pair->machine[other]];
    if (cut && world->refused[pair->machine[side]][pair->machine[other]]) {
        pairReset(pair);
    } else if (pair->first[side] != NULL && pair->end[other] != NULL) {
        if (cut) {
            simAt(world, world->now_ms + HELD_RETRY_MS, pump, one);
            return;
        }
        /* a machine that stands still takes frames all the same: its kernel keeps
         * them, and its process finds them when it wakes, whatever was cut since */
    }
    while (pair->first[side] != NULL && (pair->first[side]->due_ms <= world->now_ms || pair->end[other] == NULL)) {
        SimFrame *frame = pair->first[side];
        pair->first[side] = frame->next;
        if (pair->first[side] == NULL)
            pair->last[side] = NULL;
        if (pair->end[other] != NULL) {
            if (frame->fin)
                channel_end(&pair->end[other]->channel);
            else
                channel_arrive(&pair->end[other]->channel, frame->bytes);
        }
        talloc_free(frame);
    }
    if (pair->first[side] != NULL) {
        simAt(world, pair->first[side]->due_ms, pump, one);
        return;
    }
    pair->pumping[side] = false;
    talloc_free(one);
    pairMaybeFree(pair);
}

typedef struct SimRepeat {
    SimPair *pair;
    int side;
    Bytes bytes;
} SimRepeat;

static void repeatArrive(void *arg)
{
    SimRepeat *repeat = arg;
    SimPair *pair = repeat->pair;
    const int other = 1 - repeat->side;
    if (pair->end[other] != NULL && !pair->world->cut[pair->machine[repeat->side]][pair->machine[other]])
        channel_arrive(&pair->end[other]->channel, repeat->bytes);
    pair->repeats--;
    talloc_free(repeat);
    pairMaybeFree(pair);
}

/* Whether the frame is lost; it may come once more otherwise. */
static bool frameDrawn(SimPair *pair, int side, Bytes bytes)
{
    SimWorld *world = pair->world;
    if (world->frameDropped == 0 && world->frameRepeated == 0)
        return false;
    if (simRandom(world) % 1000 < world->frameDropped)
        return true;
    if (simRandom(world) % 1000 < world->frameRepeated) {
        SimRepeat *repeat = talloc_zero(world, SimRepeat);
        *repeat = (SimRepeat){pair, side, bytes_copy(repeat, bytes)};
        pair->repeats++;
        const int64_t late_ms = (int64_t)(simRandom(world) % (uint64_t)(world->frameLateMs + 1));
        simAt(world, world->now_ms + simLinkMs(world) + late_ms, repeatArrive, repeat);
    }
    return false;
}

uint64_t simSentBytes(const SimWorld *world, int machine)
{
    return world->machines[machine].sentBytes;
}

static void push(SimPair *pair, int side, bool fin, Bytes bytes)
{
    if (pair->fin[side])
        return;
    pair->fin[side] = fin;
    SimWorld *world = pair->world;
    SimFrame *frame = talloc_zero(pair, SimFrame);
    frame->fin = fin;
    frame->bytes = bytes_copy(frame, bytes);
    world->machines[pair->machine[side]].sentBytes += bytes.count;
    frame->due_ms = simArrivalMs(world, pair->machine[side], pair->machine[1 - side], bytes.count) +
                    world->machines[pair->machine[0]].farMs + world->machines[pair->machine[1]].farMs;
    if (pair->last[side] != NULL) {
        if (frame->due_ms < pair->last[side]->due_ms)
            frame->due_ms = pair->last[side]->due_ms;
        pair->last[side]->next = frame;
    } else {
        pair->first[side] = frame;
    }
    pair->last[side] = frame;
    if (!pair->pumping[side]) {
        pair->pumping[side] = true;
        SimPump *one = talloc_zero(pair, SimPump);
        *one = (SimPump){pair, side};
        simAt(world, frame->due_ms, pump, one);
    }
}

static int simChannelFree(SimChannel *sc)
{
    SimPair *pair = sc->pair;
    pair->end[sc->side] = NULL;
    if (!pair->world->machines[pair->machine[sc->side]].silent)
        push(pair, sc->side, true, (Bytes){0});
    pairMaybeFree(pair);
    return 0;
}

static SimChannel *simChannelNew(SimPair *pair, int side, Loop *loop, void *mem)
{
    SimChannel *sc = talloc_zero(mem, SimChannel);
    sc->channel.loop = loop;
    sc->pair = pair;
    sc->side = side;
    pair->end[side] = sc;
    talloc_set_destructor(sc, simChannelFree);
    return sc;
}

typedef struct SimAccepted {
    SimPort port;
    Channel *channel;
} SimAccepted;

static void accepted_main(void *arg)
{
    SimAccepted *accepted = arg;
    const SimAccepted copy = *accepted;
    talloc_free(accepted);
    copy.port.onChannel(copy.port.arg, copy.channel);
}

Status simListen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure)
{
    (void)failure;
    simTakePort((SimLoop *)loop, address, (SimPort){fn, NULL, arg}, bound);
    return STATUS_OK;
}

Status simOpen(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel)
{
    SimLoop *sim = (SimLoop *)loop;
    SimWorld *world = sim->world;
    int target;
    const char *port;
    const int64_t until_ms = loop_now_ms(loop) + wait_ms;
    if (!simFind(world, address, &target, &port))
        return STATUS_BAD_PROPS;
    do {
        loop_sleep(loop, simLinkMs(world) + simLinkMs(world));
        if (world->cut[sim->machine][target] || world->cut[target][sim->machine]) {
            if (world->refused[sim->machine][target] || world->refused[target][sim->machine])
                return STATUS_UNREACHABLE;
            loop_sleep(loop, HELD_RETRY_MS);
            continue;
        }
        SimMachine *machine = &world->machines[target];
        if (machine->loop == NULL) {
            if (machine->silent) {
                loop_sleep(loop, HELD_RETRY_MS);
                continue;
            }
            return STATUS_UNREACHABLE;
        }
        const SimPort *found = map_get(machine->loop->ports, port);
        if (found == NULL || found->onChannel == NULL)
            return STATUS_UNREACHABLE;
        SimPair *pair = talloc_zero(world, SimPair);
        pair->world = world;
        pair->machine[0] = sim->machine;
        pair->machine[1] = target;
        SimChannel *mine = simChannelNew(pair, 0, loop, mem);
        SimChannel *theirs = simChannelNew(pair, 1, &machine->loop->loop, machine->loop);
        SimAccepted *accepted = talloc_zero(machine->loop, SimAccepted);
        *accepted = (SimAccepted){*found, &theirs->channel};
        loop_spawn(&machine->loop->loop, "connection", accepted_main, accepted);
        *channel = &mine->channel;
        return STATUS_OK;
    } while (loop_now_ms(loop) < until_ms);
    return STATUS_UNREACHABLE;
}

Status simSend(Channel *channel, Bytes frame)
{
    SimChannel *sc = (SimChannel *)channel;
    if (frame.count > FRAME_MAX_BYTES)
        return STATUS_TOO_LARGE;
    channel->queued += frame.count;
    if (!sc->pair->fin[sc->side])
        channel->handed = channel->queued;
    if (!frameDrawn(sc->pair, sc->side, frame))
        push(sc->pair, sc->side, false, frame);
    return STATUS_OK;
}

void simShut(Channel *channel)
{
    SimChannel *sc = (SimChannel *)channel;
    push(sc->pair, sc->side, true, (Bytes){0});
}
