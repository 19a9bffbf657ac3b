/* Handlers for the messages of agents. */
#ifndef CONTROLLER_SRC_AGENTS_H
#define CONTROLLER_SRC_AGENTS_H

#include "state.h"

/* Registers the handlers and starts the task that commits updates of attempts. */
void agents_serve(Controller *controller);

#endif
