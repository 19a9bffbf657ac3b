#ifndef ROUTING_SRC_ORDER_H
#define ROUTING_SRC_ORDER_H

#include "forwarding.h"

/* The identity that makes an order for a zone idempotent: a request id that is made here,
 * and the stamp of the zone's newest order after this one came in. A leader takes an order
 * only while that stamp is the newest, so a late duplicate changes nothing, whichever leader it reaches. */

/* Waits. Adds the request id and the stamp to the query of ask, unless the caller gave
 * them; the query lives on the task. False: the task has its result already. Under a leader
 * of an earlier release, which shows no stamp, the order becomes one that is sent once. */
bool order_named(Forwarding *one, ForwardAsk *ask);
/* Makes the refusal of an order that another overtook the task's result: 503, certainly not
 * taken. */
void order_overtaken(HttpTask *task);

#endif
