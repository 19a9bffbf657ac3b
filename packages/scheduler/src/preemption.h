#ifndef SCHEDULER_SRC_PREEMPTION_H
#define SCHEDULER_SRC_PREEMPTION_H

#include "pass.h"

/* To be called when the candidate found no worker: looks for running attempts, all on one worker, that the policy of
 * its cell allows it to preempt, and adds them to pass->to_preempt. At most one candidate preempts in a pass. */
void preempt_for_candidate(Pass *pass, const Candidate *candidate);

#endif
