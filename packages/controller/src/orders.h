#ifndef CONTROLLER_SRC_ORDERS_H
#define CONTROLLER_SRC_ORDERS_H

#include "state.h"

/* The connection of orders to one agent. Never freed while the process runs. */
typedef struct AgentSession {
    Signal updates; /* its orders have changed, or whether they may be given */
    uint64_t turn;  /* of its newest question; an earlier one waits no longer */
    bool learning;  /* what a heartbeat made known is being committed */
} AgentSession;

/* Made when it is first asked for. */
AgentSession *agent_session(Controller *controller, const char *worker);
void orders_start(Controller *controller);
/* All agents' questions are looked at again. */
void orders_wake(Controller *controller);
/* Waits, at most wait_ms, for newer orders than the agent has; answers with them, or leaves the answer as it is. */
void orders_answer(Controller *controller, void *mem, const HeartbeatAsk *heartbeat, int64_t wait_ms,
                   HeartbeatAnswer *out);

#endif
