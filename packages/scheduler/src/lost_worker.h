#ifndef SCHEDULER_SRC_LOST_WORKER_H
#define SCHEDULER_SRC_LOST_WORKER_H

#include "state.h"

/* Whether the worker's lease has expired: then nothing that this leader or an earlier one ordered still runs there. */
bool worker_lease_ended(const Scheduler *scheduler, const char *worker);
/* Suspends the coroutine. Declares the workers lost whose leases have expired. Here and below, changes are packed on
 * mem. */
void lost_workers_declare(Scheduler *scheduler, void *mem);
/* Suspends the coroutine. Gives up the attempts on silent workers (no heartbeat for COPY_SILENT_MS) of tasks that may
 * run in two attempts concurrently. */
void silent_attempts_give_up(Scheduler *scheduler, void *mem);

#endif
