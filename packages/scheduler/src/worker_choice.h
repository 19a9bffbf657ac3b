#ifndef SCHEDULER_SRC_WORKER_CHOICE_H
#define SCHEDULER_SRC_WORKER_CHOICE_H

#include "pass.h"

/* Adds by (which may be negative) tasks of the present step (pass->spread) on the worker of that index. */
void spread_add(Pass *pass, size_t at, int by);
/* The index of the best worker for the task, none of those in excluded, on the rack when it is not null; -1:
 * none fits. Not the one where its last attempt failed, unless there is no other. */
int choose_for(Pass *pass, const Job *job, size_t task, const PlanNeed *need, bool *excluded, const char *rack);
/* As choose_for, among the workers other than the one of that index. */
int choose_elsewhere(Pass *pass, const Job *job, size_t task, size_t worker);
/* The step's time on the worker of index at, in percent of that near its data and its other tasks. */
uint64_t choose_far_percent(const Pass *pass, const StepSpec *step, size_t at);
/* Delay scheduling: whether to wait a moment for a worker near the data rather than take one that is farther. */
bool choose_waits(Pass *pass, const Candidate *candidate, const StepSpec *step, const PlanNeed *need, uint64_t percent);

#endif
