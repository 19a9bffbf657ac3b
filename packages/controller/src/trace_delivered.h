#ifndef CONTROLLER_SRC_TRACE_DELIVERED_H
#define CONTROLLER_SRC_TRACE_DELIVERED_H

#include "state.h"

/* Notes a delivered change in the trace. body: the unpacked change; null: nothing is noted. */
void trace_delivered(Controller *controller, const Record *change, const void *body, const ChangeResult *result);

#endif
