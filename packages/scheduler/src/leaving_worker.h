#ifndef SCHEDULER_SRC_LEAVING_WORKER_H
#define SCHEDULER_SRC_LEAVING_WORKER_H

#include "pass.h"

/* Adds attempts to the list that can't end before their worker leaves (the rules are in leaving_worker.c). */
void leaving_attempts_find(Pass *pass, StopList *list);

#endif
