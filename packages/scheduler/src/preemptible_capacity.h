#ifndef SCHEDULER_SRC_PUSHABLE_CAPACITY_H
#define SCHEDULER_SRC_PUSHABLE_CAPACITY_H

#include "pass.h"

#define PREEMPT_CALLS_MAX 400 /* count; calls of may_preempt in one pass, each some 0.01 ms */

/* Capacity that protected work may preempt, cell by cell, into pass->input. */
void preemptible_count(Pass *pass);
/* The number of the task's cell in it; PLAN_NO_CELL: it has none. */
size_t preemptible_cell(const Pass *pass, const JobSpec *spec);

#endif
