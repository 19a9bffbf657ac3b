#ifndef ROUTING_SRC_ORDER_H
#define ROUTING_SRC_ORDER_H

#include "forwarding.h"

/* The identity that makes a drain order for a zone idempotent: a request id generated here, and the stamp of the zone's
 * newest order, read after this order arrived. A leader accepts an order only while that stamp is the newest, so a late
 * duplicate changes nothing, whichever leader it reaches. */

/* Suspends the coroutine. Adds the request id and the stamp to the query of ask, unless the caller supplied them; the
 * query is allocated on the task. Returns false if the task already has its result. A leader of an earlier release
 * shows no stamp; the order is then sent only once. */
bool order_add_identity(Forwarding *forwarding, ForwardAsk *ask);
/* Sets the task's result for an order that another order superseded: 503, certainly not accepted. */
void order_refuse_superseded(HttpExchange *task);

#endif
