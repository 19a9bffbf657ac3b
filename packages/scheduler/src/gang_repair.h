#ifndef SCHEDULER_SRC_GANG_REPAIR_H
#define SCHEDULER_SRC_GANG_REPAIR_H

#include "state.h"

/* Suspends the coroutine. Stops the running members of gangs that are incomplete, so that the entire gang is placed
 * again. The change is packed on mem. */
void gangs_repair(Scheduler *scheduler, void *mem);

#endif
