#ifndef CONTROLLER_SRC_SCHEDULING_H
#define CONTROLLER_SRC_SCHEDULING_H

#include "state.h"

/* Makes the scheduler of this node; it belongs to the controller and decides through it (SchedulerLeader). */
Scheduler *scheduling_new(Controller *controller);

#endif
