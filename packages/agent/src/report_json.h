#ifndef AGENT_SRC_REPORT_JSON_H
#define AGENT_SRC_REPORT_JSON_H

/* The worker's report over HTTP (report_json.c). */

#include "state.h"

/* Suspends the coroutine. Answers a report from the worker of this name. */
void worker_report_serve(Agent *agent, HttpExchange *task, const char *name);

#endif
