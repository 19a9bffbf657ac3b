#ifndef CONTROLLER_SRC_STATUS_H
#define CONTROLLER_SRC_STATUS_H

#include "state.h"

/* The body of /v1/status; owned by the caller. */
json_object *controller_status(Controller *controller);

#endif
