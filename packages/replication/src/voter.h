#ifndef REPLICATION_SRC_VOTER_H
#define REPLICATION_SRC_VOTER_H

#include "replication/replication.h"

/* The part of a voter or learner: what it promises, and the log that it keeps. OK is returned
 * only once all that is answered for is synced on the own disk. */

/* --- promises (promise.c) --- */

/* Waits for the disk. A promise of the term to the asking node, or only a look (term 0).
 * NO_VOTER: asker or asked is no voter; OLD_TERM, OTHER_HOLDER and others of lock_may_promise:
 * promised or leased to another; DISK_FAILED. */
Status voter_propose(Replication *replication, const ProposeAsk *ask);
/* Whether the sender of an append or snapshot is the leader of the promised term or a higher
 * one. A higher one is promised, and its record added to records, which the caller must sync.
 * OLD_TERM, OTHER_HOLDER: it is not. */
Status holder_take(Replication *replication, uint64_t term, uint64_t holder, Record *records, size_t *count);

/* --- the log (append.c, install.c, serve.c) --- */

/* Waits for the disk. Raft's AppendEntries. LOG_GAP: the log does not match at the entry before
 * these; OTHER_HISTORY: they would replace what is committed. */
Status voter_append(Replication *replication, const AppendAsk *ask);
/* An order to drop what is committed, from index on: logged, counted and refused with
 * OTHER_HISTORY. Only where disks keep what they have synced. */
Status history_refuse(Replication *replication, uint64_t index);
/* Waits for the disk. Raft's InstallSnapshot, whole or by a piece. Statuses of snapshot_piece_take. */
Status voter_install_snapshot(Replication *replication, const InstallSnapshotAsk *ask);
/* Waits for the disk. Puts the snapshot and what follows it in the place of the whole log, in
 * one write. */
Status voter_replace(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count);
/* Takes a snapshot or a piece of one. OK: whole is all of it, its payload owned by the ask or by
 * view->filling; BUSY: more must come; LOG_GAP: another piece is wanted; BAD_FRAME: it is
 * spoilt. */
Status snapshot_piece_take(Replication *replication, const InstallSnapshotAsk *ask, Record *whole);
/* Forgets the pieces that have arrived. */
void snapshot_piece_drop(Replication *replication);
/* How many bytes of a snapshot have arrived. */
uint64_t snapshot_piece_count(const Replication *replication);

#endif
