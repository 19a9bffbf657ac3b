#ifndef SCHEDULER_SRC_PREEMPTION_TARGET_H
#define SCHEDULER_SRC_PREEMPTION_TARGET_H

#include "pass.h"

/* Like preempt_for_candidate, by the built-in policy, for a candidate that would otherwise miss its latency target. */
void preempt_for_target(Pass *pass, const Candidate *candidate);

#endif
