#ifndef ROUTING_LIMITS_H
#define ROUTING_LIMITS_H

#include "loop/loop.h"
#include "state/change.h"

/* The limits for callers' HTTP requests, from the operators' configuration: a head's bytes and time, and the time that
 * a connection may be idle. Bodies are limited where it is known what they are: an operator's document may be larger
 * than any caller's job. */

/* Applies the limits in this process, from the next request on. */
void limits_apply(Loop *loop, const ConfigLimits *limits);

#endif
