#ifndef SCHEDULER_SRC_PLACEMENT_H
#define SCHEDULER_SRC_PLACEMENT_H

#include "pass.h"

/* Places all tasks of the candidate, or none; returns whether they were placed. */
bool place_candidate(Pass *pass, const Candidate *candidate);

#endif
