/* Handlers for the messages of other nodes. */
#ifndef CONTROLLER_SRC_PEERS_H
#define CONTROLLER_SRC_PEERS_H

#include "state.h"

/* Registers the handlers of forwarded requests, of requests for the configuration and of repair messages. */
void peers_serve(Controller *controller);

#endif
