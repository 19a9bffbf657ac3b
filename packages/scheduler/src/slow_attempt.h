#ifndef SCHEDULER_SRC_SLOW_ATTEMPT_H
#define SCHEDULER_SRC_SLOW_ATTEMPT_H

#include "pass.h"

/* Adds attempts that stand still, or are far too slow, on their workers and would end sooner elsewhere. */
void slow_find(Pass *pass, StopList *list);

#endif
