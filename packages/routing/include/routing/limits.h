#ifndef ROUTING_LIMITS_H
#define ROUTING_LIMITS_H

#include "loop/loop.h"
#include "state/change.h"

/* The limits of the configuration for callers' HTTP requests: a head's bytes and time, and
 * the time that a connection may be idle. Bodies are bounded elsewhere, where it is known
 * whose they are: an operator's document may be larger than any caller's job. */

/* Puts the limits in force in this process, from the next request on. */
void limits_serve(Loop *loop, const ConfigLimits *limits);

#endif
