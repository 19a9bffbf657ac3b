#ifndef STATE_CAPACITY_H
#define STATE_CAPACITY_H

/* Capacity of workers and demand of tasks, as a vector of resources, and its
 * arithmetic. Every package that places or counts work uses it. No function here
 * allocates, fails or waits. */

#include "wire/shape.h"

/* A task fits where each component of its demand fits. */
#define ROOM_FIELDS(X)                                         \
    X(U64, cpu_milli, 0) /* thousandths of a CPU controller */ \
    X(U64, mem_mb, 0)    /* megabytes of main memory */        \
    X(U64, gpu, 0)       /* count; whole GPUs */
SHAPE(Room, ROOM_FIELDS)

/* Whether need is at most free in every component. */
bool room_fits(Room need, Room free);
/* a - b; a component of which b has more becomes 0. */
Room room_less(Room a, Room b);
Room room_more(Room a, Room b);
/* The larger of both in each component. */
Room room_largest(Room a, Room b);
Room room_times(Room each, uint64_t count);
bool room_same(Room a, Room b);
/* The largest of the components' parts of whole, in 1/scale; a component that whole
 * lacks counts as 0. room.component * scale must stay below 2^64. */
uint64_t room_part(Room room, Room whole, uint64_t scale);
/* As room_part, in thousandths. */
uint64_t room_share(Room room, Room whole);

#endif
