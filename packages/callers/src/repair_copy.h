#ifndef CALLERS_SRC_REPAIR_COPY_H
#define CALLERS_SRC_REPAIR_COPY_H

#include "state.h"

/* Waits. Has entry points of different zones keep what was committed, until REPAIR_COPIES of them do, if so many
 * answer. carrier: the id of the entry point that carries the request and keeps it too; empty: a controller does. */
void repair_copy_send(CallerService *callers, void *mem, const RepairList *repair_items, const char *carrier);

#endif
