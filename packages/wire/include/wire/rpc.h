#ifndef WIRE_RPC_H
#define WIRE_RPC_H

/* The RPC endpoint carries requests and answers between processes of a cluster, as frames over one connection
 * for each peer address, which is opened when it is needed, kept, and opened anew when it stays silent. Any
 * number of requests may be on a connection at a time; each request that comes in is answered by a
 * task of its own. Every node has one RPC endpoint.
 *
 * Invariants: a request is carried out only by the process it is meant for, in its present
 * incarnation; an answer is taken only where kind, wire version, cluster, process and incarnation
 * agree with the request; request ids are used once in a process's lifetime; no frame, whatever is in
 * it, ends the process. docs/control-answers.md has the reasons. */

#include <stdbool.h>
#include <stdint.h>

#include "base/failure.h"
#include "base/recorder.h"
#include "base/status.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/traffic.h"
#include "wire/shape.h"

typedef struct Rpc Rpc;

/* Frames that were not taken: fields, and their names in metrics and status. */
#define RPC_REFUSED_LIST(X)                                                                                \
    X(bad_frames, "badFrames")          /* they do not parse, or are a request that nobody here answers */ \
    X(strangers, "strangers")           /* of another cluster */                                           \
    X(other_versions, "otherVersions")  /* of another version of the wire */                               \
    X(other_peers, "otherPeers")        /* requests meant for another process, answers of another */       \
    X(other_incarnations, "otherLives") /* requests meant for another incarnation of this process */       \
    X(other_kinds, "otherKinds")        /* answers of another kind than the request with their id */       \
    X(late_answers, "lateAnswers")      /* to requests that had been given up */

#define RPC_COUNT_LIST(X)                                                     \
    X(asked, "asked")                    /* requests sent, or tried to */     \
    X(answered, "answered")              /* answers to them */                \
    X(served, "served")                  /* requests that were carried out */ \
    X(expired, "expired")                /* requests that timed out */        \
    X(connections_opened, "linesOpened") /* connections opened */             \
    RPC_REFUSED_LIST(X)

/* Counts since the process started. */
typedef struct RpcCounts {
#define X(name, outside) uint64_t name;
    RPC_COUNT_LIST(X)
#undef X
} RpcCounts;

/* Identifies a process: a member, and which start of it. */
typedef struct PeerIdentity {
    uint64_t id;          /* checksum of its member's id; 0: whoever listens at the address */
    uint64_t incarnation; /* grows with each start of the process */
} PeerIdentity;

/* The identity of the member with this id, in this incarnation. */
PeerIdentity peer_identity(const char *id, uint64_t incarnation);

/* Answers one request: fills in the zeroed answer; its status is sent with it, also when it is not OK.
 * Runs in a task of its own and may wait. ask, answer and all they point to live on mem, which is
 * freed once the answer has been sent. */
typedef Status (*RpcFn)(void *arg, void *mem, const void *ask, void *answer);

/* On mem. recorder: for log lines on refused frames. */
Rpc *rpc_new(void *mem, Loop *loop, Recorder *recorder);
/* The cluster whose frames are taken; 0 while none is known. */
void rpc_set_cluster(Rpc *rpc, uint64_t cluster);
uint64_t rpc_cluster(const Rpc *rpc);
/* The identity that this process sends with its answers. Its incarnation may rise while it runs. */
void rpc_set_self(Rpc *rpc, PeerIdentity self);
/* From now on requests of this kind are answered by fn with arg. */
void rpc_handle(Rpc *rpc, MessageKind kind, const Shape *ask, const Shape *answer, RpcFn fn, void *arg);
/* Takes requests at the address; bound (out) is where it really listens, as port 0 takes any. */
Status rpc_listen(Rpc *rpc, const char *address, char bound[ADDRESS_MAX], Failure *failure);

/* Waits, at most wait_ms. Sends a request to whoever listens at the address, and fills in the answer,
 * with all it points to on mem.
 * Certainly not carried out: UNREACHABLE, TOO_LARGE, STRANGER, OTHER_PEER, OTHER_LIFE, OTHER_VERSION,
 * UNKNOWN_QUESTION. May have been carried out: EXPIRED (no answer in time), CLOSED, BAD_FRAME. Any other
 * status is the peer's own. */
Status rpc_ask(Rpc *rpc, void *mem, const char *address, MessageKind kind, const Shape *ask_shape, const void *ask,
               int64_t wait_ms, const Shape *answer_shape, void *answer);

/* For other tasks to see whether a request was sent, and to cancel it. */
typedef struct RpcSending {
    bool sent;      /* it may have left this process */
    bool cancelled; /* set by others: if it has not been sent, it is not to be any more */
} RpcSending;

/* The receiver of a request. */
typedef struct RpcTarget {
    const char *address;
    PeerIdentity meant;  /* id 0: whoever listens there */
    RpcSending *sending; /* null: not wanted */
} RpcTarget;

/* Waits. As rpc_ask, for one process: another that listens at the address does not carry the request
 * out, and only that process's own answer is taken. UNREACHABLE also where it was cancelled. */
Status rpc_ask_peer(Rpc *rpc, void *mem, const RpcTarget *target, MessageKind kind, const Shape *ask_shape,
                    const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer);
/* A new process listens at the address: a connection on which a request has waited for CONNECTION_SILENT_MS leads to
 * the process before it, and is ended. */
void rpc_renew(Rpc *rpc, const char *address);
/* Valid as long as the RPC endpoint. */
const RpcCounts *rpc_counts(const Rpc *rpc);
/* Frames of a kind since the process started; likewise. */
const RpcTraffic *rpc_traffic(const Rpc *rpc, MessageKind kind, RpcPart part);
/* The connections as they are now. */
RpcLink rpc_link(const Rpc *rpc);

#endif
