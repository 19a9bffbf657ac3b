/* Connections: frames over TCP, each preceded by its length in four bytes.
 *
 * All frames sent to one peer within a turn of the loop are written at the end of the turn by one system call made
 * here. h2o writes only the bytes that the kernel did not accept, since each of its writes costs a further turn. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "real_channel.h"

/* An address at which connections are accepted. */
typedef struct Listener {
    RealLoop *real;
    ChannelFn fn;
    void *arg;
} Listener;

/* The argument of a new connection's task. */
typedef struct Accepted {
    const Listener *listener;
    Channel *channel;
} Accepted;

static void socket_close(RealChannel *real_channel)
{
    if (real_channel->sock != NULL) {
        h2o_socket_t *sock = real_channel->sock;
        real_channel->sock = NULL;
        h2o_socket_close(sock);
    }
}

/* Removes the channel from the loop's flush list. */
static void flush_cancel(RealChannel *real_channel)
{
    if (!real_channel->to_flush)
        return;
    real_channel->to_flush = false;
    if (real_channel->flush_prev != NULL)
        real_channel->flush_prev->flush_next = real_channel->flush_next;
    else
        real_channel->real->flush_first = real_channel->flush_next;
    if (real_channel->flush_next != NULL)
        real_channel->flush_next->flush_prev = real_channel->flush_prev;
}

void real_channel_end(RealChannel *real_channel)
{
    peer_remove(real_channel);
    socket_close(real_channel);
    channel_end(&real_channel->channel);
}

static int channel_free(RealChannel *real_channel)
{
    flush_cancel(real_channel);
    peer_remove(real_channel);
    socket_close(real_channel);
    return 0;
}

