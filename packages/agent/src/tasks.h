#ifndef AGENT_SRC_TASKS_H
#define AGENT_SRC_TASKS_H

/* The agent's tasks and handlers that nothing in the package but agent.c knows; each is started once. */

#include "state.h"

/* Reports ends of attempts to the leader (end_reports.c). */
void end_reports_start(Agent *agent);
/* Keeps the lease of an isolated agent by the second survival rule (isolated.c). */
void isolated_start(Agent *agent);
/* Acts on deadlines (watch.c). */
void watch_start(Agent *agent);
/* Serves the agent's HTTP entry points; arg is the Agent (http.c). */
void agent_http(void *arg, HttpTask *task);

#endif
