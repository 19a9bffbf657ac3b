#ifndef REPLICATION_SRC_COMMIT_H
#define REPLICATION_SRC_COMMIT_H

#include "replication/replication.h"

/* Commit index and delivery. Nothing here waits. */

/* The leader commits what every voter in the view, and a majority of all voters, has synced. An
 * entry of an earlier term is committed only together with the first of this term (Raft,
 * figure 8). */
void lead_commit(Replication *replication);
/* At a follower, when the leader of the promised term has sent its commit index: commits as far as the own log is
 * known to equal the leader's, and delivers. */
void commit_follow(Replication *replication, uint64_t leader_commit);
/* Delivers to the state machine what is committed and not delivered yet, ends the submissions that wait for it, and
 * makes a snapshot where one is due. */
void replication_deliver(Replication *replication);
/* Ends all waiting submissions with this status. */
void replication_waiters_end(Replication *replication, Status status);

#endif
