#ifndef AGENT_AGENT_H
#define AGENT_AGENT_H

/* The agent: the process beside one worker.
 *
 * It sends heartbeats to the leader on the worker's behalf, receives orders in the answers, passes part of its own
 * lease on to the worker, and reports how each attempt ended until the leader has committed that. The
 * daemon (src/daemon.c, src/node.c) starts it; worker adapters call agent_report (agent/report.h).
 *
 * Invariants: it keeps nothing on disk; no attempt is started on the worker while the agent's lease does not
 * run; the lease that the worker has ends before the agent's own. */

#include "settings/settings.h"

typedef struct Agent Agent;

/* Starts the agent's listeners and tasks; does not wait.
 * in: mem is the talloc parent of the agent; loop, recorder and settings must outlive it.
 * out: *agent, only on success.
 * return: OK; otherwise why it cannot listen, with the text in failure. What had been set up by then stays
 * on mem. */
Status agent_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Agent **agent,
                   Failure *failure);

/* Graceful shutdown: tells the leader that the worker is draining, then waits DRAIN_MS / 3 for that to arrive.
 * Attempts that run are not stopped here; they stop when the lease lapses. */
void agent_drain(Agent *agent);

/* Replaces the addresses of the controllers at which the membership list is asked for. The texts are copied. */
void agent_seeds(Agent *agent, const char *const seeds[SEEDS]);

/* The address that the agent serves HTTP at. It belongs to the agent. */
const char *agent_http_address(const Agent *agent);

#endif
