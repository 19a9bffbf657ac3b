#ifndef WIRE_SRC_SERVED_H
#define WIRE_SRC_SERVED_H

#include "loop/loop.h"
#include "wire/rpc.h"

/* An incoming connection. users counts the task that reads it and the task of each request; the last of them to end
 * closes and frees it. released is raised when one of them ends. Invariant: it is on the RPC endpoint's list until
 * then. */
typedef struct Served {
    struct Served *previous, *next;
    Rpc *rpc;
    Channel *channel;
    size_t users;
    Signal released;
} Served;

#endif
