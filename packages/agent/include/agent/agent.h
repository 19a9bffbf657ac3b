#ifndef AGENT_AGENT_H
#define AGENT_AGENT_H

/* The agent: the process that runs next to one worker.
 * It sends heartbeats to the leader on the worker's behalf, receives orders in the answers, passes part of its own
 * lease on to the worker, and reports how each attempt ended until the leader has committed the end. The daemon
 * (src/daemon.c, src/node.c) starts it; worker adapters call agent_report (agent/report.h).
 * Invariants:
 *  - It stores nothing on disk.
 *  - No attempt is started on the worker unless the agent's lease is valid.
 *  - The worker's lease ends before the agent's own. */

#include "settings/settings.h"

/* An agent process; opaque to its users. */
typedef struct Agent Agent;

/* Starts the agent's listeners and tasks; does not wait.
 * in: mem is the talloc parent of the agent; loop, recorder and settings must outlive it.
 * out: *agent, only on success.
 * return: OK; otherwise the reason why it cannot listen, with the text in failure. Objects created before the error
 * stay on mem. */
Status agent_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Agent **agent,
                   Failure *failure);

/* Graceful shutdown: reports to the leader that the worker is draining, then suspends the coroutine for DRAIN_MS / 3,
 * so that the message arrives. Running attempts are not stopped here; they stop when the lease expires. */
void agent_drain(Agent *agent);

/* Replaces the addresses of the controllers that are asked for the membership list. The texts are copied. */
void agent_set_seeds(Agent *agent, const char *const seeds[SEEDS]);

/* The agent's HTTP address. The text belongs to the agent. */
const char *agent_http_address(const Agent *agent);

#endif
