/* Accepted connections of the nodes' own port whose other side has not sent a request of this cluster: anyone may open
 * them. Their number and what they hold together are bounded, so that the verified ones, and the process, are safe from
 * them. A connection is verified by its first request of this cluster (channel_set_verified). */
#include "real_channel.h"

#define UNVERIFIED_DIVISOR 8 /* 1 in this many of the memory is for what these connections hold */
/* Memory that the kernel may hold of one such connection, by which their number is bounded */
#define UNVERIFIED_QUEUE_BYTES (64 * 1024)
#define UNVERIFIED_MIN 64 /* Smallest bound on their number */

/* The budget for what unverified connections hold, in bytes. */
static size_t budget_bytes(const RealLoop *real)
{
    return real->memory_bytes / UNVERIFIED_DIVISOR;
}

/* The bound on their number. All members may connect at once after a start. */
static size_t count_max(const RealLoop *real)
{
    const size_t count = budget_bytes(real) / UNVERIFIED_QUEUE_BYTES;
    if (count > MEMBERS_MAX)
        return MEMBERS_MAX;
    return count < UNVERIFIED_MIN ? UNVERIFIED_MIN : count;
}

/* What a connection holds: the frames that have come, also in part, and the answers that are not sent. */
static size_t channel_bytes(const RealChannel *real_channel)
{
    const h2o_buffer_t *input = real_channel->sock->input;
    const size_t input_bytes = input->bytes != NULL ? input->capacity : 0;
    return input_bytes + real_channel->channel.frame_bytes + real_channel->next.capacity + real_channel->out.capacity;
}

void unverified_remove(RealChannel *real_channel)
{
    RealLoop *real = real_channel->real;
    if (!real_channel->listed)
        return;
    real_channel->listed = false;
    real->unverified_count--;
    real->unverified_bytes -= real_channel->listed_bytes;
    if (real_channel->unverified_prev != NULL)
        real_channel->unverified_prev->unverified_next = real_channel->unverified_next;
    else
        real->unverified_first = real_channel->unverified_next;
    if (real_channel->unverified_next != NULL)
        real_channel->unverified_next->unverified_prev = real_channel->unverified_prev;
}

/* Whether the first connection is to be ended before the other. */
static bool goes_before(const RealChannel *first, const RealChannel *other)
{
    if (first->listed_bytes != other->listed_bytes)
        return first->listed_bytes > other->listed_bytes;
    return first->accepted_ms < other->accepted_ms;
}

/* Takes the connections from the list that have been verified since. Returns the one to be ended first: of the others,
 * that which holds most, and of equals the oldest; null: there is none. */
static RealChannel *unverified_worst(RealLoop *real)
{
    RealChannel *worst = NULL, *next;
    for (RealChannel *at = real->unverified_first; at != NULL; at = next) {
        next = at->unverified_next;
        if (at->channel.verified)
            unverified_remove(at);
        else if (worst == NULL || goes_before(at, worst))
            worst = at;
    }
    return worst;
}

/* Ends connections until both bounds are kept. */
static void unverified_bound(RealLoop *real)
{
    while (real->unverified_count > count_max(real) || real->unverified_bytes > budget_bytes(real)) {
        RealChannel *worst = unverified_worst(real);
        if (real->unverified_count <= count_max(real) && real->unverified_bytes <= budget_bytes(real))
            return;
        real_channel_end(worst);
    }
}

void unverified_add(RealChannel *real_channel)
{
    RealLoop *real = real_channel->real;
    real_channel->listed = true;
    real_channel->accepted_ms = loop_now_ms(&real->loop);
    real_channel->unverified_next = real->unverified_first;
    if (real->unverified_first != NULL)
        real->unverified_first->unverified_prev = real_channel;
    real->unverified_first = real_channel;
    real->unverified_count++;
    unverified_bound(real);
}

void unverified_count(RealChannel *real_channel)
{
    RealLoop *real = real_channel->real;
    if (!real_channel->listed)
        return;
    if (real_channel->channel.verified) {
        unverified_remove(real_channel);
        return;
    }
    real->unverified_bytes -= real_channel->listed_bytes;
    real_channel->listed_bytes = channel_bytes(real_channel);
    real->unverified_bytes += real_channel->listed_bytes;
    unverified_bound(real);
}
