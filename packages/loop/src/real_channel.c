/* Connections: frames over TCP, four bytes of length before each.
 *
 * What is sent to one peer within a turn of the loop is written together at its end, by one system call made here.
 * h2o writes only what the kernel did not take, since each of its writes costs a further turn. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "real.h"

/* Invariants: sock is null once the connection has ended; while writing, out belongs to h2o until its callback; it is
 * on the loop's flush list exactly while to_flush. */
typedef struct RealChannel {
    Channel channel; /* first */
    RealLoop *real;
    h2o_socket_t *sock;
    bool connecting;
    bool writing;
    bool to_flush;
    bool broken; /* a write has failed */
    struct RealChannel *flush_next, *flush_prev;
    Signal connected;
    Bytes out;  /* being written by h2o */
    Bytes next; /* queued meanwhile */
} RealChannel;

typedef struct Listener {
    RealLoop *real;
    ChannelFn fn;
    void *arg;
} Listener;

/* Passes a new connection to its task. */
typedef struct Accepted {
    const Listener *listener;
    Channel *channel;
} Accepted;

static void drop(RealChannel *rc)
{
    if (rc->sock != NULL) {
        h2o_socket_t *sock = rc->sock;
        rc->sock = NULL;
        h2o_socket_close(sock);
    }
}

static void flush_leave(RealChannel *rc)
{
    if (!rc->to_flush)
        return;
    rc->to_flush = false;
    if (rc->flush_prev != NULL)
        rc->flush_prev->flush_next = rc->flush_next;
    else
        rc->real->flush_first = rc->flush_next;
    if (rc->flush_next != NULL)
        rc->flush_next->flush_prev = rc->flush_prev;
}

