#ifndef ROUTING_SRC_LEADER_PATH_SEARCH_H
#define ROUTING_SRC_LEADER_PATH_SEARCH_H

#include "leader_path_state.h"

/* The search for a next hop: one coroutine asks, while nobody else does. It also goes back
 * from a relay to the leader itself once that can be reached again. */

/* Starts the search unless it runs. It ends by itself, in LEADER_PATHS_DIRECT or when the loop
 * stops. */
void leader_paths_search(LeaderPaths *leader_paths);

#endif
