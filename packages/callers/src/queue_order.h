#ifndef CALLERS_SRC_QUEUE_ORDER_H
#define CALLERS_SRC_QUEUE_ORDER_H

#include "request.h"

/* The queue of a cell in the order in which it is to be placed. */
void queue_get(CallerRequest *request);
/* The same by the policy in the request's body; nothing is changed. */
void queue_try(CallerRequest *request);

#endif
