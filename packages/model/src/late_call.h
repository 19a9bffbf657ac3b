#ifndef MODEL_SRC_LATE_CALL_H
#define MODEL_SRC_LATE_CALL_H

/* Late calls: a call is held up on its way and arrives seconds later, after those that were sent since, whatever
 * happens to its sender and its receiver meanwhile. Nobody hears the answer. Each call is held up by itself, unlike
 * those on a link that is cut. */

#include "topology.h"

/* Called when the call arrives, just before it is delivered. */
typedef void (*LateCallFn)(void *arg, int64_t late_ms);

/* Starts the process that delivers late calls, if the site has any. */
void late_calls_start(Topology *topology);
/* Delivers a copy of the call after late_ms. arg must outlive the day. */
void late_call_send(Topology *topology, const HttpCall *call, int64_t late_ms, LateCallFn on_arrival, void *arg);

#endif
