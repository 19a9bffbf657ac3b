#ifndef REPLICATION_SRC_VOTER_H
#define REPLICATION_SRC_VOTER_H

#include "replication/replication.h"

/* The part of a voter or learner: what it promises, and the log that it keeps. OK is returned
 * only once all that is answered for is synced on the own disk. */

/* --- promises (promise.c) --- */

/* Waits for the disk. Promises the term to the asking node; term 0: only a pre-vote. NO_VOTER: the asking node or
 * this one is no voter; OLD_TERM, OTHER_HOLDER, RESTARTED: as lock_may_promise; DISK_FAILED. */
Status voter_propose(Replication *replication, const ProposeAsk *ask);
/* Whether the sender of an append or snapshot is the leader of the promised term or a higher
 * one. A higher one is promised, and its record added to records, which the caller must sync.
 * OLD_TERM, OTHER_HOLDER: it is not. */
Status leader_accept(Replication *replication, uint64_t term, uint64_t holder, Record *records, size_t *count);

/* --- the log (append.c, install_snapshot.c) --- */

/* Waits for the disk. Raft's AppendEntries. LOG_GAP: the log does not match at the entry before
 * these; OTHER_HISTORY: they would replace what is committed. */
Status voter_append(Replication *replication, const AppendAsk *ask);
/* Refuses, with OTHER_HISTORY, a request to drop committed entries from index on; it is logged and counted. Only where
 * disks keep what they have synced. */
Status history_refuse(Replication *replication, uint64_t index);
/* Waits for the disk. Raft's InstallSnapshot, whole or one piece. Statuses of snapshot_piece_take and leader_accept. */
Status voter_install_snapshot(Replication *replication, const InstallSnapshotAsk *ask);
/* Waits for the disk. Puts the snapshot and what follows it in the place of the whole log, in
 * one write. */
Status voter_replace(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count);
/* Takes a snapshot or a piece of one. OK: whole is the complete snapshot, its payload owned by ask or by
 * incoming_snapshot; BUSY: more pieces must come; LOG_GAP: another piece is wanted; BAD_FRAME: a length or the
 * checksum is wrong. */
Status snapshot_piece_take(Replication *replication, const InstallSnapshotAsk *ask, Record *whole);
/* Forgets the pieces that have arrived. */
void snapshot_piece_drop(Replication *replication);
/* How many bytes of a snapshot have arrived. */
uint64_t snapshot_piece_count(const Replication *replication);

#endif
