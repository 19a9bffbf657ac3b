#ifndef SCHEDULER_SRC_STOP_LIST_H
#define SCHEDULER_SRC_STOP_LIST_H

#include "pass.h"

/* Adds the task's attempt to the list, and takes its capacity on the worker of index at, where it should go on; at
 * below 0: none is known yet. False: the list is full (most). */
bool stop_add(Pass *pass, StopList *list, const Job *job, size_t task, int at, size_t most);

#endif
