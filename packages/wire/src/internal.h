#ifndef WIRE_SRC_INTERNAL_H
#define WIRE_SRC_INTERNAL_H

/* The state of an RPC endpoint, shared by serve.c (incoming requests) and ask.c (outgoing requests). */

#include "base/map.h"
#include "base/log_event.h"
#include "envelope.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/rpc.h"
#include "wire/shape.h"

/* The handler of requests of one kind; fn is null when there is none in this process. */
typedef struct Handler {
    const Shape *ask, *answer;
    RpcHandlerFn fn;
    void *arg;
} Handler;

/* Invariants: last_call never decreases; first_incarnation is the first incarnation that self had. */
struct Rpc {
    Loop *loop;
    Recorder *recorder;
    uint64_t cluster;           /* 0: none is known yet */
    PeerIdentity self;          /* identity of this process; id 0: not set yet */
    uint64_t first_incarnation; /* requests to this incarnation are accepted even after it has risen */
    uint64_t refused;           /* frames for which rpc_note_refused was called */
    uint64_t last_call;         /* last request id; ids are unique in the process's lifetime, over all connections */
    Map *connections;           /* outgoing connections: address to Connection */
    Handler handlers[MESSAGE_MAX];
    struct Served *served; /* incoming connections */
    RpcCounts counts;
    RpcTraffic traffic[MESSAGE_MAX][RPC_PARTS];
    RpcLinkStats link;
};

/* Counts a frame of this size that was queued on the channel. */
void rpc_count_sent(Rpc *rpc, const Channel *channel, uint64_t kind, RpcPart part, size_t bytes);
/* Counts a received frame of this size, whose kind may be any number. */
void rpc_count_received(Rpc *rpc, uint64_t kind, RpcPart part, size_t bytes);
/* Records the time from a request to its answer. */
void rpc_count_answer_time(Rpc *rpc, MessageKind kind, int64_t duration_ms);

/* Whether requests of this kind are accepted from, and sent to, processes that know no cluster. */
bool rpc_open_kind(uint64_t kind);
/* Whether two clusters are the same as far as they are known; 0 matches any cluster. */
bool rpc_same_cluster(uint64_t a, uint64_t b);
/* Logs that a frame was refused; logs only the first, second, fourth and so on. what: names the frame in the log line,
 * like "an answer". */
void rpc_note_refused(Rpc *rpc, Status status, const char *what, const Envelope *envelope);

#endif
