#ifndef ROUTING_SRC_ORDER_H
#define ROUTING_SRC_ORDER_H

#include "forwarding.h"

/* What makes an order for a zone safe to forward again: a name that is made here, and
 * the stamp of the zone's newest order after this one came in. An order is taken only
 * while that stamp is the newest, so a late copy of it changes nothing, whichever leader
 * it comes to. */

/* Waits. Adds both to the query, unless its caller has. False: the result was given. */
bool order_named(Forwarding *one, ForwardAsk *ask);
/* The result of one that was overtaken: certainly not taken. */
void order_overtaken(HttpTask *task);

#endif
