#ifndef CALLERS_SRC_ZONES_H
#define CALLERS_SRC_ZONES_H

#include "request.h"

/* Routes of /v1/zones: shows a zone, empties it, gives it back to work. The last two wait. */
void zone_get(Way *way);
void zone_drain(Way *way);
void zone_back(Way *way);

#endif
