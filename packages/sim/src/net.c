/* Simulated connections. Frames arrive in order and delayed, and are held back while the link is cut. A peer sees the
 * end of a connection only while the link is not cut. */
#include <string.h>
#include <talloc.h>

#include "world.h"

/* A frame in transit. */
typedef struct SimFrame {
    struct SimFrame *next;
    int64_t due_ms; /* world time of arrival */
    bool fin;       /* the end of this direction, without bytes */
    Bytes bytes;
} SimFrame;

typedef struct SimChannel SimChannel;

/* A connection with both of its ends, 0 (the opener) and 1. Invariant: it is freed when both ends are closed and
 * no event of transfer_due_frames or duplicate_arrive is due. */
typedef struct SimConnection {
    SimWorld *world;
    int machine[2];
    SimChannel *end[2];           /* null: closed */
    SimFrame *first[2], *last[2]; /* frames in transit from that side to the other */
    bool transferring[2];         /* an event is due that moves that side's frames */
    bool fin[2];                  /* that side no longer sends frames */
    size_t duplicates;            /* duplicated frames in transit */
} SimConnection;

/* One end of a connection. */
struct SimChannel {
    Channel channel; /* must be first */
    SimConnection *connection;
    int side;
};

static void connection_maybe_free(SimConnection *connection)
{
    if (connection->end[0] == NULL && connection->end[1] == NULL && !connection->transferring[0] &&
        !connection->transferring[1] && connection->duplicates == 0)
        talloc_free(connection);
}

/* The argument of transfer_due_frames: one direction of a connection. */
typedef struct SimDirection {
    SimConnection *connection;
    int side;
} SimDirection;

/* Resets the connection: frames in transit are lost, and both ends see the connection end. */
static void connection_reset(SimConnection *connection)
{
    for (int side = 0; side < 2; side++) {
        while (connection->first[side] != NULL) {
            SimFrame *frame = connection->first[side];
            connection->first[side] = frame->next;
            talloc_free(frame);
        }
        connection->last[side] = NULL;
        connection->fin[side] = true;
        if (connection->end[side] != NULL)
            channel_end(&connection->end[side]->channel);
    }
}

/* Event: hands over the frames of one direction that are due, and schedules the event for the next frame. */
static void transfer_due_frames(void *arg)
{
    SimDirection *direction = arg;
    SimConnection *connection = direction->connection;
    SimWorld *world = connection->world;
    const int side = direction->side, other = 1 - side;
    const bool cut = world->cut[connection->machine[side]][connection->machine[other]];
    if (cut && world->refused[connection->machine[side]][connection->machine[other]]) {
        connection_reset(connection);
    } else if (connection->first[side] != NULL && connection->end[other] != NULL) {
        if (cut) {
            sim_schedule(world, world->now_ms + HELD_RETRY_MS, transfer_due_frames, direction);
            return;
        }
        /* A frozen machine still receives frames: its kernel buffers them, and the process reads them after the
         * thaw, even if the link was cut in the meantime. */
    }
    while (connection->first[side] != NULL &&
           (connection->first[side]->due_ms <= world->now_ms || connection->end[other] == NULL)) {
        SimFrame *frame = connection->first[side];
        connection->first[side] = frame->next;
        if (connection->first[side] == NULL)
            connection->last[side] = NULL;
        if (connection->end[side] != NULL)
            connection->end[side]->channel.surely_sent_bytes += frame->bytes.count;
        if (connection->end[other] != NULL) {
            if (frame->fin)
                channel_end(&connection->end[other]->channel);
            else
                channel_arrive(&connection->end[other]->channel, frame->bytes);
        }
        talloc_free(frame);
    }
    if (connection->first[side] != NULL) {
        sim_schedule(world, connection->first[side]->due_ms, transfer_due_frames, direction);
        return;
    }
    connection->transferring[side] = false;
    talloc_free(direction);
    connection_maybe_free(connection);
}

/* A duplicated frame in transit. */
typedef struct SimDuplicate {
    SimConnection *connection;
    int side;
    Bytes bytes;
} SimDuplicate;

/* Event: a duplicated frame arrives, unless the link is cut or the receiving end closed. */
static void duplicate_arrive(void *arg)
{
    SimDuplicate *duplicate = arg;
    SimConnection *connection = duplicate->connection;
    const int other = 1 - duplicate->side;
    if (connection->end[other] != NULL &&
        !connection->world->cut[connection->machine[duplicate->side]][connection->machine[other]])
        channel_arrive(&connection->end[other]->channel, duplicate->bytes);
    connection->duplicates--;
    talloc_free(duplicate);
    connection_maybe_free(connection);
}

