#ifndef CALLERS_SRC_ROUTES_H
#define CALLERS_SRC_ROUTES_H

#include "request.h"

/* Waits. Answers one request as leader. keeps: what it committed, added on mem. */
void leader_serve(CallerService *callers, HttpTask *task, void *mem, RepairList *repair_items);

#endif
