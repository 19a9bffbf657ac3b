#ifndef MODEL_SRC_DOOR_H
#define MODEL_SRC_DOOR_H

#include "topology.h"

/* The platform's way of leading callers to entry points: it looks each second which
 * call themselves ready; two misses take one out until it is ready again. */
typedef struct Door {
    Topology *topology;
    int machine;
    int misses[EDGES_MAX];
} Door;

Door *door_new(void *mem, Topology *topology);
void door_start(Door *door);
/* Where a new connection of the zone is led to. */
TopologyNode *door_entry(const Door *door, RandomSource *random_source, const char *zone);

#endif
