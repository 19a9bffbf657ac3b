#ifndef CONTROLLER_SRC_AGENTS_H
#define CONTROLLER_SRC_AGENTS_H

#include "state.h"

/* Registers the handlers of agents' messages and starts the task that commits updates of attempts. */
void agents_serve(Controller *controller);

#endif
