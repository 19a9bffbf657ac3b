#ifndef REPLICATION_SRC_CLOCK_H
#define REPLICATION_SRC_CLOCK_H

#include "replication/replication.h"

/* The log's clock and the wall clock of the voters. Nothing here waits. */

/* An entry or snapshot of the log was made at clock_ms of the log's clock. */
void replication_clock_notify(Replication *replication, int64_t clock_ms);
/* The leader's clock shows clock_ms now: the own one is set to it, also backwards (but not below the log's times), or
 * what is due would be due early once this node leads. */
void replication_clock_set(Replication *replication, int64_t clock_ms);
/* The leader takes the median of the wall clocks that the voters have sent. */
void wall_take(Replication *replication);

#endif
