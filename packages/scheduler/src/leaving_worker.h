#ifndef SCHEDULER_SRC_LEAVING_WORKER_H
#define SCHEDULER_SRC_LEAVING_WORKER_H

#include "pass.h"

/* Adds attempts that could not end before their worker leaves (see the source). */
void leaving_find(Pass *pass, StopList *list);

#endif
