#ifndef CALLERS_SRC_QUEUE_ORDER_H
#define CALLERS_SRC_QUEUE_ORDER_H

#include "request.h"

/* Shows the ready queue of a cell in the order in which its tasks are to be placed. */
void queue_get(CallerRequest *request);
/* As queue_get, in the order of the policy in the request's body. Changes nothing. */
void queue_try(CallerRequest *request);

#endif
