#ifndef CONTROLLER_SRC_FORGET_H
#define CONTROLLER_SRC_FORGET_H

#include "state.h"

/* Spawns the task that has ended jobs forgotten once they have been kept for the stated span. */
void forget_start(Controller *controller);

#endif
