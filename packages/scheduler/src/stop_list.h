#ifndef SCHEDULER_SRC_STOP_LIST_H
#define SCHEDULER_SRC_STOP_LIST_H

#include "pass.h"

/* Adds the task's attempt to what is stopped, and takes its capacity on the worker at that place, where it is
 * to go on; at below 0: nowhere yet. False: the list has as many as may be (most). */
bool stop_add(Pass *pass, StopList *list, const Job *job, size_t task, int at, size_t most);

#endif
