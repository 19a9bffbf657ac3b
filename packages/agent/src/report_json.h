#ifndef AGENT_SRC_REPORT_JSON_H
#define AGENT_SRC_REPORT_JSON_H

/* The worker's report over HTTP (report_json.c). */

#include "state.h"

/* Answers a report by the worker of this name. Waits. */
void worker_take(Agent *agent, HttpTask *task, const char *name);

#endif
