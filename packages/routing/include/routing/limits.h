#ifndef ROUTING_LIMITS_H
#define ROUTING_LIMITS_H

#include "loop/loop.h"
#include "state/change.h"

/* From the next request on this process keeps its callers within what the
 * operators' document says. Bodies are bounded where it is known whose they are:
 * an operator's document may be larger than any caller's job. */
void limits_serve(Loop *loop, const ConfigLimits *limits);

#endif
