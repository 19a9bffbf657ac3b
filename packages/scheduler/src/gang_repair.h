#ifndef SCHEDULER_SRC_GANG_REPAIR_H
#define SCHEDULER_SRC_GANG_REPAIR_H

#include "state.h"

/* Waits. Stops the running members of gangs that are incomplete, so that each gang starts again as a whole. The change
 * is packed on mem. */
void gangs_repair(Scheduler *scheduler, void *mem);

#endif
