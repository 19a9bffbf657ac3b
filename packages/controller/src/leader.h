/* What a controller may do as leader. */
#ifndef CONTROLLER_SRC_LEADER_H
#define CONTROLLER_SRC_LEADER_H

#include "state.h"

/* True if this node may make decisions now: it leads by its own clock, and no repair is in progress. Reports each such
 * moment to the simulator's observer (ControllerObserver). */
bool controller_may_decide(Controller *controller);
/* The time of the replicated log and the wall-clock time. */
QueueClock controller_clock(const Controller *controller);
/* Suspends the coroutine until a change is committed and delivered; see replication_submit. The packed change is
 * allocated on mem. */
Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result);
/* The longest time in ms, by this node's clock, that a lease granted by this or an earlier leader may still be
 * valid. */
int64_t controller_claim_ms(const Controller *controller);

#endif
