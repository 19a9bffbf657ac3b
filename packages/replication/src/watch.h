#ifndef REPLICATION_SRC_WATCH_H
#define REPLICATION_SRC_WATCH_H

#include "replication/replication.h"

/* Spawns the task that watches the lease and the view as a leader, and stands for election as
 * a voter that knows no leader. */
void replication_watch(Replication *replication);

#endif
