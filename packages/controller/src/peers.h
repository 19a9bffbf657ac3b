#ifndef CONTROLLER_SRC_PEERS_H
#define CONTROLLER_SRC_PEERS_H

#include "state.h"

/* Answers other nodes' forwarded requests, and questions for the configuration and for repair, from now on. */
void peers_serve(Controller *controller);

#endif
