#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include "base/recorder.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/shape.h"

/* Asks peers and answers them: one line (connection and reading task) for
 * each peer asked, one task for each connection and each question served. */
typedef struct Rpc Rpc;

/* Frames that were not taken; none of them ever crashes the RPC endpoint. */
#define RPC_REFUSED_LIST(X)                                                                          \
    X(bad_frames, "badFrames")         /* they do not parse, or nobody here knows what they ask */   \
    X(strangers, "strangers")          /* of another cluster */                                      \
    X(other_versions, "otherVersions") /* of another version of the wire */                          \
    X(other_peers, "otherPeers")       /* questions meant for another process, answers of another */ \
    X(other_lives, "otherLives")       /* questions meant for an earlier life of this process */     \
    X(other_kinds, "otherKinds")       /* answers that are none to the question with their number */ \
    X(late_answers, "lateAnswers")     /* to questions that had been given up */

#define RPC_COUNT_LIST(X)          \
    X(asked, "asked")              \
    X(answered, "answered")        \
    X(served, "served")            \
    X(expired, "expired")          \
    X(lines_opened, "linesOpened") \
    RPC_REFUSED_LIST(X)

typedef struct RpcCounts {
#define X(name, outside) uint64_t name;
    RPC_COUNT_LIST(X)
#undef X
} RpcCounts;

/* A process as peers know it: its member's id, as a sum, and since which of its
 * incarnations it lives. id 0: whoever stands at the address. */
typedef struct PeerLife {
    uint64_t id;
    uint64_t life;
} PeerLife;

PeerLife peer_life(const char *id, uint64_t life);

/* Fills in the answer; the status goes with it. Runs in a task of its own;
 * ask, answer and all they hold live on mem. */
typedef Status (*RpcFn)(void *arg, void *mem, const void *ask, void *answer);

Rpc *rpc_new(void *mem, Loop *loop, Recorder *recorder);
/* The cluster whose frames are taken; 0 while none is known. */
void rpc_set_cluster(Rpc *rpc, uint64_t cluster);
uint64_t rpc_cluster(const Rpc *rpc);
/* Who this process says that it is: questions meant for another, or for an earlier life
 * of it, are refused. */
void rpc_set_self(Rpc *rpc, PeerLife self);
void rpc_handle(Rpc *rpc, MessageKind kind, const Shape *ask, const Shape *answer, RpcFn fn, void *arg);
Status rpc_listen(Rpc *rpc, const char *address, char bound[ADDRESS_MAX], Failure *failure);

/* Waits for the answer. Certainly not carried out: UNREACHABLE, TOO_LARGE, STRANGER,
 * OTHER_PEER, OTHER_LIFE, OTHER_VERSION, UNKNOWN_QUESTION. EXPIRED, CLOSED and BAD_FRAME:
 * it may have been. Any other status is the peer's own. */
Status rpc_ask(Rpc *rpc, void *mem, const char *address, MessageKind kind, const Shape *ask_shape, const void *ask,
               int64_t wait_ms, const Shape *answer_shape, void *answer);
/* What an asker sees of a question while it waits, and says of it: whether it may have left
 * this process, and that it is not to be sent any more. */
typedef struct RpcSending {
    bool sent;
    bool cancelled;
} RpcSending;

/* Who is asked. sending: null where nobody looks. */
typedef struct RpcTarget {
    const char *address;
    PeerLife meant;
    RpcSending *sending;
} RpcTarget;

/* The same of one process: another that stands at the address does not carry it out, and
 * an answer that is not that process's own is not taken. */
Status rpc_ask_peer(Rpc *rpc, void *mem, const RpcTarget *target, MessageKind kind, const Shape *ask_shape,
                    const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer);
/* A new process is known to stand at the address: a line on which questions have
 * waited for long leads to the last one, and is opened anew. */
void rpc_renew(Rpc *rpc, const char *address);
const RpcCounts *rpc_counts(const Rpc *rpc);

#endif
