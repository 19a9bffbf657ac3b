#ifndef REPLICATION_SRC_VOTER_H
#define REPLICATION_SRC_VOTER_H

#include "replication/replication.h"

/* The role of a voter or learner: its promises, and the log that it keeps. OK is returned only after everything that
 * the answer acknowledges has been synced to this node's disk. */

/* --- promises (promise.c) --- */

/* Suspends the coroutine for disk I/O. Promises the term to the candidate; term 0: a pre-vote only. NO_VOTER: the
 * candidate or this node is not a voter; OLD_TERM, OTHER_HOLDER, RESTARTED: as in lock_may_promise; DISK_FAILED. */
Status voter_propose(Replication *replication, const ProposeAsk *ask);
/* Checks that the sender of an append or snapshot is the leader of the promised term or of a higher one. A higher term
 * is promised, and the record of the promise is added to records, which the caller must sync. OLD_TERM, OTHER_HOLDER:
 * the sender is not that leader. */
Status leader_accept(Replication *replication, uint64_t term, uint64_t holder, Record *records, size_t *count);

/* --- the log (append.c, install_snapshot.c) --- */

/* Suspends the coroutine for disk I/O. Handles Raft's AppendEntries. LOG_GAP: the log does not match at the entry
 * before these; OTHER_HISTORY: they would replace committed entries. */
Status voter_append(Replication *replication, const AppendAsk *ask);
/* Refuses a request to drop committed entries from index on: counts and logs it, and returns OTHER_HISTORY. Only for
 * disks that keep what they have synced. */
Status history_conflict_refuse(Replication *replication, uint64_t index);
/* Suspends the coroutine for disk I/O. Handles Raft's InstallSnapshot, with the complete snapshot or one piece. Returns
 * the statuses of snapshot_piece_accept and leader_accept. */
Status voter_install_snapshot(Replication *replication, const InstallSnapshotAsk *ask);
/* Suspends the coroutine for disk I/O. Replaces the entire log by the snapshot and the entries after it, in one
 * write. */
Status log_replace_all(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count);
/* Accepts a snapshot or a piece of one. OK: *whole is the complete snapshot, its payload owned by ask or by
 * incoming_snapshot; BUSY: more pieces are needed; LOG_GAP: a different piece is expected; BAD_FRAME: a length or the
 * checksum is wrong. */
Status snapshot_piece_accept(Replication *replication, const InstallSnapshotAsk *ask, Record *whole);
/* Discards the pieces received so far. */
void snapshot_piece_drop(Replication *replication);
/* The number of bytes received of an incoming snapshot. */
uint64_t snapshot_piece_count(const Replication *replication);

#endif
