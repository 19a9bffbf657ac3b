#ifndef CONTROLLER_SRC_SCHEDULING_H
#define CONTROLLER_SRC_SCHEDULING_H

#include "state.h"

/* The scheduler of this node, on controller, with controller as its leader. */
Scheduler *scheduling_new(Controller *controller);

#endif
