#ifndef STATE_CAPACITY_H
#define STATE_CAPACITY_H

/* The capacity of workers and the demand of tasks, as vectors of resources, and their
 * arithmetic. Every package that places or counts work uses it. No function here
 * allocates, fails or waits. */

#include "wire/shape.h"

/* A task fits where each component of its demand fits. */
#define RESOURCES_FIELDS(X)                              \
    X(U64, cpu_milli, 0) /* thousandths of a CPU core */ \
    X(U64, mem_mb, 0)    /* megabytes of main memory */  \
    X(U64, gpu, 0)       /* count; whole GPUs */
SHAPE(Resources, RESOURCES_FIELDS)

/* Whether need is at most free in every component. */
bool resources_fits(Resources need, Resources free);
/* a - b; a component of which b has more becomes 0. */
Resources resources_less(Resources a, Resources b);
Resources resources_more(Resources a, Resources b);
/* The larger of both in each component. */
Resources resources_largest(Resources a, Resources b);
Resources resources_times(Resources each, uint64_t count);
bool resources_same(Resources a, Resources b);
/* The largest of the components' parts of whole, in 1/scale; a component that whole
 * lacks counts as 0. Each component times scale must stay below 2^64. */
uint64_t resources_part(Resources resources, Resources whole, uint64_t scale);
/* As resources_part, in thousandths. */
uint64_t resources_share(Resources resources, Resources whole);

#endif
