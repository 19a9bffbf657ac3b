#ifndef CALLERS_SRC_REPAIR_COPY_H
#define CALLERS_SRC_REPAIR_COPY_H

#include "state.h"

/* Suspends the coroutine. Sends the committed changes to entry points of different zones until REPAIR_COPIES of them
 * hold a copy, if that many answer. carrier: id of the entry point that forwarded the request and holds a copy too;
 * empty: a controller forwarded it. */
void repair_copy_send(CallerService *service, void *mem, const RepairList *repair_items, const char *carrier);

#endif
