#ifndef SCHEDULER_SRC_PREEMPTIBLE_CAPACITY_H
#define SCHEDULER_SRC_PREEMPTIBLE_CAPACITY_H

#include "pass.h"

#define PREEMPT_CALLS_MAX 400 /* maximum number of calls of may_preempt in one pass, about 0.01 ms each */

/* Adds the capacity that protected work may preempt, by cell, to pass->input. */
void preemptible_add(Pass *pass);
/* The index of the job's cell in pass->input.preemptible; PLAN_NO_CELL: it has none. */
size_t preemptible_cell(const Pass *pass, const JobSpec *spec);

#endif
