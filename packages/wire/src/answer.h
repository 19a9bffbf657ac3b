#ifndef WIRE_SRC_ANSWER_H
#define WIRE_SRC_ANSWER_H

#include "base/bytes.h"
#include "pending.h"

/* Unpacks a received frame on mem as the answer to one of the connection's requests, and completes that request. The
 * answer to a request that has expired is dropped. Returns false when the connection must be closed, because its data
 * cannot be trusted. */
bool answer_take(Connection *connection, Bytes frame, void *mem);

#endif
