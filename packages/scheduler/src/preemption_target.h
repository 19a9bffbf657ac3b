#ifndef SCHEDULER_SRC_PREEMPTION_TARGET_H
#define SCHEDULER_SRC_PREEMPTION_TARGET_H

#include "pass.h"

/* As preempt_for, by the built-in policy, for a candidate that would miss its latency target otherwise. */
void preempt_target(Pass *pass, const Candidate *candidate);

#endif
