#ifndef CALLERS_SRC_QUEUE_ENTRY_H
#define CALLERS_SRC_QUEUE_ENTRY_H

#include "request.h"

/* Prefix of the paths of requests to a queue's own address (its entry). */
#define ENTRY_PATH "/v1/entry"
/* The route of all these requests. May suspend the coroutine. */
void entry_serve(CallerRequest *request);

#endif
