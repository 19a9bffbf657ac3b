#ifndef ROUTING_SRC_LEADER_ROUTE_SEARCH_H
#define ROUTING_SRC_LEADER_ROUTE_SEARCH_H

#include "leader_route_state.h"

/* The search for a next hop, by a single coroutine. It also goes back from a relay to the leader itself once that can
 * be reached again. */

/* Starts the search unless it runs. It ends by itself, in LEADER_ROUTE_DIRECT or when the loop
 * stops. */
void leader_route_search(LeaderRoute *leader_route);

#endif