static int channel_free(RealChannel *rc)
{
    flush_leave(rc);
    drop(rc);
    return 0;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
    RealChannel *rc = sock->data;
    if (err != NULL) {
        drop(rc);
        channel_end(&rc->channel);
        return;
    }
    while (sock->input->size >= 4) {
        const uint8_t *at = (const uint8_t *)sock->input->bytes;
        const uint32_t count = (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 | (uint32_t)at[2] << 8 | at[3];
        if (count > FRAME_MAX_BYTES || rc->channel.frame_count >= CHANNEL_QUEUE_FRAMES) {
            drop(rc);
            channel_end(&rc->channel);
            return;
        }
        if (sock->input->size < 4 + (size_t)count)
            return;
        channel_arrive(&rc->channel, (Bytes){(uint8_t *)sock->input->bytes + 4, count, 0});
        h2o_buffer_consume(&sock->input, 4 + (size_t)count);
    }
}

static void on_written(h2o_socket_t *sock, const char *err);

/* Writes what the kernel takes without waiting. */
static void write_now(RealChannel *rc)
{
    const ssize_t took = send(h2o_socket_get_fd(rc->sock), rc->next.data, rc->next.count, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (took < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        rc->broken = true; /* nothing more is written; what has arrived is read first, then the end */
    if (took <= 0)
        return;
    rc->channel.handed += (uint64_t)took;
    rc->next.count -= (size_t)took;
    memmove(rc->next.data, rc->next.data + took, rc->next.count);
    if (rc->next.count == 0 && rc->next.capacity > CHANNEL_KEEP_BYTES) {
        talloc_free(rc->next.data);
        rc->next = (Bytes){0};
    }
}

static void write_next(RealChannel *rc)
{
    if (rc->writing || rc->connecting || rc->broken || rc->sock == NULL || rc->next.count == 0)
        return;
    write_now(rc);
    if (rc->next.count == 0 || rc->broken)
        return;
    const Bytes spare = rc->out;
    rc->out = rc->next;
    rc->next = (Bytes){spare.data, 0, spare.capacity};
    rc->writing = true;
    rc->channel.handed += rc->out.count; /* some of it may leave before the callback */
    h2o_iovec_t vec = h2o_iovec_init((char *)rc->out.data, rc->out.count);
    h2o_socket_write(rc->sock, &vec, 1, on_written);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
    RealChannel *rc = sock->data;
    rc->writing = false;
    if (rc->out.capacity > CHANNEL_KEEP_BYTES) {
        talloc_free(rc->out.data);
        rc->out = (Bytes){0};
    }
    if (err != NULL) {
        drop(rc);
        channel_end(&rc->channel);
        return;
    }
    write_next(rc);
}

static RealChannel *channel_new(RealLoop *real, void *mem, h2o_socket_t *sock)
{
    RealChannel *rc = talloc_zero(mem, RealChannel);
    rc->channel.loop = &real->loop;
    rc->real = real;
    rc->sock = sock;
    if (sock != NULL)
        sock->data = rc;
    talloc_set_destructor(rc, channel_free);
    return rc;
}

static void accepted_main(void *arg)
{
    Accepted *accepted = arg;
    const Accepted copy = *accepted;
    talloc_free(accepted);
    copy.listener->fn(copy.listener->arg, copy.channel);
}

static void on_accept(h2o_socket_t *sock, const char *err)
{
    Listener *listener = sock->data;
    h2o_socket_t *got;
    if (err != NULL)
        return;
    while ((got = h2o_evloop_socket_accept(sock)) != NULL) {
        RealChannel *rc = channel_new(listener->real, listener->real, got);
        h2o_socket_read_start(got, on_read);
        Accepted *accepted = talloc_zero(listener->real, Accepted);
        *accepted = (Accepted){listener, &rc->channel};
        loop_spawn(&listener->real->loop, "connection", accepted_main, accepted);
    }
}

Status real_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure)
{
    RealLoop *real = (RealLoop *)loop;
    Listener *listener = talloc_zero(real, Listener);
    *listener = (Listener){real, fn, arg};
    return real_bind(real, address, on_accept, listener, bound, failure) != NULL ? STATUS_OK : STATUS_BAD_SETTINGS;
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
    RealChannel *rc = sock->data;
    rc->connecting = false;
    if (err != NULL) {
        drop(rc);
    } else {
        h2o_socket_read_start(sock, on_read);
        write_next(rc);
    }
    signal_raise(&rc->real->loop, &rc->connected);
}

Status real_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel)
{
    RealLoop *real = (RealLoop *)loop;
    struct sockaddr_in sin;
    if (!real_address(address, &sin))
        return STATUS_BAD_SETTINGS;
    h2o_socket_t *sock = h2o_socket_connect(real->evloop, (struct sockaddr *)&sin, sizeof(sin), on_connect);
    if (sock == NULL)
        return STATUS_UNREACHABLE;
    real_patience(h2o_socket_get_fd(sock));
    RealChannel *rc = channel_new(real, mem, sock);
    rc->connecting = true;
    if (!signal_wait(loop, &rc->connected, loop_now_ms(loop) + wait_ms) || rc->sock == NULL) {
        channel_close(&rc->channel);
        return STATUS_UNREACHABLE;
    }
    *channel = &rc->channel;
    return STATUS_OK;
}

Status real_send(Channel *channel, Bytes frame)
{
    RealChannel *rc = (RealChannel *)channel;
    if (frame.count > FRAME_MAX_BYTES)
        return STATUS_TOO_LARGE;
    if (rc->next.count + frame.count > CHANNEL_QUEUE_BYTES) {
        drop(rc);
        channel_end(channel);
        return STATUS_BUSY;
    }
    const uint8_t head[4] = {(uint8_t)(frame.count >> 24), (uint8_t)(frame.count >> 16), (uint8_t)(frame.count >> 8),
                             (uint8_t)frame.count};
    bytes_add(rc, &rc->next, head, sizeof(head));
    bytes_add(rc, &rc->next, frame.data, frame.count);
    channel->queued += sizeof(head) + frame.count;
    if (!rc->to_flush) {
        RealLoop *real = rc->real;
        rc->to_flush = true;
        rc->flush_prev = NULL;
        rc->flush_next = real->flush_first;
        if (rc->flush_next != NULL)
            rc->flush_next->flush_prev = rc;
        real->flush_first = rc;
    }
    return STATUS_OK;
}

void real_flush(RealLoop *real)
{
    while (real->flush_first != NULL) {
        RealChannel *rc = real->flush_first;
        flush_leave(rc);
        write_next(rc);
    }
}

void real_shut(Channel *channel)
{
    RealChannel *rc = (RealChannel *)channel;
    flush_leave(rc);
    write_next(rc); /* what was queued before */
    drop(rc);
}
