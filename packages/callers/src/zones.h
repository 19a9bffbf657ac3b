#ifndef CALLERS_SRC_ZONES_H
#define CALLERS_SRC_ZONES_H

#include "request.h"

/* Routes of /v1/zones: show a zone, drain it, and end the drain. The last two suspend the coroutine. */
void zone_get(CallerRequest *request);
void zone_drain(CallerRequest *request);
void zone_undrain(CallerRequest *request);

#endif
