#ifndef SCHEDULER_SRC_STOP_LIST_H
#define SCHEDULER_SRC_STOP_LIST_H

#include "pass.h"

/* Adds the task's attempt to the list, and takes the capacity that it needs on the worker of index target out of the
 * free capacity; target below 0: no other worker has capacity for the next attempt yet. Returns false when the list has
 * reached limit entries. */
bool stop_list_add(Pass *pass, StopList *list, const Job *job, size_t task, int target, size_t limit);

#endif
