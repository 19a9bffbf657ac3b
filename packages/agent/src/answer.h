#ifndef AGENT_SRC_ANSWER_H
#define AGENT_SRC_ANSWER_H

/* The agent's answers to its worker's reports (answer.c). */

#include "state.h"

/* True if something needs an immediate answer. */
bool answer_ready(Agent *agent, const WorkerReport *report);
/* The time until which an answer without content may be delayed. */
int64_t answer_until_ms(const Agent *agent, const WorkerReport *report);
/* Fills in the orders, allocated on mem. The attempts among its starts count as given from now on, and the lease in the
 * orders counts as passed on. */
void orders_fill(Agent *agent, void *mem, const WorkerReport *report, WorkerOrders *orders);

#endif
