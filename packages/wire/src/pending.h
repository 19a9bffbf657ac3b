#ifndef WIRE_SRC_PENDING_H
#define WIRE_SRC_PENDING_H

/* The requests that await an answer, and the connection to one peer address that they were sent
 * over. */

#include "base/bytes.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/rpc.h"

/* A request sent and not yet answered. Owned by the task that waits for it.
 * Invariant: it is on its connection's list until done, or until its task gives it up. */
typedef struct PendingRequest {
    struct PendingRequest *next;
    uint64_t call; /* request id */
    MessageKind kind;
    PeerIdentity meant;  /* the process it is for; id 0: whoever listens there */
    uint64_t sent_up_to; /* bytes put into the channel with it (channel_unsent) */
    int64_t sent_ms;
    bool done;
    Status status; /* once done: the peer's own, or why there is no answer */
    void *mem;     /* talloc parent of payload */
    Bytes payload; /* of the answer; empty when it was not taken */
    Signal answered;
} PendingRequest;

/* The connection to one peer address. It is kept as long as the RPC endpoint, connected or not.
 * Invariants: while channel is non-null one reading task serves it; misses is the number of
 * requests that timed out since anything was last received. */
typedef struct Connection {
    Rpc *rpc;
    const char *address;
    Channel *channel; /* null: not connected */
    bool opening;     /* a task is connecting; opened is raised when it has ended */
    Signal opened;
    PendingRequest *pending; /* the newest first */
    unsigned misses;
} Connection;

/* Takes the request with this id off the list; null when it is not there. */
PendingRequest *pending_take(Connection *connection, uint64_t call);
/* Ends a request and wakes its task. */
void pending_end(Connection *connection, PendingRequest *request, Status status);

#endif
