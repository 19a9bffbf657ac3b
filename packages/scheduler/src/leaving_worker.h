#ifndef SCHEDULER_SRC_LEAVING_WORKER_H
#define SCHEDULER_SRC_LEAVING_WORKER_H

#include "pass.h"

/* Adds attempts that could not end before their worker has left. */
void leave_find(Pass *pass, StopList *list);

#endif
