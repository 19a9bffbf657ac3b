#ifndef SCHEDULER_SRC_PLANNER_H
#define SCHEDULER_SRC_PLANNER_H

#include "pass.h"

/* Walks through the ready queue and decides what starts where, at most STARTS_PER_CHANGE_MAX starts, into pass->places.
 */
void pass_place_candidates(Pass *pass);

#endif
