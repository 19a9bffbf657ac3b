#ifndef EXPLORE_SRC_CLIENT_H
#define EXPLORE_SRC_CLIENT_H

/* Clients (client.c). */

#include "state.h"

/* Changes are submitted from now on until the run ends. */
void client_start(Explore *explore);
/* Submits one change at the node. */
void client_submit(Explore *explore, Node *node);

#endif
