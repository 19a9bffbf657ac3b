#ifndef CONTROLLER_SRC_ORDERS_H
#define CONTROLLER_SRC_ORDERS_H

#include "state.h"

/* What the leader remembers of its exchange with one agent. Never freed while the process runs. */
typedef struct AgentSession {
    Signal changed;           /* its orders have changed, or whether they may be given, or it has asked anew */
    uint64_t newest_question; /* its number; an earlier question waits no longer */
    bool committing;          /* what a heartbeat made known is being committed */
} AgentSession;

/* Made when it is first asked for. */
AgentSession *agent_session(Controller *controller, const char *worker);
/* Watches the state table for changes of orders. */
void orders_start(Controller *controller);
/* Checks again for all waiting questions whether they can be answered. */
void orders_wake(Controller *controller);
/* Waits, at most wait_ms, for newer orders than the agent has; answers with them, or leaves the answer as it is. */
void orders_answer(Controller *controller, void *mem, const HeartbeatAsk *heartbeat, int64_t wait_ms,
                   HeartbeatAnswer *out);

#endif
