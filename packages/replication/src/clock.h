#ifndef REPLICATION_SRC_CLOCK_H
#define REPLICATION_SRC_CLOCK_H

#include "replication/replication.h"

/* The log's clock, and the median of the voters' wall clocks. No function here suspends the coroutine. */

/* Notifies the log's clock that an entry or snapshot of the log is stamped with clock_ms: the clock must not be below
 * it. */
void replication_clock_notify(Replication *replication, int64_t clock_ms);
/* Sets the log's clock to clock_ms, the present reading at the leader. The clock may go backwards, though not below the
 * time stamps in the log: a clock that ran ahead would make timers fire too early once this node leads. */
void replication_clock_set(Replication *replication, int64_t clock_ms);
/* At the leader: recomputes the median of the wall clocks that the voters have reported. */
void wall_clock_update(Replication *replication);

#endif
