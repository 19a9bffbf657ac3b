#ifndef WIRE_SRC_INSIDE_H
#define WIRE_SRC_INSIDE_H

/* Shared by the two halves of the RPC endpoint: the one that serves and the one that asks. */
#include "base/map.h"
#include "envelope.h"
#include "wire/rpc.h"

typedef struct Handler {
    const Shape *ask, *answer;
    RpcFn fn;
    void *arg;
} Handler;

struct Rpc {
    Loop *loop;
    Recorder *recorder;
    uint64_t cluster;
    PeerLife self;      /* what this process says that it is */
    uint64_t born_life; /* ... and said first */
    uint64_t refused;   /* frames that were another's */
    uint64_t last_call; /* never used again in this process's life, on whatever line */
    Map *lines;
    Handler handlers[MESSAGE_MAX];
    RpcCounts counts;
};

/* Whether a question of this kind may be asked and answered before a cluster is known. */
bool rpc_open_kind(uint64_t kind);
/* Whether two clusters, as far as they are known, are one. */
bool rpc_same_cluster(uint64_t a, uint64_t b);

/* Tells the log of a frame that is not taken. */
void rpc_note_refused(Rpc *rpc, Status status, const char *what, const Envelope *envelope);

#endif
