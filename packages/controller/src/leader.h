#ifndef CONTROLLER_SRC_LEADER_H
#define CONTROLLER_SRC_LEADER_H

#include "state.h"

/* Whether this node may decide now: it leads, by its clock, and no repair is under way. Reports each such moment to
 * the simulator's watcher (ControllerWatch). */
bool controller_decides(Controller *controller);
/* The log's time and the wall clock. */
QueueClock controller_clock(const Controller *controller);
/* Waits. Has a change committed and delivered, as replication_submit. What is packed lives on mem. */
Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result);
/* ms; the longest time, by the own clock, that a lease granted by this or an earlier leader may still run. */
int64_t controller_claim_ms(const Controller *controller);

#endif
