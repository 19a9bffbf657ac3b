#ifndef WIRE_RPC_H
#define WIRE_RPC_H

/* The RPC endpoint carries requests and answers between processes of a cluster, as frames over one connection for each
 * peer address. A connection is opened when it is needed, is kept open, and is reopened when the peer does not respond.
 * Any number of requests may be pending on a connection; each incoming request is handled in a task of its own. Every
 * node has one RPC endpoint.
 *
 * Invariants: a request is executed only by the process for which it is meant, in its current incarnation; an answer is
 * accepted only if kind, wire version, cluster, process and incarnation match the request; request ids are unique in a
 * process's lifetime; no frame, whatever its content, ends the process. docs/control-answers.md has the reasons. */

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

/* Counts of refused frames. X(field, name in metrics and status). */
#define RPC_REFUSED_LIST(X)                                                                                 \
    X(bad_frames, "badFrames")          /* frames that do not parse, and requests without a handler here */ \
    X(strangers, "strangers")           /* frames of another cluster */                                     \
    X(other_versions, "otherVersions")  /* frames of another wire version */                                \
    X(other_peers, "otherPeers")        /* requests meant for, and answers of, another process */           \
    X(other_incarnations, "otherLives") /* requests meant for another incarnation of this process */        \
    X(other_kinds, "otherKinds")        /* answers of another kind than the request with their id */        \
    X(late_answers, "lateAnswers")      /* answers to requests that had expired */

/* All counts. X(field, name in metrics and status). */
#define RPC_COUNT_LIST(X)                                                            \
    X(asked, "asked")                    /* requests that rpc_call was called for */ \
    X(answered, "answered")              /* answers to these requests */             \
    X(served, "served")                  /* incoming requests that were executed */  \
    X(expired, "expired")                /* requests that timed out */               \
    X(connections_opened, "linesOpened") /* connections opened */                    \
    RPC_REFUSED_LIST(X)

/* Counts since the process started. */
typedef struct RpcCounts {
#define X(name, outside) uint64_t name;
    RPC_COUNT_LIST(X)
#undef X
} RpcCounts;

/* Identifies a process: a member and its incarnation. */
typedef struct PeerIdentity {
    uint64_t id;          /* checksum of the member's id; 0: any process that listens at the address */
    uint64_t incarnation; /* grows with each start of the process */
} PeerIdentity;

/* Returns the identity of the member with this id, in this incarnation. */
PeerIdentity peer_identity(const char *id, uint64_t incarnation);

/* Handles a request, whose message is ask: fills in the zeroed answer and returns the status that is sent with it, even
 * if it is not OK. Runs in a task of its own and may wait. ask, answer and everything they point to are on mem, which
 * is freed once the answer has been sent. */
typedef Status (*RpcHandlerFn)(void *arg, void *mem, const void *ask, void *answer);

/* Creates an endpoint on mem. recorder: receives log lines on refused frames. */
Rpc *rpc_new(void *mem, Loop *loop, Recorder *recorder);
/* Sets the cluster whose frames are accepted; 0: none is known yet. */
void rpc_set_cluster(Rpc *rpc, uint64_t cluster);
uint64_t rpc_cluster(const Rpc *rpc);
/* Sets the identity that this process sends with its answers. Its incarnation may rise while the process runs. */
void rpc_set_self(Rpc *rpc, PeerIdentity self);
/* Registers fn, called with arg, as the handler of requests of this kind. ask and answer: shapes of the messages. */
void rpc_handle(Rpc *rpc, MessageKind kind, const Shape *ask, const Shape *answer, RpcHandlerFn fn, void *arg);
/* Accepts requests at the address. bound receives the address in use, as port 0 selects a free port. Returns OK, or
 * BAD_SETTINGS with the text in failure. */
Status rpc_listen(Rpc *rpc, const char *address, char bound[ADDRESS_MAX], Failure *failure);

/* Suspends the coroutine, for wait_ms at most. Sends a request to any process that listens at the address, and fills in
 * the answer, with everything it points to on mem.
 * The request was certainly not executed: UNREACHABLE, TOO_LARGE, FOREIGN_CLUSTER, OTHER_PEER, OTHER_INCARNATION,
 * OTHER_VERSION, UNKNOWN_REQUEST. It may have been executed: EXPIRED (no answer in time), CLOSED, BAD_FRAME. Any other
 * status is the peer's own. */
Status rpc_call(Rpc *rpc, void *mem, const char *address, MessageKind kind, const Shape *ask_shape, const void *ask,
                int64_t wait_ms, const Shape *answer_shape, void *answer);

/* Lets other tasks see whether a request was sent, and cancel it before that. */
typedef struct RpcSendState {
    bool sent;      /* the request may have left this process */
    bool cancelled; /* set by another task: the request must not be sent unless it already was */
} RpcSendState;

/* The receiver of a request. */
typedef struct RpcTarget {
    const char *address;
    PeerIdentity target_peer; /* the process for which the request is meant; id 0: any that listens at the address */
    RpcSendState *send_state; /* null: not needed */
} RpcTarget;

/* Suspends the coroutine. As rpc_call, for one process: another process that listens at the address does not execute
 * the request, and only the target's own answer is accepted. Returns UNREACHABLE also if the request was cancelled. */
Status rpc_call_peer(Rpc *rpc, void *mem, const RpcTarget *target, MessageKind kind, const Shape *ask_shape,
                     const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer);
/* Notifies the endpoint that a new process listens at the address. A connection on which a request has waited for
 * CONNECTION_STALE_MS leads to the previous process, and is closed. */
void rpc_peer_restarted(Rpc *rpc, const char *address);
/* Returns the counts, which are valid as long as the endpoint. */
const RpcCounts *rpc_counts(const Rpc *rpc);
/* Returns the traffic of a kind since the process started, which is valid as long as the endpoint. */
const RpcTraffic *rpc_traffic(const Rpc *rpc, MessageKind kind, RpcPart part);
/* Returns the current state of the connections. */
RpcLinkStats rpc_link_stats(const Rpc *rpc);

#endif
