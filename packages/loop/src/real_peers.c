/* What the other sides of accepted connections to the nodes' own port make the process hold. Anyone may open them, and
 * the number of the cluster, by which a connection counts as verified, is no secret: so both those that have not sent a
 * request of this cluster and those that have are bounded, each kind apart. Connections of one kind never close those
 * of the other. A connection is verified by its first request of this cluster (channel_set_verified). */
#include "real_channel.h"

#define UNVERIFIED_DIVISOR 8 /* 1 in this many of the memory is for what unverified connections hold */
#define VERIFIED_DIVISOR 4   /* The same for verified ones: frames of peers have megabytes */
/* Memory that the kernel may hold of an unverified connection, by which their number is bounded */
#define UNVERIFIED_QUEUE_BYTES (64 * 1024)
#define UNVERIFIED_MIN 64 /* Smallest bound on their number */
/* Bound on the number of verified connections: each member has one, and one that has been replaced may still be open */
#define VERIFIED_MAX (2 * MEMBERS_MAX)

/* The budget for what connections of a kind hold, in bytes. */
static size_t budget_bytes(const RealLoop *real, PeerKind kind)
{
    return real->memory_bytes / (kind == PEER_VERIFIED ? VERIFIED_DIVISOR : UNVERIFIED_DIVISOR);
}

/* The bound on their number. All members may connect at once after a start. */
static size_t count_max(const RealLoop *real, PeerKind kind)
{
    if (kind == PEER_VERIFIED)
        return VERIFIED_MAX;
    const size_t count = budget_bytes(real, kind) / UNVERIFIED_QUEUE_BYTES;
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

static PeerList *list_of(RealChannel *real_channel)
{
    return &real_channel->real->peers[real_channel->peer_kind];
}

void peer_remove(RealChannel *real_channel)
{
    PeerList *list = list_of(real_channel);
    if (!real_channel->listed)
        return;
    real_channel->listed = false;
    list->count--;
    list->bytes -= real_channel->listed_bytes;
    if (real_channel->peer_prev != NULL)
        real_channel->peer_prev->peer_next = real_channel->peer_next;
    else
        list->first = real_channel->peer_next;
    if (real_channel->peer_next != NULL)
        real_channel->peer_next->peer_prev = real_channel->peer_prev;
}

static void list_add(RealChannel *real_channel, PeerKind kind)
{
    real_channel->peer_kind = kind;
    PeerList *list = list_of(real_channel);
    real_channel->listed = true;
    real_channel->peer_prev = NULL;
    real_channel->peer_next = list->first;
    if (list->first != NULL)
        list->first->peer_prev = real_channel;
    list->first = real_channel;
    list->count++;
    list->bytes += real_channel->listed_bytes;
}

/* Moves a connection that has been verified since to the list of its kind. Returns whether it was moved. */
static bool kind_update(RealChannel *real_channel)
{
    if (real_channel->peer_kind == PEER_VERIFIED || !real_channel->channel.verified)
        return false;
    peer_remove(real_channel);
    list_add(real_channel, PEER_VERIFIED);
    return true;
}

/* Whether the first connection is to be ended before the other. */
static bool goes_before(const RealChannel *first, const RealChannel *other)
{
    if (first->listed_bytes != other->listed_bytes)
        return first->listed_bytes > other->listed_bytes;
    return first->accepted_ms < other->accepted_ms;
}

/* Returns the connection of the kind to be ended first: the one that holds most, and of equals the oldest; null: there
 * is none. Those that have been verified since are moved before. */
static RealChannel *peer_worst(const PeerList *list)
{
    RealChannel *worst = NULL, *next;
    for (RealChannel *at = list->first; at != NULL; at = next) {
        next = at->peer_next;
        if (!kind_update(at) && (worst == NULL || goes_before(at, worst)))
            worst = at;
    }
    return worst;
}

static bool exceeds(const RealLoop *real, PeerKind kind)
{
    const PeerList *list = &real->peers[kind];
    return list->count > count_max(real, kind) || list->bytes > budget_bytes(real, kind);
}

/* Counts again what the connections of the kind hold: frames may have been taken from their queues since. */
static void list_recount(PeerList *list)
{
    list->bytes = 0;
    for (RealChannel *at = list->first; at != NULL; at = at->peer_next) {
        at->listed_bytes = channel_bytes(at);
        list->bytes += at->listed_bytes;
    }
}

/* Ends connections of the kind until both its bounds are kept. */
static void peers_bound(RealLoop *real, PeerKind kind)
{
    if (exceeds(real, kind))
        list_recount(&real->peers[kind]);
    while (exceeds(real, kind)) {
        RealChannel *worst = peer_worst(&real->peers[kind]);
        if (worst == NULL || !exceeds(real, kind))
            return;
        real_channel_end(worst);
    }
}

void peer_add(RealChannel *real_channel)
{
    real_channel->accepted_ms = loop_now_ms(&real_channel->real->loop);
    list_add(real_channel, PEER_UNVERIFIED);
    peers_bound(real_channel->real, PEER_UNVERIFIED);
}

void peer_count(RealChannel *real_channel)
{
    if (!real_channel->listed)
        return;
    kind_update(real_channel);
    PeerList *list = list_of(real_channel);
    list->bytes -= real_channel->listed_bytes;
    real_channel->listed_bytes = channel_bytes(real_channel);
    list->bytes += real_channel->listed_bytes;
    peers_bound(real_channel->real, real_channel->peer_kind);
}
