#ifndef SCHEDULER_SRC_WITHHELD_H
#define SCHEDULER_SRC_WITHHELD_H

/* Capacity that a pass withholds from its candidates, although the workers are up: that of ejected workers
 * (worker_score.h), and what is reserved for other candidates (pass_reservation.h, reservation.h). Both are
 * preferences. They give way to a candidate that has found no worker for EJECTED_WAIT_MS and would have to wait for
 * them to end: work may not stand still beside free capacity.
 *
 * Such a candidate gets one trial: what it does not use is withheld again. */

#include "pass.h"

/* What gives way to a candidate. */
typedef enum Withheld {
    WITHHELD_NONE,
    WITHHELD_EJECTED, /* ejections only: no other workers can run it soon, even when what ends there has ended */
    WITHHELD_ALL,     /* reservations too: its job stands still in a fleet with free capacity */
} Withheld;

/* Withholds the capacity of an ejected worker from the pass. Called while the pass is made. */
void withheld_eject(Pass *pass, size_t worker);
/* Withholds part of the worker's free capacity. */
void withheld_reserve(Pass *pass, size_t worker, Resources resources);
/* Returns what gives way to a candidate that has found no worker, and gives its capacity to the pass until
 * withheld_end. excluded: by worker; those that are reserved for other candidates. */
Withheld withheld_admit(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded);
/* Withholds again what the candidate has left. Has no effect unless withheld_admit has given something. */
void withheld_end(Pass *pass);

#endif
