#ifndef STATE_CAPACITY_H
#define STATE_CAPACITY_H

/* Resource vectors (CPU, memory, GPUs) for the capacity of workers and the demand of tasks, and arithmetic on them.
 * Every package that places work or accounts for it uses them. No function here allocates, fails or suspends the
 * coroutine. */

#include "wire/shape.h"

/* An amount of each resource. A task fits on a worker when every component of its demand fits. */
#define RESOURCES_FIELDS(X)                              \
    X(U64, cpu_milli, 0) /* thousandths of a CPU core */ \
    X(U64, mem_mb, 0)    /* megabytes of main memory */  \
    X(U64, gpu, 0)       /* number of whole GPUs */
SHAPE(Resources, RESOURCES_FIELDS)

/* Returns whether need is at most free in every component. */
bool resources_fits(Resources need, Resources free);
/* Returns a - b; a component that would be negative becomes 0. */
Resources resources_subtract(Resources a, Resources b);
Resources resources_add(Resources a, Resources b);
/* Returns the component-wise maximum. */
Resources resources_max(Resources a, Resources b);
Resources resources_multiply(Resources each, uint64_t count);
bool resources_equal(Resources a, Resources b);
/* Returns the dominant share of whole that resources takes: the largest quotient resources / whole over all components,
 * in units of 1/scale, rounded down. A component of which whole has none counts as 0. Each component of resources
 * times scale must stay below 2^64. */
uint64_t resources_scaled_share(Resources resources, Resources whole, uint64_t scale);
/* Same as resources_scaled_share, in thousandths. */
uint64_t resources_share(Resources resources, Resources whole);

#endif
