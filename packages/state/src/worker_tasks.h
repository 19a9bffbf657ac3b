#ifndef STATE_SRC_WORKER_TASKS_H
#define STATE_SRC_WORKER_TASKS_H

/* The tasks on each worker, and the capacity that they use. */

#include "table_internal.h"

/* Returns the row of the worker, which is created at first use. */
WorkerTasks *worker_tasks_of(Table *table, const char *worker);
/* Increments the version of the worker's orders and calls the observer. Does nothing for an empty name. */
void orders_changed(Table *table, const char *worker);
/* Adds the task to task->worker; does nothing when that is empty. */
void worker_tasks_add(Table *table, Job *job, JobTask *task);
/* Removes the task from task->worker; does nothing when that is empty. */
void worker_tasks_remove(Table *table, const JobTask *task);

#endif
