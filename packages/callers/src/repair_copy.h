#ifndef CALLERS_SRC_REPAIR_COPY_H
#define CALLERS_SRC_REPAIR_COPY_H

#include "state.h"

/* Waits. Has one node without a disk keep what was committed, if one answers: a copy for repair. */
void elsewhere_keep(CallerService *callers, void *mem, const RepairList *repair_items);

#endif
