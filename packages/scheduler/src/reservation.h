#ifndef SCHEDULER_SRC_RESERVATION_H
#define SCHEDULER_SRC_RESERVATION_H

#include "pass.h"

/* Drops reservations of tasks that wait no more, or of workers that may be given no work now; computes anew when the
 * others' workers should have enough capacity. */
void reservation_begin(Pass *pass);
/* Marks in excluded (by index) the workers that are reserved for others than this candidate; true when there are
 * any. */
bool reservation_exclude(const Pass *pass, const Candidate *candidate, bool *excluded);
/* The candidate found no worker: reserves some for it once it has waited long enough. */
void reservation_want(Pass *pass, const Candidate *candidate, const StepSpec *step);

#endif
