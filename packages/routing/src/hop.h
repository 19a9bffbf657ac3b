#ifndef ROUTING_SRC_HOP_H
#define ROUTING_SRC_HOP_H

#include "routing/leader_route.h"
#include "routing/messages.h"

/* Sends a forwarded request to a next hop. Used by attempts, by the relay and by the search for a route. */

/* Suspends the coroutine, for wait_ms at most, until the answer of the hop's process arrives; it is allocated on mem.
 * sending may be null; otherwise it shows whether the request was sent, and lets the sender cancel it. Returns the
 * transport's status or the refusal of the process; on a refusal the answer names the leader known to that process. */
Status hop_request(Rpc *rpc, void *mem, const LeaderHop *hop, RpcSendState *sending, const ForwardAsk *ask,
                   int64_t wait_ms, ForwardAnswer *answer);

#endif
