#ifndef STATE_SRC_ON_WORKER_H
#define STATE_SRC_ON_WORKER_H

/* What is on each worker, and the capacity that it uses. */

#include "inside.h"

/* The worker's row; a first one is made for a name that has none. */
WorkerOn *worker_on(Table *table, const char *worker);
/* The worker's orders have changed: counts it and calls the watcher. "": nothing. */
void orders_touch(Table *table, const char *worker);
/* The task has come to task->worker; nothing when that is "". */
void on_worker_add(Table *table, Job *job, JobTask *task);
/* The task is about to leave task->worker; nothing when that is "". */
void on_worker_remove(Table *table, const JobTask *task);

#endif
