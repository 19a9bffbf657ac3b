#ifndef ROUTING_SRC_HOP_H
#define ROUTING_SRC_HOP_H

#include "routing/leader_route.h"
#include "routing/messages.h"

/* Sending a forwarded request to the next hop. Used by the attempts, by the relay and by the search for a route. */

/* Waits. Sends a request to the process that was chosen and waits at most wait_ms for its
 * answer, which lives on mem. sending may be null; else it tells whether the request has
 * left, and lets the asker cancel it. Returns the transport's status, or the refusal of
 * the process that was asked; on a refusal the answer names the leader that it knows of. */
Status hop_ask(Rpc *rpc, void *mem, const LeaderHop *taken, RpcSending *sending, const ForwardAsk *ask, int64_t wait_ms,
               ForwardAnswer *answer);

#endif
