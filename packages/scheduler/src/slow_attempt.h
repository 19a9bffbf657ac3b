#ifndef SCHEDULER_SRC_SLOW_ATTEMPT_H
#define SCHEDULER_SRC_SLOW_ATTEMPT_H

#include "pass.h"

/* Adds attempts to the list that are stalled, or far too slow, on their workers and would end sooner on another one. */
void slow_attempts_find(Pass *pass, StopList *list);

#endif
