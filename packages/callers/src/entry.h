#ifndef CALLERS_SRC_ENTRY_H
#define CALLERS_SRC_ENTRY_H

#include "request.h"

/* Paths of requests to a queue's own address (its entry) begin with this. */
#define ENTRY_PATH "/v1/entry"
/* Waits. The route of all of them. */
void entry_serve(CallerRequest *request);

#endif
