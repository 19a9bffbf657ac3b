/* The controller's side of the scheduler. */
#ifndef CONTROLLER_SRC_SCHEDULING_H
#define CONTROLLER_SRC_SCHEDULING_H

#include "state.h"

/* Creates the scheduler of this node. It belongs to the controller and makes its decisions through it
 * (SchedulerLeader). */
Scheduler *scheduling_new(Controller *controller);

#endif
