#ifndef SCHEDULER_SRC_RESERVATION_H
#define SCHEDULER_SRC_RESERVATION_H

#include "pass.h"

/* Drops reservations of what waits no more, or on workers that may be given nothing now; renews the rest. */
void reservation_begin(Pass *pass);
/* Marks in excluded the workers that are reserved for others than this candidate; true when there are any. */
bool reservation_from(const Pass *pass, const Candidate *candidate, bool *excluded);
/* The candidate found no worker: reserves some for it once it has waited long enough. */
void reservation_want(Pass *pass, const Candidate *candidate, const StepSpec *step);

#endif
