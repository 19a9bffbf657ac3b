#ifndef REPLICATION_SRC_RECONFIGURE_H
#define REPLICATION_SRC_RECONFIGURE_H

#include "replication/replication.h"

/* Spawns the task that, at the leader, adds and removes voters until their number is as configured, by one committed
 * change of the list at a time (Raft: single-server membership changes). */
void reconfiguration_start(Replication *replication);

#endif
