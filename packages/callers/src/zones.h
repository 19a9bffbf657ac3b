#ifndef CALLERS_SRC_ZONES_H
#define CALLERS_SRC_ZONES_H

#include "request.h"

/* Routes of /v1/zones: shows a zone, drains it, gives it work again. The last two wait. */
void zone_get(CallerRequest *request);
void zone_drain(CallerRequest *request);
void zone_undrain(CallerRequest *request);

#endif
