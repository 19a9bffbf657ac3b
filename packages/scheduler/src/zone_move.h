#ifndef SCHEDULER_SRC_ZONE_MOVE_H
#define SCHEDULER_SRC_ZONE_MOVE_H

#include "pass.h"

/* Waits. Stops one task in a zone that is drained with moves. True: one was, and the pass is over. */
bool move_one(Pass *pass);

#endif
