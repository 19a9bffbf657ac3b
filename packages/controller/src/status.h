/* The status page of a controller. */
#ifndef CONTROLLER_SRC_STATUS_H
#define CONTROLLER_SRC_STATUS_H

#include "state.h"

/* Builds the body of /v1/status; owned by the caller. */
json_object *controller_status(Controller *controller);

#endif
