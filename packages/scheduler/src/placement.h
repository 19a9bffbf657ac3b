#ifndef SCHEDULER_SRC_PLACEMENT_H
#define SCHEDULER_SRC_PLACEMENT_H

#include "pass.h"

/* Places all tasks of the candidate, or none; false: none. */
bool place_one(Pass *pass, const Candidate *candidate);

#endif
