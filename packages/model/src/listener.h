#ifndef MODEL_SRC_LISTENER_H
#define MODEL_SRC_LISTENER_H

#include "topology.h"

/* The platform's load balancer for entry points: a health check (readiness) of each every second; two misses in a
 * row eject one until it is ready again. */
typedef struct Listener {
    Topology *topology;
    int machine;
    int misses[SERVERS_MAX];
} Listener;

Listener *listener_new(void *mem, Topology *topology);
void listener_start(Listener *listener);
/* The entry point that a new connection from the zone gets. */
TopologyNode *listener_entry(const Listener *listener, RandomSource *random_source, const char *zone);

#endif
