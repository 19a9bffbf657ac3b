#ifndef WIRE_TRAFFIC_H
#define WIRE_TRAFFIC_H

/* Statistics of a process's connections: frames and bytes by kind of message, and bytes that wait to be sent. Used for
 * metrics and status, and by tests that check traffic budgets. Byte counts exclude length prefixes and TCP overhead. */

#include <stdint.h>

/* X(field, name in metrics, where kind and part follow it, and in status). */
#define RPC_TRAFFIC_LIST(X)              \
    X(frames_sent, "framesSent")         \
    X(bytes_sent, "bytesSent")           \
    X(frames_received, "framesReceived") \
    X(bytes_received, "bytesReceived")

typedef struct RpcTraffic {
#define X(name, outside) uint64_t name;
    RPC_TRAFFIC_LIST(X)
#undef X
} RpcTraffic;

/* The frames of a kind are requests or answers. X(name, name in metrics and status). */
#define RPC_PART_LIST(X)    \
    X(REQUESTS, "requests") \
    X(ANSWERS, "answers")

typedef enum RpcPart {
#define X(name, outside) RPC_##name,
    RPC_PART_LIST(X)
#undef X
        RPC_PARTS
} RpcPart;

/* Bytes wait while the operating system does not accept them. Answer times are those of requests that the peer answers
 * from memory (hello, heartbeat, know). X(field, name in metrics and status). */
#define RPC_LINK_LIST(X)                                                                          \
    X(waiting_bytes, "waitingBytes")          /* bytes waiting now, in all connections */         \
    X(waiting_most_bytes, "waitingMostBytes") /* most bytes that waited in one connection */      \
    X(answer_ms, "answerMs")                  /* time from the last such request to its answer */ \
    X(answer_most_ms, "answerMostMs")         /* longest such time */

/* Delays on all connections of a process since it started. */
typedef struct RpcLinkStats {
#define X(name, outside) int64_t name;
    RPC_LINK_LIST(X)
#undef X
} RpcLinkStats;

#endif
