#ifndef ROUTING_SRC_LEADER_ROUTE_SEARCH_H
#define ROUTING_SRC_LEADER_ROUTE_SEARCH_H

#include "leader_route_state.h"

/* The search for a next hop, by a single coroutine. The search also returns from a relay to the leader itself once that
 * is reachable again. */

/* Starts the search unless it is running. The search ends in state LEADER_ROUTE_DIRECT or when the loop stops. */
void leader_route_search(LeaderRoute *leader_route);

#endif
