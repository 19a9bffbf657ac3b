/* Trace events for delivered changes. */
#ifndef CONTROLLER_SRC_TRACE_DELIVERED_H
#define CONTROLLER_SRC_TRACE_DELIVERED_H

#include "state.h"

/* Records a delivered change in the trace. body is the unpacked change; if it is null, nothing is recorded. */
void trace_delivered(Controller *controller, const Record *change, const void *body, const ChangeResult *result);

#endif
