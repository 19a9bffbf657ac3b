#ifndef SCHEDULER_SRC_LOST_WORKER_H
#define SCHEDULER_SRC_LOST_WORKER_H

#include "state.h"

/* Waits. Declares workers lost whose leases have lapsed. mem: for the changes, here and below. */
void lost_find(Scheduler *scheduler, void *mem);
/* Waits. Gives up attempts on silent workers, of tasks whose owner allows copies. */
void copies_find(Scheduler *scheduler, void *mem);

#endif
