#ifndef SCHEDULER_SRC_GANG_REPAIR_H
#define SCHEDULER_SRC_GANG_REPAIR_H

#include "state.h"

/* Waits. Stops what runs of gangs that are not whole, so that they start again as one. mem: for the change. */
void gangs_repair(Scheduler *scheduler, void *mem);

#endif
