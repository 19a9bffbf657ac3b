#ifndef EXPLORE_SRC_MOMENT_H
#define EXPLORE_SRC_MOMENT_H

/* Steps of the protocol that acts of the adversary wait for (moment.c). */

#include "state.h"

/* Runs the function once: within MOMENT_LATE_MS of the next such step, or after most_ms. MOMENT_NONE: after most_ms. */
void moment_await(Explore *explore, Moment moment, int64_t most_ms, void (*run)(void *), void *arg);
/* Such a step has just happened. */
void moment_raise(Explore *explore, Moment moment);
/* Raises the moments of what a running node has just done. */
void moment_observe(Explore *explore, Node *node, const ReplicationInspection *window);

#endif
