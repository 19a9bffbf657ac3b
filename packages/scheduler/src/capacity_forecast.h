#ifndef SCHEDULER_SRC_CAPACITY_FORECAST_H
#define SCHEDULER_SRC_CAPACITY_FORECAST_H

#include "pass.h"

/* ms; how long the task, on the worker of that index, should still take; INT64_MAX: unknown. */
int64_t forecast_left_ms(const Pass *pass, const Job *job, const JobTask *task, size_t worker);
/* ms from now, when the worker of that index should have so much free; 0: now, INT64_MAX: unknown. */
int64_t forecast_free_ms(const Pass *pass, size_t worker, Resources need);

#endif
