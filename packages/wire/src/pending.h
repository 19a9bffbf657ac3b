#ifndef WIRE_SRC_PENDING_H
#define WIRE_SRC_PENDING_H

/* Pending requests, and the connection to one peer address over which they were sent. */

#include "base/bytes.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/rpc.h"

/* A request that was sent and has no answer yet. Owned by the task that waits for the answer.
 * Invariant: it is on its connection's list until it is done or has expired. */
typedef struct PendingRequest {
    struct PendingRequest *next;
    uint64_t call; /* request id */
    MessageKind kind;
    PeerIdentity meant;  /* the process for which it is meant; id 0: any that listens at the address */
    uint64_t sent_up_to; /* offset of the request's end in the channel (channel_unsent) */
    int64_t sent_ms;
    bool done;
    Status status; /* once done: the peer's own status, or the reason why there is no answer */
    void *mem;     /* talloc parent of payload */
    Bytes payload; /* payload of the answer; empty when the answer was not accepted */
    Signal answered;
} PendingRequest;

/* The connection to one peer address. It exists as long as the RPC endpoint, connected or not.
 * Invariants: while channel is non-null, exactly one task reads it; timed_out is the number of requests that timed out
 * since data was last received. */
typedef struct Connection {
    Rpc *rpc;
    const char *address;
    Channel *channel; /* null: not connected */
    bool opening;     /* a task is connecting, and raises opened when it has finished */
    Signal opened;
    PendingRequest *pending; /* newest first */
    unsigned timed_out;
} Connection;

/* Removes the request with this id from the list and returns it; null when there is none. */
PendingRequest *pending_remove(Connection *connection, uint64_t call);
/* Completes a request and wakes its task. */
void pending_complete(Connection *connection, PendingRequest *request, Status status);

#endif
