#ifndef SCHEDULER_SRC_PREEMPTION_H
#define SCHEDULER_SRC_PREEMPTION_H

#include "pass.h"

/* The candidate found no worker: looks for running attempts, all on one worker, that its cell's policy lets
 * it preempt, into pass->to_preempt. At most one candidate preempts in a pass. */
void preempt_for(Pass *pass, const Candidate *candidate);

#endif
