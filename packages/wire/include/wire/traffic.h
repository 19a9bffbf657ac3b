#ifndef WIRE_TRAFFIC_H
#define WIRE_TRAFFIC_H

/* What goes over the connections of a process: frames and bytes by kind of message, and whether they wait. Used for
 * metrics and status, and by tests that hold budgets. A frame counts without its length and without what TCP adds. */

#include <stdint.h>

/* Columns: field, its name in metrics (followed by kind and part) and status. */
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

/* Which frames of a kind. */
#define RPC_PART_LIST(X)    \
    X(REQUESTS, "requests") \
    X(ANSWERS, "answers")

typedef enum RpcPart {
#define X(name, outside) RPC_##name,
    RPC_PART_LIST(X)
#undef X
        RPC_PARTS
} RpcPart;

/* Answers are those that the peer gives from memory (hello, heartbeat, know). Bytes wait while the
 * operating system does not take them. */
#define RPC_LINK_LIST(X)                                                                       \
    X(waiting_bytes, "waitingBytes")          /* waiting now, in all connections together */   \
    X(waiting_most_bytes, "waitingMostBytes") /* the most that has waited in one connection */ \
    X(answer_ms, "answerMs")                  /* until the last such answer came */            \
    X(answer_most_ms, "answerMostMs")         /* the longest */

/* Of all connections of a process, since it started. */
typedef struct RpcLink {
#define X(name, outside) int64_t name;
    RPC_LINK_LIST(X)
#undef X
} RpcLink;

#endif
