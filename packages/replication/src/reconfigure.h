#ifndef REPLICATION_SRC_RECONFIGURE_H
#define REPLICATION_SRC_RECONFIGURE_H

#include "replication/replication.h"

/* Spawns the task by which the leader adds and removes voters until there are as many as wanted, one committed change
 * of the list at a time (Raft: single-server membership changes). */
void voters_start(Replication *replication);

#endif
