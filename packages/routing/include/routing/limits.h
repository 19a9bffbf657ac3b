#ifndef ROUTING_LIMITS_H
#define ROUTING_LIMITS_H

#include "loop/loop.h"
#include "state/change.h"

/* The limits on callers' HTTP requests that the operators' configuration sets: size of a request head, time to receive
 * it, and idle time of a connection. The size of a body is checked by the route that parses it, because an operator's
 * document may be larger than any job. */

/* Applies the limits to this process's HTTP server, from the next request on. */
void limits_apply(Loop *loop, const ConfigLimits *limits);

#endif
