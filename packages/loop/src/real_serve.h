#ifndef LOOP_SRC_REAL_SERVE_H
#define LOOP_SRC_REAL_SERVE_H

#include "real.h"

/* What the files of the HTTP server share: real_serve.c handles requests, real_serve_end.c a graceful shutdown, and
 * real_memory.c bounds the memory that callers make the process hold. */

/* Sizes of the kernel's buffers of a caller's connection, in bytes: the kernel holds what is not read or not taken, and
 * a buffer without a size grows to megabytes. The largest answer and the largest body pass through them in pieces. */
#define CALLER_RECEIVE_BYTES (16 * 1024)
#define CALLER_SEND_BYTES \
    (64 * 1024) /* less than two of the largest segments makes a sender wait for acknowledgements */

/* An address at which HTTP is served. */
typedef struct Endpoint {
    struct Endpoint *next;
    RealLoop *real;
    HttpFn fn;
    void *arg;
    h2o_socket_t *listener; /* null once the server has stopped listening */
    size_t requests;        /* requests in progress, at most HTTP_TASKS_MAX */
    size_t request_bytes;   /* the memory that they count for */
    size_t held_bytes;      /* what its connections hold, as last measured */
} Endpoint;

/* A caller's connection. Invariants: it is on the loop's list from its acceptance until it is closed; served is the
 * request in progress, if any. */
typedef struct CallerConnection {
    struct CallerConnection *prev, *next;
    Endpoint *endpoint;
    h2o_socket_t *sock;
    struct Served *served;
    int64_t idle_since_ms; /* time of its acceptance or of its last response */
    int64_t head_begun_ms; /* time at which an incomplete head was first seen; 0: there is none */
    bool over_limit;       /* it was accepted when the limit on connections had been reached */
    bool closing;          /* it has been ended for its caller, and no request that is read from it is handled */
    bool last_request;     /* it is closed after the response to the request in progress */
    size_t response_bytes; /* size of the last response; 0 once the kernel has accepted it */
    size_t queued_bytes;   /* what the kernel held of it when that was last read */
    size_t held_bytes;     /* its memory, as last measured */
} CallerConnection;

/* Accepts all connections that wait at the listener of an endpoint, its data. Callback of h2o. */
void real_accept(h2o_socket_t *listener, const char *err);

/* Returns the memory that a request in progress counts for. body_bytes: size of its body. */
size_t real_request_bytes(size_t body_bytes);
/* Whether a further request that counts for this memory may be handled at the address. One always may. */
bool real_request_fits(const Endpoint *endpoint, size_t bytes);
/* Returns the connection that has stood longest without a complete request, if that is longer than the time that a head
 * may take; null: none. */
CallerConnection *real_caller_stalled(const RealLoop *real);
/* Ends a connection for its caller; h2o closes it in the next turn of the loop. It must have no request in progress. */
void real_caller_close(CallerConnection *caller);

#endif
