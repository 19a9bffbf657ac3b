#ifndef EXPLORE_SRC_CLIENT_H
#define EXPLORE_SRC_CLIENT_H

/* Clients that submit changes to the replicated log (client.c). */

#include "state.h"

/* Starts to submit changes periodically; continues until the run ends. */
void client_start(Explore *explore);
/* Submits one change at the node, which must be running. */
void client_submit(Explore *explore, Node *node);

#endif
