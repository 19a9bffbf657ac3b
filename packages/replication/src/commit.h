#ifndef REPLICATION_SRC_COMMIT_H
#define REPLICATION_SRC_COMMIT_H

#include "replication/replication.h"

/* The commit index, and delivery to the state machine. No function here suspends the coroutine. */

/* At the leader: advances the commit index to what every voter in the view and a majority of all voters have synced. An
 * entry of an earlier term is committed only together with the first entry of this term (Raft, figure 8). */
void leader_commit_advance(Replication *replication);
/* At a follower: takes over the commit index of the leader of the promised term, as far as the local log is known to
 * match the leader's log, and delivers. */
void follower_commit_advance(Replication *replication, uint64_t leader_commit);
/* Delivers all committed entries that have not been delivered yet, completes the submissions that await them, and makes
 * a snapshot if one is due. */
void replication_deliver(Replication *replication);
/* Completes all waiting submissions with this status. */
void replication_waiters_end(Replication *replication, Status status);

#endif
