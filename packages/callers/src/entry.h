#ifndef CALLERS_SRC_ENTRY_H
#define CALLERS_SRC_ENTRY_H

#include "request.h"

/* What is asked at a queue's own address: paths that begin with this. */
#define ENTRY_PATH "/v1/entry"
/* Waits. */
void entry_serve(CallerRequest *request);

#endif
