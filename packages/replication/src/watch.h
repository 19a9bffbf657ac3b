#ifndef REPLICATION_SRC_WATCH_H
#define REPLICATION_SRC_WATCH_H

#include "replication/replication.h"

/* Spawns the task that checks the lease, the disk and the view while this node leads, and that stands for election
 * while this node is a voter and knows no leader. */
void replication_watch_start(Replication *replication);

#endif
