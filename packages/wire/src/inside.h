#ifndef WIRE_SRC_INSIDE_H
#define WIRE_SRC_INSIDE_H

/* The state of an RPC endpoint, shared by its two halves: serve.c answers requests, ask.c sends them. */

#include "base/map.h"
#include "base/log_event.h"
#include "envelope.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/rpc.h"
#include "wire/shape.h"

/* The handler of requests of one kind; fn null: there is none here. */
typedef struct Handler {
    const Shape *ask, *answer;
    RpcFn fn;
    void *arg;
} Handler;

/* Invariants: last_call never falls; first_incarnation is the first incarnation that self had. */
struct Rpc {
    Loop *loop;
    Recorder *recorder;
    uint64_t cluster;           /* 0: none is known yet */
    PeerIdentity self;          /* what this process says that it is; id 0: nothing yet */
    uint64_t first_incarnation; /* requests to the first incarnation are taken, too, after it has risen */
    uint64_t refused;           /* frames not taken that rpc_note_refused was called for */
    uint64_t last_call;         /* request id; used once in this process's lifetime, over all its connections */
    Map *connections;           /* address to Connection */
    Handler handlers[MESSAGE_MAX];
    struct Served *served; /* connections that others have opened */
    RpcCounts counts;
    RpcTraffic traffic[MESSAGE_MAX][RPC_PARTS];
    RpcLink link;
};

/* Counts a frame of these bytes that was given to the channel; the kind of one that came may be any number. */
void rpc_count_sent(Rpc *rpc, const Channel *channel, uint64_t kind, RpcPart part, size_t bytes);
void rpc_count_received(Rpc *rpc, uint64_t kind, RpcPart part, size_t bytes);
/* A request has been answered after this time. */
void rpc_count_answer_time(Rpc *rpc, MessageKind kind, int64_t took_ms);

/* Whether requests of this kind are taken from and sent to processes of no cluster. */
bool rpc_open_kind(uint64_t kind);
/* Whether two clusters are the same as far as they are known; 0 is any. */
bool rpc_same_cluster(uint64_t a, uint64_t b);
/* Logs that a frame is not taken; of many only the first, second, fourth and so on. what: the frame in the log line,
 * like "an answer". */
void rpc_note_refused(Rpc *rpc, Status status, const char *what, const Envelope *envelope);

#endif
