#ifndef EXPLORE_SRC_MOMENT_H
#define EXPLORE_SRC_MOMENT_H

/* Moments: steps of the protocol at which acts of the adversary can begin or end (moment.c). */

#include "state.h"

/* Schedules one call of run(arg): up to MOMENT_DELAY_MAX_MS after the next such moment, or after max_wait_ms if the
 * moment has not come by then. For MOMENT_NONE: after max_wait_ms. */
void moment_await(Explore *explore, Moment moment, int64_t max_wait_ms, void (*run)(void *), void *arg);
/* Signals that the moment has just occurred: schedules the calls that wait for it. */
void moment_raise(Explore *explore, Moment moment);
/* Detects the moments in the node's latest step from its inspection, and raises them. */
void moment_observe(Explore *explore, Node *node, const ReplicationInspection *inspection);

#endif
