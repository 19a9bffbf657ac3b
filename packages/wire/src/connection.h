#ifndef WIRE_SRC_CONNECTION_H
#define WIRE_SRC_CONNECTION_H

#include "pending.h"
#include "wire/rpc.h"

/* Suspends the coroutine, until until_ms at the latest. Returns the connection to the address, ready to send, or null
 * when the peer cannot be reached. A connection attempt takes at most CONNECT_TIMEOUT_MS. */
Connection *connection_ready(Rpc *rpc, const char *address, int64_t until_ms);

#endif
