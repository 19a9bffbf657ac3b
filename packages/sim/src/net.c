/* Simulated connections: frames in order, delayed, held back while the link is cut; the end of a connection is
 * seen only while the link is open. */
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

static void pair_maybe_free(SimPair *pair)
{
    if (pair->end[0] == NULL && pair->end[1] == NULL && !pair->pumping[0] && !pair->pumping[1] && pair->repeats == 0)
        talloc_free(pair);
}

typedef struct SimPump {
    SimPair *pair;
    int side;
} SimPump;

/* A reset: frames in flight are lost, and both ends see that. */
static void pair_reset(SimPair *pair)
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
        pair_reset(pair);
    } else if (pair->first[side] != NULL && pair->end[other] != NULL) {
        if (cut) {
            sim_at(world, world->now_ms + HELD_RETRY_MS, pump, one);
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
        if (pair->end[side] != NULL)
            pair->end[side]->channel.surely_sent_bytes += frame->bytes.count;
        if (pair->end[other] != NULL) {
            if (frame->fin)
                channel_end(&pair->end[other]->channel);
            else
                channel_arrive(&pair->end[other]->channel, frame->bytes);
        }
        talloc_free(frame);
    }
    if (pair->first[side] != NULL) {
        sim_at(world, pair->first[side]->due_ms, pump, one);
        return;
    }
    pair->pumping[side] = false;
    talloc_free(one);
    pair_maybe_free(pair);
}

typedef struct SimRepeat {
    SimPair *pair;
    int side;
    Bytes bytes;
} SimRepeat;

static void repeat_arrive(void *arg)
{
    SimRepeat *repeat = arg;
    SimPair *pair = repeat->pair;
    const int other = 1 - repeat->side;
    if (pair->end[other] != NULL && !pair->world->cut[pair->machine[repeat->side]][pair->machine[other]])
        channel_arrive(&pair->end[other]->channel, repeat->bytes);
    pair->repeats--;
    talloc_free(repeat);
    pair_maybe_free(pair);
}

/* Whether the frame is lost; it may come once more otherwise. */
static bool frame_drawn(SimPair *pair, int side, Bytes bytes)
{
    SimWorld *world = pair->world;
    if (world->frame_dropped == 0 && world->frame_repeated == 0)
        return false;
    if (sim_random(world) % 1000 < world->frame_dropped)
        return true;
    if (sim_random(world) % 1000 < world->frame_repeated) {
        SimRepeat *repeat = talloc_zero(world, SimRepeat);
        *repeat = (SimRepeat){pair, side, bytes_copy(repeat, bytes)};
        pair->repeats++;
        const int64_t late_ms = (int64_t)(sim_random(world) % (uint64_t)(world->frame_late_ms + 1));
        sim_at(world, world->now_ms + sim_link_ms(world) + late_ms, repeat_arrive, repeat);
    }
    return false;
}

uint64_t sim_sent_bytes(const SimWorld *world, int machine)
{
    return world->machines[machine].sent_bytes;
}

uint64_t sim_received_bytes(const SimWorld *world, int machine)
{
    return world->machines[machine].received_bytes;
}

static void preemption(SimPair *pair, int side, bool fin, Bytes bytes)
{
    if (pair->fin[side])
        return;
    pair->fin[side] = fin;
    SimWorld *world = pair->world;
    SimFrame *frame = talloc_zero(pair, SimFrame);
    frame->fin = fin;
    frame->bytes = bytes_copy(frame, bytes);
    world->machines[pair->machine[side]].sent_bytes += bytes.count;
    world->machines[pair->machine[1 - side]].received_bytes += bytes.count;
    frame->due_ms = sim_arrival_ms(world, pair->machine[side], pair->machine[1 - side], bytes.count) +
                    world->machines[pair->machine[0]].far_ms + world->machines[pair->machine[1]].far_ms;
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
        sim_at(world, frame->due_ms, pump, one);
    }
}

static int sim_channel_free(SimChannel *sim_channel)
{
    SimPair *pair = sim_channel->pair;
    pair->end[sim_channel->side] = NULL;
    if (!pair->world->machines[pair->machine[sim_channel->side]].silent)
        preemption(pair, sim_channel->side, true, (Bytes){0});
    pair_maybe_free(pair);
    return 0;
}

static SimChannel *sim_channel_new(SimPair *pair, int side, Loop *loop, void *mem)
{
    SimChannel *sim_channel = talloc_zero(mem, SimChannel);
    sim_channel->channel.loop = loop;
    sim_channel->pair = pair;
    sim_channel->side = side;
    pair->end[side] = sim_channel;
    talloc_set_destructor(sim_channel, sim_channel_free);
    return sim_channel;
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
    copy.port.on_channel(copy.port.arg, copy.channel);
}

Status sim_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure)
{
    (void)failure;
    sim_take_port((SimLoop *)loop, address, (SimPort){fn, NULL, arg}, bound);
    return STATUS_OK;
}

Status sim_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel)
{
    SimLoop *sim = (SimLoop *)loop;
    SimWorld *world = sim->world;
    int target;
    const char *port;
    const int64_t until_ms = loop_now_ms(loop) + wait_ms;
    if (!sim_find(world, address, &target, &port))
        return STATUS_BAD_SETTINGS;
    do {
        loop_sleep(loop, sim_link_ms(world) + sim_link_ms(world));
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
        if (found == NULL || found->on_channel == NULL)
            return STATUS_UNREACHABLE;
        SimPair *pair = talloc_zero(world, SimPair);
        pair->world = world;
        pair->machine[0] = sim->machine;
        pair->machine[1] = target;
        SimChannel *mine = sim_channel_new(pair, 0, loop, mem);
        SimChannel *theirs = sim_channel_new(pair, 1, &machine->loop->loop, machine->loop);
        SimAccepted *accepted = talloc_zero(machine->loop, SimAccepted);
        *accepted = (SimAccepted){*found, &theirs->channel};
        loop_spawn(&machine->loop->loop, "connection", accepted_main, accepted);
        *channel = &mine->channel;
        return STATUS_OK;
    } while (loop_now_ms(loop) < until_ms);
    return STATUS_UNREACHABLE;
}

Status sim_send(Channel *channel, Bytes frame)
{
    SimChannel *sim_channel = (SimChannel *)channel;
    if (frame.count > FRAME_MAX_BYTES)
        return STATUS_TOO_LARGE;
    channel->queued_bytes += frame.count;
    if (!sim_channel->pair->fin[sim_channel->side])
        channel->maybe_sent_bytes = channel->queued_bytes;
    if (frame_drawn(sim_channel->pair, sim_channel->side, frame))
        channel->surely_sent_bytes += frame.count; /* lost on its way: it waits no more */
    else
        preemption(sim_channel->pair, sim_channel->side, false, frame);
    return STATUS_OK;
}

void sim_shut(Channel *channel)
{
    SimChannel *sim_channel = (SimChannel *)channel;
    preemption(sim_channel->pair, sim_channel->side, true, (Bytes){0});
}
