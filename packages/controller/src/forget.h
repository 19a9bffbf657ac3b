#ifndef CONTROLLER_SRC_FORGET_H
#define CONTROLLER_SRC_FORGET_H

#include "state.h"

/* Spawns the task that removes ended jobs from the state table once they have been kept long enough. */
void forget_start(Controller *controller);

#endif
