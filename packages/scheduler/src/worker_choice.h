#ifndef SCHEDULER_SRC_WORKER_CHOICE_H
#define SCHEDULER_SRC_WORKER_CHOICE_H

#include "pass.h"

/* Makes pass->spread describe where the other tasks of this task's step run. */
void spread_find(Pass *pass, const Job *job, size_t task);
/* Adds by (which may be negative) tasks of the current step (pass->spread) on the worker with that index. */
void spread_add(Pass *pass, size_t at, int by);
/* The index of the best worker for the task, except those in excluded, and on the given rack unless that is null; -1:
 * none fits. The worker where the task's last attempt failed is chosen only if there is no other. excluded is changed
 * during the call only. */
int choose_worker(Pass *pass, const Job *job, size_t task, const PlanNeed *need, bool *excluded, const char *rack);
/* Like choose_worker, among the workers other than the one with that index. */
int choose_other_worker(Pass *pass, const Job *job, size_t task, size_t worker);
/* The run time of a task of the step on the worker with that index, in percent of its run time near its data and the
 * step's other tasks. */
uint64_t choose_time_percent(const Pass *pass, const StepSpec *step, size_t at);
/* Delay scheduling: whether the candidate should wait for a worker near its data rather than take one that is farther
 * away. percent: run time there, as choose_time_percent. */
bool should_wait_for_locality(Pass *pass, const Candidate *candidate, const StepSpec *step, const PlanNeed *need,
                              uint64_t percent);

#endif
