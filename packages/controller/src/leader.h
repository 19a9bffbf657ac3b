#ifndef CONTROLLER_SRC_LEADER_H
#define CONTROLLER_SRC_LEADER_H

#include "state.h"

/* Whether this node leads, by its clock, and has all that was told: it may decide now. Tells the watcher of
 * proofs so. */
bool controller_decides(Controller *controller);
/* The log's time and the wall clock. */
QueueClock controller_clock(const Controller *controller);
/* Waits. Has a change committed and delivered, as replication_submit. What is packed lives on mem. */
Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result);
/* ms; how long any lease runs that this or an earlier leader may have granted, by the own clock. */
int64_t controller_claim_ms(const Controller *controller);

#endif
