#ifndef REPLICATION_SRC_REPLICATE_H
#define REPLICATION_SRC_REPLICATE_H

#include "replication/replication.h"

/* Replication under a leader (Raft: AppendEntries). */

/* Spawns the task that syncs the leader's own journal. */
void lead_local(Replication *replication);
/* Spawns the task that keeps the log of the peer at the slot up to date; none for this node's own place. */
void lead_peer(Replication *replication, int slot);

#endif
