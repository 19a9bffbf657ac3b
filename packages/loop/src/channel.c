/* Connections: the queue of received frames, and the code that both implementations share. */
#include <talloc.h>

#include "loop/internal.h"

void channel_arrive(Channel *channel, Bytes bytes)
{
    if (channel->closed)
        return;
    Frame *frame = talloc_zero(channel, Frame);
    frame->bytes = bytes_copy(frame, bytes);
    if (channel->last != NULL)
        channel->last->next = frame;
    else
        channel->first = frame;
    channel->last = frame;
    channel->frame_count++;
    channel->frame_bytes += bytes.count;
    signal_raise(channel->loop, &channel->arrived);
}

void channel_end(Channel *channel)
{
    channel->closed = true;
    signal_raise(channel->loop, &channel->arrived);
}

Status channel_receive(Channel *channel, void *mem, int64_t until_ms, Bytes *out)
{
    for (;;) {
        Frame *frame = channel->first;
        if (frame != NULL) {
            channel->first = frame->next;
            if (channel->first == NULL)
                channel->last = NULL;
            channel->frame_count--;
            channel->frame_bytes -= frame->bytes.count;
            *out = frame->bytes;
            talloc_steal(mem, frame->bytes.data);
            talloc_free(frame);
            return STATUS_OK;
        }
        if (channel->closed)
            return STATUS_CLOSED;
        if (!signal_wait(channel->loop, &channel->arrived, until_ms))
            return STATUS_EXPIRED;
    }
}

Status channel_send(Channel *channel, Bytes frame)
{
    return channel->closed ? STATUS_CLOSED : channel->loop->ops->send(channel, frame);
}

uint64_t channel_queued(const Channel *channel)
{
    return channel->queued_bytes;
}

bool channel_unsent(const Channel *channel, uint64_t up_to)
{
    return channel->maybe_sent_bytes < up_to;
}

uint64_t channel_unsent_bytes(const Channel *channel)
{
    return channel->closed ? 0 : channel->queued_bytes - channel->surely_sent_bytes;
}

void channel_set_verified(Channel *channel)
{
    channel->verified = true;
}

bool channel_is_verified(const Channel *channel)
{
    return channel->verified;
}

void channel_shut(Channel *channel)
{
    if (channel->closed)
        return;
    channel->loop->ops->shut(channel);
    channel_end(channel);
}

void channel_close(Channel *channel)
{
    channel_shut(channel);
    talloc_free(channel);
}

Status loop_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop->ops->listen(loop, address, fn, arg, bound, failure);
}

Status loop_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel)
{
    return loop->ops->open(loop, mem, address, wait_ms, channel);
}
