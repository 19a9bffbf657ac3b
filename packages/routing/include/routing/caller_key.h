#ifndef ROUTING_CALLER_KEY_H
#define ROUTING_CALLER_KEY_H

#include "loop/loop.h"

/* Takes the key of a caller of the product's own API, `Authorization: Bearer KEY`, as the task's key_digest. Used by
 * whatever serves that API. The key itself is not kept. */
void caller_key_take(HttpTask *task);

#endif
