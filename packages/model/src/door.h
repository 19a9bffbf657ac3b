#ifndef MODEL_SRC_DOOR_H
#define MODEL_SRC_DOOR_H

#include "topology.h"

/* The platform's load balancer for entry points: a health check (readiness) of each every second; two misses in a
 * row eject one until it is ready again. */
typedef struct Door {
    Topology *topology;
    int machine;
    int misses[EDGES_MAX];
} Door;

Door *door_new(void *mem, Topology *topology);
void door_start(Door *door);
/* The entry point that a new connection from the zone gets. */
TopologyNode *door_entry(const Door *door, RandomSource *random_source, const char *zone);

#endif
