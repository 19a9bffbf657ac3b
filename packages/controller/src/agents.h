#ifndef CONTROLLER_SRC_AGENTS_H
#define CONTROLLER_SRC_AGENTS_H

#include "state.h"

/* Answers agents' heartbeats, updates and questions for orders from now on. */
void agents_serve(Controller *controller);

#endif
