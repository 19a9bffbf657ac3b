#include <string.h>
#include <talloc.h>

#include "loop/inside.h"

void channelArrive(Channel *channel, Bytes bytes)
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
    channel->frameCount++;
    signalRaise(channel->loop, &channel->arrived);
}

void channelEnd(Channel *channel)
{
    channel->closed = true;
    signalRaise(channel->loop, &channel->arrived);
}

Status channelReceive(Channel *channel, void *mem, int64_t untilMs, Bytes *out)
{
    for (;;) {
        Frame *frame = channel->first;
        if (frame != NULL) {
            channel->first = frame->next;
            if (channel->first == NULL)
                channel->last = NULL;
            channel->frameCount--;
            *out = frame->bytes;
            talloc_steal(mem, frame->bytes.data);
            talloc_free(frame);
            return STATUS_OK;
        }
        if (channel->closed)
            return STATUS_CLOSED;
        if (!signalWait(channel->loop, &channel->arrived, untilMs))
            return STATUS_EXPIRED;
    }
}

Status channelSend(Channel *channel, Bytes frame)
{
    return channel->closed ? STATUS_CLOSED : channel->loop->ops->send(channel, frame);
}

uint64_t channelQueued(const Channel *channel)
{
    return channel->queued;
}

bool channelUnsent(const Channel *channel, uint64_t upTo)
{
    return channel->handed < upTo;
}

void channelShut(Channel *channel)
{
    if (channel->closed)
        return;
    channel->loop->ops->shut(channel);
    channelEnd(channel);
}

void channelClose(Channel *channel)
{
    channelShut(channel);
    talloc_free(channel);
}

Status loopListen(Loop *loop, const char *address, ChannelFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop->ops->listen(loop, address, fn, arg, bound, failure);
}

Status loopOpen(Loop *loop, void *mem, const char *address, int64_t waitMs, Channel **channel)
{
    return loop->ops->open(loop, mem, address, waitMs, channel);
}

Status fileOpen(Loop *loop, void *mem, const char *path, File **file, Failure *failure)
{
    return loop->ops->fileOpen(loop, mem, path, file, failure);
}

Status fileRead(File *file, void *mem, Bytes *content)
{
    return file->loop->ops->fileRead(file, mem, content);
}

Status fileAppend(File *file, Bytes bytes)
{
    return file->loop->ops->fileAppend(file, bytes);
}

Status fileReplace(File *file, Bytes bytes)
{
    return file->loop->ops->fileReplace(file, bytes);
}
