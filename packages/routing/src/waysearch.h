#ifndef ROUTING_SRC_WAYSEARCH_H
#define ROUTING_SRC_WAYSEARCH_H

#include "waystate.h"

/* The search for a next hop: one coroutine asks, while nobody else does. It also goes back
 * from a relay to the leader itself once that can be reached again. */

/* Starts the search unless it runs. It ends by itself, in LEADER_PATHS_DIRECT or when the loop
 * stops. */
void leader_paths_search(LeaderPaths *leader_paths);

#endif
