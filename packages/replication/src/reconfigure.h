#ifndef REPLICATION_SRC_RECONFIGURE_H
#define REPLICATION_SRC_RECONFIGURE_H

#include "replication/replication.h"

/* Spawns the task by which the leader keeps the number of voters wanted, one committed change
 * of the list at a time (Raft: single-server membership changes). */
void voters_start(Replication *replication);

#endif
