#ifndef ROUTING_CALLER_KEY_H
#define ROUTING_CALLER_KEY_H

#include "loop/loop.h"

/* Stores the digest of the key in the request's `Authorization: Bearer KEY` header in task->key_digest. Does nothing if
 * the header is missing or has another scheme. The key itself is not stored. Called by every process that serves the
 * HTTP API. */
void caller_key_read(HttpExchange *task);

#endif
