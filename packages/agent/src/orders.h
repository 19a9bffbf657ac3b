#ifndef AGENT_SRC_ORDERS_H
#define AGENT_SRC_ORDERS_H

/* Processing of the leader's orders (orders.c). */

#include "state.h"

/* Updates the attempt table to match the orders that answer a heartbeat sent at sent_ms. */
void orders_apply(Agent *agent, const HeartbeatAnswer *answer, int64_t sent_ms);

#endif
