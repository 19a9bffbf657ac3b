#ifndef SCHEDULER_SRC_RESERVATION_H
#define SCHEDULER_SRC_RESERVATION_H

#include "pass.h"

/* Drops the reservations of tasks that no longer wait and of workers that may not be given work now; for the other
 * ones, forecasts again when their workers will have enough capacity. */
void reservation_begin(Pass *pass);
/* Marks in excluded (by worker index) the workers that are reserved for other candidates than this one; returns whether
 * there are any. */
bool reservation_exclude(const Pass *pass, const Candidate *candidate, bool *excluded);
/* To be called when the candidate found no worker: reserves workers for it once it has waited long enough. */
void reservation_make(Pass *pass, const Candidate *candidate, const StepSpec *step);

#endif
