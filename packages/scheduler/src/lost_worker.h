#ifndef SCHEDULER_SRC_LOST_WORKER_H
#define SCHEDULER_SRC_LOST_WORKER_H

#include "state.h"

/* Whether the worker's lease has ended: then nothing that this leader or an earlier one ordered still runs there. */
bool worker_lease_ended(const Scheduler *scheduler, const char *worker);
/* Waits. Declares workers lost whose leases have ended. Here and below, changes are packed on mem. */
void lost_workers_declare(Scheduler *scheduler, void *mem);
/* Waits. Gives up attempts on silent workers, of tasks whose owner allows copies. */
void silent_attempts_give_up(Scheduler *scheduler, void *mem);

#endif
