#ifndef REPLICATION_SRC_REPLICATE_H
#define REPLICATION_SRC_REPLICATE_H

#include "replication/replication.h"

/* Replication by a leader (Raft: AppendEntries). */

/* Spawns the task that syncs the leader's own journal. */
void local_sync_start(Replication *replication);
/* Spawns the task that keeps the log of the peer at the slot up to date; does nothing for this node's own
 * position in the list. */
void peer_replication_start(Replication *replication, int slot);

#endif
