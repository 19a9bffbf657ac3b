#ifndef CALLERS_SRC_ROUTES_H
#define CALLERS_SRC_ROUTES_H

#include "request.h"

/* Suspends the coroutine. Answers one request in the leader. The changes that it commits are added to repair_items,
 * allocated on mem. */
void route_request(CallerService *service, HttpExchange *task, void *mem, RepairList *repair_items);

#endif
