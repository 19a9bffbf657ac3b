#ifndef SCHEDULER_SRC_ZONE_MOVE_H
#define SCHEDULER_SRC_ZONE_MOVE_H

#include "pass.h"

/* Suspends the coroutine. Stops one task in a zone that is drained with moves. True: a task was stopped; the pass is
 * then invalid. */
bool move_one_task(Pass *pass);

#endif
