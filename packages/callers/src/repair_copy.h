#ifndef CALLERS_SRC_REPAIR_COPY_H
#define CALLERS_SRC_REPAIR_COPY_H

#include "state.h"

/* Waits. Has one entry point keep what was committed, if one answers: a copy for repair. */
void repair_copy_send(CallerService *callers, void *mem, const RepairList *repair_items);

#endif
