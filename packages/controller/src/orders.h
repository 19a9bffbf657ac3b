/* Orders for workers: which attempts a worker is to run. */
#ifndef CONTROLLER_SRC_ORDERS_H
#define CONTROLLER_SRC_ORDERS_H

#include "state.h"

/* What the leader knows about its exchange with one agent. Allocated until the process ends. */
typedef struct AgentSession {
    /* Raised when the worker's orders change, when this node gains or loses the right to give them, and when the agent
     * sends a new request */
    Signal changed;
    uint64_t newest_request; /* Number of the newest request; older requests stop waiting */
    Worker *described;       /* The worker's newest description that was not in the state table; null: none was */
    bool committing;         /* True while changes reported by a heartbeat are being committed */
} AgentSession;

/* Returns the session of the worker's agent; creates it on first use. */
AgentSession *agent_session(Controller *controller, const char *worker);
/* Whether a task of the step, placed on the live worker and not ordered yet, must not be started there: the worker
 * describes itself otherwise than it did when the task was placed, or has not the kind, the labels or, while it is
 * empty, the capacity. Always false if the worker is not live: its description may be one that the agent was started
 * with. */
bool worker_is_unfit(const Controller *controller, const HeartbeatAsk *heartbeat, const Job *job, uint64_t step);
/* Subscribes to changes of orders in the state table. */
void orders_start(Controller *controller);
/* Makes all waiting requests check again whether they can be answered. */
void orders_recheck(Controller *controller);
/* Suspends the coroutine, for wait_ms at most, until there are newer orders than the agent has. Fills them into the
 * answer; leaves it unchanged if there are none. */
void orders_answer(Controller *controller, void *mem, const HeartbeatAsk *heartbeat, int64_t wait_ms,
                   HeartbeatAnswer *out);

#endif
