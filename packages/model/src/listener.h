#ifndef MODEL_SRC_LISTENER_H
#define MODEL_SRC_LISTENER_H

#include "topology.h"

/* The platform's load balancer for entry points. Each entry point is checked for readiness every second; two
 * consecutive failures eject it until it is ready again. */
typedef struct Listener {
    Topology *topology;
    int machine;
    int misses[SERVERS_MAX];
} Listener;

Listener *listener_new(void *mem, Topology *topology);
/* Starts the health checks. */
void listener_start(Listener *listener);
/* Chooses the entry point for a new connection from the zone. */
TopologyNode *listener_entry(const Listener *listener, RandomSource *random_source, const char *zone);

#endif
