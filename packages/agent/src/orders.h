#ifndef AGENT_SRC_ORDERS_H
#define AGENT_SRC_ORDERS_H

/* The leader's orders (orders.c). */

#include "state.h"

/* Brings the attempt table in line with orders that answer a heartbeat sent at sent_ms. */
void orders_take(Agent *agent, const HeartbeatAnswer *answer, int64_t sent_ms);

#endif
