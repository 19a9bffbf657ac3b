#ifndef SCHEDULER_SRC_CAPACITY_FORECAST_H
#define SCHEDULER_SRC_CAPACITY_FORECAST_H

#include "pass.h"

/* Remaining run time, in ms, of the task on the worker with that index; INT64_MAX: unknown. */
int64_t forecast_left_ms(const Pass *pass, const Job *job, const JobTask *task, size_t worker);
/* Time, in ms from now, until the worker with that index has the needed capacity free; 0: now, INT64_MAX: unknown. */
int64_t forecast_free_ms(const Pass *pass, size_t worker, Resources need);

#endif
