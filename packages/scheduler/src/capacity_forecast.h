#ifndef SCHEDULER_SRC_CAPACITY_FORECAST_H
#define SCHEDULER_SRC_CAPACITY_FORECAST_H

#include "pass.h"

/* Remaining run time, in ms, of the task on the worker with that index; INT64_MAX: unknown. */
int64_t forecast_left_ms(const Pass *pass, const Job *job, const JobTask *task, size_t worker);
/* Time, in ms from now, until the worker with that index has the needed capacity free; 0: now, INT64_MAX: unknown. */
int64_t forecast_free_ms(const Pass *pass, size_t worker, Resources need);

/* The worker's capacity once all that ends within this time has ended: lasting tasks stay, and those that are known to
 * run for longer. INT64_MAX: only lasting tasks stay. */
Resources forecast_capacity(const Pass *pass, size_t worker, int64_t within_ms);
/* The number of tasks of the step and turn that stay on the worker, in the same sense. */
size_t forecast_staying_tasks(const Pass *pass, size_t worker, const Job *job, uint64_t step, uint64_t turn,
                              int64_t within_ms);

#endif
