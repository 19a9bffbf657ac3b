#ifndef SCHEDULER_SRC_PASS_RESERVATION_H
#define SCHEDULER_SRC_PASS_RESERVATION_H

#include "pass.h"

/* To be called when the candidate found no worker: until the end of this pass, leaves the free capacity of the worker
 * that is closest to having enough to this candidate. excluded, by worker index: workers not to use. */
void pass_reserve(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded);

#endif