/* Moves the complete frames of the input to the channel's queue. Returns false if the connection must end. */
static bool frames_read(RealChannel *real_channel, h2o_socket_t *sock)
{
    while (sock->input->size >= 4) {
        const uint8_t *at = (const uint8_t *)sock->input->bytes;
        const uint32_t count = (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 | (uint32_t)at[2] << 8 | at[3];
        if (count > FRAME_MAX_BYTES || real_channel->channel.frame_count >= CHANNEL_QUEUE_FRAMES)
            return false;
        if (sock->input->size < 4 + (size_t)count)
            break;
        channel_arrive(&real_channel->channel, (Bytes){(uint8_t *)sock->input->bytes + 4, count, 0});
        h2o_buffer_consume(&sock->input, 4 + (size_t)count);
    }
    return true;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
    RealChannel *real_channel = sock->data;
    if (err != NULL || !frames_read(real_channel, sock))
        real_channel_end(real_channel);
    else
        peer_count(real_channel);
}

static void on_written(h2o_socket_t *sock, const char *err);

/* Writes as many of the queued bytes as the kernel accepts without blocking. */
static void write_now(RealChannel *real_channel)
{
    const ssize_t sent = send(h2o_socket_get_fd(real_channel->sock), real_channel->next.data, real_channel->next.count,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        real_channel->broken = true; /* writes nothing more; frames that have arrived are read before the end */
    if (sent <= 0)
        return;
    real_channel->channel.maybe_sent_bytes += (uint64_t)sent;
    real_channel->channel.surely_sent_bytes += (uint64_t)sent;
    real_channel->next.count -= (size_t)sent;
    memmove(real_channel->next.data, real_channel->next.data + sent, real_channel->next.count);
    if (real_channel->next.count == 0 && real_channel->next.capacity > CHANNEL_BUFFER_KEEP_BYTES) {
        talloc_free(real_channel->next.data);
        real_channel->next = (Bytes){0};
    }
}

/* Writes the queued bytes, and passes those that the kernel did not accept to h2o. */
static void write_next(RealChannel *real_channel)
{
    if (real_channel->writing || real_channel->connecting || real_channel->broken || real_channel->sock == NULL ||
        real_channel->next.count == 0)
        return;
    write_now(real_channel);
    if (real_channel->next.count == 0 || real_channel->broken)
        return;
    const Bytes spare = real_channel->out;
    real_channel->out = real_channel->next;
    real_channel->next = (Bytes){spare.data, 0, spare.capacity};
    real_channel->writing = true;
    real_channel->channel.maybe_sent_bytes +=
        real_channel->out.count; /* some of the bytes may leave before the callback */
    h2o_iovec_t vec = h2o_iovec_init((char *)real_channel->out.data, real_channel->out.count);
    h2o_socket_write(real_channel->sock, &vec, 1, on_written);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
    RealChannel *real_channel = sock->data;
    real_channel->writing = false;
    real_channel->channel.surely_sent_bytes += real_channel->out.count;
    if (real_channel->out.capacity > CHANNEL_BUFFER_KEEP_BYTES) {
        talloc_free(real_channel->out.data);
        real_channel->out = (Bytes){0};
    }
    if (err != NULL) {
        real_channel_end(real_channel);
        return;
    }
    write_next(real_channel);
    peer_count(real_channel);
}

static RealChannel *channel_new(RealLoop *real, void *mem, h2o_socket_t *sock)
{
    RealChannel *real_channel = talloc_zero(mem, RealChannel);
    real_channel->channel.loop = &real->loop;
    real_channel->real = real;
    real_channel->sock = sock;
    if (sock != NULL)
        sock->data = real_channel;
    talloc_set_destructor(real_channel, channel_free);
    return real_channel;
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
    h2o_socket_t *accepted_sock;
    if (err != NULL)
        return;
    while ((accepted_sock = h2o_evloop_socket_accept(sock)) != NULL) {
        RealChannel *real_channel = channel_new(listener->real, listener->real, accepted_sock);
        h2o_socket_read_start(accepted_sock, on_read);
        peer_add(real_channel);
        Accepted *accepted = talloc_zero(listener->real, Accepted);
        *accepted = (Accepted){listener, &real_channel->channel};
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
    RealChannel *real_channel = sock->data;
    real_channel->connecting = false;
    if (err != NULL) {
        socket_close(real_channel);
    } else {
        h2o_socket_read_start(sock, on_read);
        write_next(real_channel);
    }
    signal_raise(&real_channel->real->loop, &real_channel->connected);
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
    real_set_timeouts(h2o_socket_get_fd(sock));
    RealChannel *real_channel = channel_new(real, mem, sock);
    real_channel->connecting = true;
    if (!signal_wait(loop, &real_channel->connected, loop_now_ms(loop) + wait_ms) || real_channel->sock == NULL) {
        channel_close(&real_channel->channel);
        return STATUS_UNREACHABLE;
    }
    *channel = &real_channel->channel;
    return STATUS_OK;
}

Status real_send(Channel *channel, Bytes frame)
{
    RealChannel *real_channel = (RealChannel *)channel;
    if (frame.count > FRAME_MAX_BYTES)
        return STATUS_TOO_LARGE;
    if (real_channel->next.count + frame.count > CHANNEL_QUEUE_BYTES) {
        real_channel_end(real_channel);
        return STATUS_BUSY;
    }
    const uint8_t head[4] = {(uint8_t)(frame.count >> 24), (uint8_t)(frame.count >> 16), (uint8_t)(frame.count >> 8),
                             (uint8_t)frame.count};
    bytes_add(real_channel, &real_channel->next, head, sizeof(head));
    bytes_add(real_channel, &real_channel->next, frame.data, frame.count);
    channel->queued_bytes += sizeof(head) + frame.count;
    if (!real_channel->to_flush) {
        RealLoop *real = real_channel->real;
        real_channel->to_flush = true;
        real_channel->flush_prev = NULL;
        real_channel->flush_next = real->flush_first;
        if (real_channel->flush_next != NULL)
            real_channel->flush_next->flush_prev = real_channel;
        real->flush_first = real_channel;
    }
    peer_count(real_channel);
    return STATUS_OK;
}

void real_flush(RealLoop *real)
{
    while (real->flush_first != NULL) {
        RealChannel *real_channel = real->flush_first;
        flush_cancel(real_channel);
        write_next(real_channel);
    }
}

void real_shut(Channel *channel)
{
    RealChannel *real_channel = (RealChannel *)channel;
    flush_cancel(real_channel);
    peer_remove(real_channel);
    write_next(real_channel); /* writes frames that were queued before */
    socket_close(real_channel);
}
