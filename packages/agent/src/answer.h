#ifndef AGENT_SRC_ANSWER_H
#define AGENT_SRC_ANSWER_H

/* What the agent answers its worker with (answer.c). */

#include "state.h"

/* Whether something needs an answer at once. */
bool answer_ready(Agent *agent, const WorkerReport *report);
/* Until when an answer with nothing in it may be delayed. */
int64_t answer_until_ms(const Agent *agent, const WorkerReport *report);
/* Fills the orders, on mem. The attempts among its starts count as given from now on, and the lease in it as
 * passed on. */
void orders_fill(Agent *agent, void *mem, const WorkerReport *report, WorkerOrders *orders);

#endif