/* Draws whether the frame is lost, and returns that. Otherwise draws whether a duplicate of it arrives later. */
static bool frame_lost(SimConnection *connection, int side, Bytes bytes)
{
    SimWorld *world = connection->world;
    if (world->frame_dropped == 0 && world->frame_repeated == 0)
        return false;
    if (sim_random(world) % 1000 < world->frame_dropped)
        return true;
    if (sim_random(world) % 1000 < world->frame_repeated) {
        SimDuplicate *duplicate = talloc_zero(world, SimDuplicate);
        *duplicate = (SimDuplicate){connection, side, bytes_copy(duplicate, bytes)};
        connection->duplicates++;
        const int64_t late_ms = (int64_t)(sim_random(world) % (uint64_t)(world->frame_late_ms + 1));
        sim_schedule(world, world->now_ms + sim_link_ms(world) + late_ms, duplicate_arrive, duplicate);
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

/* Sends a frame, or the end of this direction (fin). */
static void frame_send(SimConnection *connection, int side, bool fin, Bytes bytes)
{
    if (connection->fin[side])
        return;
    connection->fin[side] = fin;
    SimWorld *world = connection->world;
    SimFrame *frame = talloc_zero(connection, SimFrame);
    frame->fin = fin;
    frame->bytes = bytes_copy(frame, bytes);
    world->machines[connection->machine[side]].sent_bytes += bytes.count;
    world->machines[connection->machine[1 - side]].received_bytes += bytes.count;
    frame->due_ms = sim_arrival_ms(world, connection->machine[side], connection->machine[1 - side], bytes.count) +
                    world->machines[connection->machine[0]].extra_delay_ms +
                    world->machines[connection->machine[1]].extra_delay_ms;
    if (connection->last[side] != NULL) {
        if (frame->due_ms < connection->last[side]->due_ms)
            frame->due_ms = connection->last[side]->due_ms;
        connection->last[side]->next = frame;
    } else {
        connection->first[side] = frame;
    }
    connection->last[side] = frame;
    if (!connection->transferring[side]) {
        connection->transferring[side] = true;
        SimDirection *direction = talloc_zero(connection, SimDirection);
        *direction = (SimDirection){connection, side};
        sim_schedule(world, frame->due_ms, transfer_due_frames, direction);
    }
}

/* Destructor. Closes this end; the peer sees that unless the process ended by a loss of power. */
static int sim_channel_free(SimChannel *sim_channel)
{
    SimConnection *connection = sim_channel->connection;
    connection->end[sim_channel->side] = NULL;
    if (!connection->world->machines[connection->machine[sim_channel->side]].silent)
        frame_send(connection, sim_channel->side, true, (Bytes){0});
    connection_maybe_free(connection);
    return 0;
}

static SimChannel *sim_channel_new(SimConnection *connection, int side, Loop *loop, void *mem)
{
    SimChannel *sim_channel = talloc_zero(mem, SimChannel);
    sim_channel->channel.loop = loop;
    sim_channel->connection = connection;
    sim_channel->side = side;
    connection->end[side] = sim_channel;
    talloc_set_destructor(sim_channel, sim_channel_free);
    return sim_channel;
}

/* A new connection at the listener's process. */
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
        SimConnection *connection = talloc_zero(world, SimConnection);
        connection->world = world;
        connection->machine[0] = sim->machine;
        connection->machine[1] = target;
        SimChannel *opener_end = sim_channel_new(connection, 0, loop, mem);
        SimChannel *listener_end = sim_channel_new(connection, 1, &machine->loop->loop, machine->loop);
        SimAccepted *accepted = talloc_zero(machine->loop, SimAccepted);
        *accepted = (SimAccepted){*found, &listener_end->channel};
        loop_spawn(&machine->loop->loop, "connection", accepted_main, accepted);
        *channel = &opener_end->channel;
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
    if (!sim_channel->connection->fin[sim_channel->side])
        channel->maybe_sent_bytes = channel->queued_bytes;
    if (frame_lost(sim_channel->connection, sim_channel->side, frame))
        channel->surely_sent_bytes += frame.count; /* a lost frame is not waiting to be written */
    else
        frame_send(sim_channel->connection, sim_channel->side, false, frame);
    return STATUS_OK;
}

void sim_shut(Channel *channel)
{
    SimChannel *sim_channel = (SimChannel *)channel;
    frame_send(sim_channel->connection, sim_channel->side, true, (Bytes){0});
}
