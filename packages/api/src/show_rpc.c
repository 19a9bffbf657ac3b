/* Connections to other processes, as metrics and as JSON. */
#include "api/show_rpc.h"

#include <stdio.h>
#include <stdlib.h>

#define METRIC_NAME_BYTES 64 /* Buffer size in bytes for a name made of a message kind, a part and a count */

static const char *const RPC_PART_WORDS[RPC_PARTS] = {
#define X(name, outside) [RPC_##name] = outside,
    RPC_PART_LIST(X)
#undef X
};

static uint64_t traffic_bytes(const RpcTraffic *traffic)
{
    return traffic->bytes_sent + traffic->bytes_received;
}

static void traffic_metrics(HttpExchange *task, uint64_t kind, RpcPart part, const RpcTraffic *traffic)
{
    if (traffic_bytes(traffic) == 0)
        return;
    char text[METRIC_NAME_BYTES];
#define X(name, outside)                                                                      \
    snprintf(text, sizeof(text), outside "_%s_%s", message_word(kind), RPC_PART_WORDS[part]); \
    show_metric(task, text, (int64_t)traffic->name);
    RPC_TRAFFIC_LIST(X)
#undef X
}

void show_rpc_metrics(HttpExchange *task, const Rpc *rpc)
{
    const RpcCounts *counts = rpc_counts(rpc);
#define X(name, outside) show_metric(task, outside, (int64_t)counts->name);
    RPC_COUNT_LIST(X)
#undef X
    const RpcLinkStats link = rpc_link_stats(rpc);
#define X(name, outside) show_metric(task, outside, link.name);
    RPC_LINK_LIST(X)
#undef X
    for (int kind = 0; kind < MESSAGE_MAX; kind++)
        for (int part = 0; part < RPC_PARTS; part++)
            traffic_metrics(task, (uint64_t)kind, (RpcPart)part, rpc_traffic(rpc, (MessageKind)kind, (RpcPart)part));
}

/* The traffic of a message kind, requests and answers added up. */
static RpcTraffic kind_traffic(const Rpc *rpc, int kind)
{
    RpcTraffic sum = {0};
    for (int part = 0; part < RPC_PARTS; part++) {
        const RpcTraffic *traffic = rpc_traffic(rpc, (MessageKind)kind, (RpcPart)part);
#define X(name, outside) sum.name += traffic->name;
        RPC_TRAFFIC_LIST(X)
#undef X
    }
    return sum;
}

typedef struct KindBytes {
    int kind;
    uint64_t bytes;
} KindBytes;

static int kind_order(const void *a, const void *b)
{
    const KindBytes *one = a, *other = b;
    if (one->bytes != other->bytes)
        return one->bytes > other->bytes ? -1 : 1;
    return one->kind - other->kind;
}

json_object *show_traffic(const Rpc *rpc)
{
    KindBytes kinds[MESSAGE_MAX];
    for (int kind = 0; kind < MESSAGE_MAX; kind++) {
        const RpcTraffic traffic = kind_traffic(rpc, kind);
        kinds[kind] = (KindBytes){kind, traffic_bytes(&traffic)};
    }
    qsort(kinds, MESSAGE_MAX, sizeof(*kinds), kind_order);
    json_object *list = json_object_new_array();
    for (int i = 0; i < MESSAGE_MAX && kinds[i].bytes > 0; i++) {
        json_object *row = json_object_new_object();
        json_object_object_add(row, "kind", json_object_new_string(message_word((uint64_t)kinds[i].kind)));
        const RpcTraffic traffic = kind_traffic(rpc, kinds[i].kind);
#define X(name, outside) json_object_object_add(row, outside, json_object_new_int64((int64_t)traffic.name));
        RPC_TRAFFIC_LIST(X)
#undef X
        json_object_array_add(list, row);
    }
    return list;
}

json_object *show_link(const Rpc *rpc)
{
    const RpcLinkStats link = rpc_link_stats(rpc);
    json_object *body = json_object_new_object();
#define X(name, outside) json_object_object_add(body, outside, json_object_new_int64(link.name));
    RPC_LINK_LIST(X)
#undef X
    return body;
}
