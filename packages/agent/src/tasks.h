#ifndef AGENT_SRC_TASKS_H
#define AGENT_SRC_TASKS_H

/* The agent's tasks and handlers that only agent.c uses; each is started once. */

#include "state.h"

/* Starts to report the ends of attempts to the leader (end_reports.c). */
void end_reports_start(Agent *agent);
/* Starts to extend the lease of an isolated agent by the second survival rule (isolated.c). */
void isolated_start(Agent *agent);
/* Starts to act on deadlines (deadlines.c). */
void deadlines_start(Agent *agent);
/* Serves the agent's HTTP endpoints; arg is the Agent (http.c). */
void agent_http_serve(void *arg, HttpExchange *task);

#endif
