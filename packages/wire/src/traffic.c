/* Counts frames and bytes by kind of message, and bytes that wait in connections. */
#include "wire/traffic.h"

#include <talloc.h>

#include "base/map.h"
#include "connection.h"
#include "internal.h"
#include "served.h"

/* Whether the peer answers such a request from memory, so that the time to its answer is the round-trip time. Other
 * requests wait for a disk, for the leader, or for an event. */
static bool answered_from_memory(MessageKind kind)
{
    return kind == MESSAGE_HELLO || kind == MESSAGE_HEARTBEAT || kind == MESSAGE_KNOW;
}

void rpc_count_sent(Rpc *rpc, const Channel *channel, uint64_t kind, RpcPart part, size_t bytes)
{
    RpcTraffic *traffic = &rpc->traffic[kind < MESSAGE_MAX ? kind : 0][part];
    traffic->frames_sent++;
    traffic->bytes_sent += bytes;
    const int64_t waiting_bytes = (int64_t)channel_unsent_bytes(channel);
    if (waiting_bytes > rpc->link.waiting_most_bytes)
        rpc->link.waiting_most_bytes = waiting_bytes;
}

void rpc_count_received(Rpc *rpc, uint64_t kind, RpcPart part, size_t bytes)
{
    RpcTraffic *traffic = &rpc->traffic[kind < MESSAGE_MAX ? kind : 0][part];
    traffic->frames_received++;
    traffic->bytes_received += bytes;
}

void rpc_count_answer_time(Rpc *rpc, MessageKind kind, int64_t duration_ms)
{
    if (!answered_from_memory(kind))
        return;
    rpc->link.answer_ms = duration_ms;
    if (duration_ms > rpc->link.answer_most_ms)
        rpc->link.answer_most_ms = duration_ms;
}

const RpcTraffic *rpc_traffic(const Rpc *rpc, MessageKind kind, RpcPart part)
{
    return &rpc->traffic[kind][part];
}

RpcLinkStats rpc_link_stats(const Rpc *rpc)
{
    RpcLinkStats link = rpc->link;
    for (const Served *served = rpc->served; served != NULL; served = served->next)
        link.waiting_bytes += (int64_t)channel_unsent_bytes(served->channel);
    const char **addresses;
    const size_t count = map_keys(rpc->connections, NULL, &addresses);
    for (size_t i = 0; i < count; i++) {
        const Connection *connection = map_get(rpc->connections, addresses[i]);
        if (connection->channel != NULL)
            link.waiting_bytes += (int64_t)channel_unsent_bytes(connection->channel);
    }
    talloc_free(addresses);
    return link;
}
