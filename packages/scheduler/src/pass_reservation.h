#ifndef SCHEDULER_SRC_PASS_RESERVATION_H
#define SCHEDULER_SRC_PASS_RESERVATION_H

#include "pass.h"

/* The candidate found no worker: the free capacity of the worker that is nearest to having enough is left to
 * it until the end of this pass. */
void reserve_for(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded);

#endif
