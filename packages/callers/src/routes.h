#ifndef CALLERS_SRC_ROUTES_H
#define CALLERS_SRC_ROUTES_H

#include "request.h"

/* Waits. Answers one request as leader. What it committed is added to repair_items, on mem. */
void route_request(CallerService *callers, HttpTask *task, void *mem, RepairList *repair_items);

#endif
