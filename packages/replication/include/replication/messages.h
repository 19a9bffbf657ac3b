#ifndef REPLICATION_MESSAGES_H
#define REPLICATION_MESSAGES_H

#include "journal/record.h"

/* The messages of the replicated log, and the payloads of its own changes: packed shapes (wire/shape.h),
 * whose field names and order are part of the format on the wire and on disk.
 *
 * Common fields: term, the term; holder, the disk of its leader or of who wants to lead; to, the disk
 * that the question is meant for. An address names nobody: a node with a new disk may stand where another
 * voter stood. to 0: an older release asks, which did not say. */

#define DISK_ID_FIELDS(X) X(U64, disk, 0)
SHAPE(DiskId, DISK_ID_FIELDS)

/* Where the node of a voter was when its disk was given the vote. It helps to find the node again; the disk
 * alone says who the voter is. */
#define VOTER_CONTROLLER_FIELDS(X) \
    X(U64, disk, 0)                \
    X(TXT, name, 0)                \
    X(TXT, zone, 0)                \
    X(TXT, address, 0)
SHAPE(VoterController, VOTER_CONTROLLER_FIELDS)

/* The list of voters, place by place: the payload of a REPLICATION_CHANGE_VOTERS entry, in the log from the founding
 * on (Raft: the cluster configuration).
 * Invariants: disk 0 is a place that nobody has; of two lists that follow each other in the log, one has at
 * most one voter more than the other, and the same voters besides. */
#define VOTER_LIST_FIELDS(X) \
    X(LST, voters, DiskId)   \
    X(LST, controllers, VoterController)
SHAPE(VoterList, VOTER_LIST_FIELDS)

/* The payload of a REPLICATION_CHANGE_TERM entry, the first of each term and one for each change of the view: who
 * leads and which voters are in the view. repair: committed changes may have been lost and are still to be
 * told again; it holds until a REPAIRED entry, whoever leads meanwhile.
 * Invariant: members are a majority of the voters, the leader one of them. */
#define TERM_RECORD_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(LST, members, DiskId)   \
    X(TXT, holder_id, 0)      \
    X(FLAG, repair, 0)
SHAPE(TermRecord, TERM_RECORD_FIELDS)

/* MESSAGE_PROPOSE (Raft: RequestVote): asks for the promise to take part in no lower term, and for the first
 * grant of the lease. term 0: only a look, which asks for an answer and nothing else. */
#define PROPOSE_ASK_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(U64, to, 0)             \
    X(U64, log_term, 0)       \
    X(U64, log_index, 0) /* of the asker's last entry */
SHAPE(ProposeAsk, PROPOSE_ASK_FIELDS)

/* What a voter or learner says of itself with each answer. */
#define VOTER_ANSWER_FIELDS(X)                                                                 \
    X(U64, promised, 0)                                                                        \
    X(U64, holder, 0)                                                                          \
    X(FLAG, held, 0)    /* a lease that it granted runs */                                     \
    X(U64, log_term, 0) /* of its last entry */                                                \
    X(U64, log_index, 0)                                                                       \
    X(FLAG, restarted, 0)         /* restarted, and no view has brought it up to date since */ \
    X(U64, configuration_term, 0) /* of the last view recorded */                              \
    X(LST, configuration_members, DiskId)                                                      \
    X(I64, wall_ms, 0)                                                                         \
    X(I64, sync_ms, 0)             /* how long its last sync took */                           \
    X(U64, reach, 0)               /* how many members have answered it of late */             \
    X(U64, snapshot_bytes_here, 0) /* bytes that it has of a snapshot that arrives in pieces */
SHAPE(VoterAnswer, VOTER_ANSWER_FIELDS)

/* MESSAGE_RENEW: renews the lease, and sends the commit index, the log's clock and the leader's name.
 * MESSAGE_RELEASE: gives the lease up. */
#define RENEW_ASK_FIELDS(X) \
    X(U64, term, 0)         \
    X(U64, holder, 0)       \
    X(U64, commit_index, 0) \
    X(I64, clock_ms, 0)     \
    X(TXT, holder_id, 0)    \
    X(U64, to, 0)           \
    X(U64, next, 0) /* in a release: the voter that is to stand at once; 0: none */
SHAPE(RenewAsk, RENEW_ASK_FIELDS)

/* MESSAGE_APPEND (Raft: AppendEntries): the entries after (prev_term, prev_index), of one leader's log. Where
 * the voter has others in their places, these and all after them are dropped. Renews the lease as well. */
#define APPEND_ASK_FIELDS(X) \
    X(U64, term, 0)          \
    X(U64, holder, 0)        \
    X(U64, prev_term, 0)     \
    X(U64, prev_index, 0)    \
    X(U64, commit_index, 0)  \
    X(LST, entries, Record)  \
    X(U64, to, 0)
SHAPE(AppendAsk, APPEND_ASK_FIELDS)

/* MESSAGE_INSTALL_SNAPSHOT (Raft: InstallSnapshot). total 0: the snapshot's payload is whole; else it is the piece that
 * begins at byte from, of total bytes, whose CRC together is checksum.
 * A voter that has all that the snapshot covers keeps its log, which may go further. over: its log was found
 * to be of another history: what its own snapshot covers does not count for that, unless that snapshot is as
 * new. */
#define INSTALL_SNAPSHOT_ASK_FIELDS(X) \
    X(U64, term, 0)                    \
    X(U64, holder, 0)                  \
    X(ONE, snapshot, Record)           \
    X(U64, commit_index, 0)            \
    X(U64, to, 0)                      \
    X(FLAG, over, 0)                   \
    X(U64, from, 0)                    \
    X(U64, total, 0)                   \
    X(U64, checksum, 0)
SHAPE(InstallSnapshotAsk, INSTALL_SNAPSHOT_ASK_FIELDS)

/* MESSAGE_LOG: a new leader asks a voter that has promised to it for its log after an entry. */
#define LOG_ASK_FIELDS(X)  \
    X(U64, term, 0)        \
    X(U64, holder, 0)      \
    X(U64, after_term, 0)  \
    X(U64, after_index, 0) \
    X(U64, to, 0)
SHAPE(LogAsk, LOG_ASK_FIELDS)

/* whole: that entry is not known there, or is of another history: the snapshot and all entries after it. */
#define LOG_ANSWER_FIELDS(X) \
    X(FLAG, whole, 0)        \
    X(ONE, snapshot, Record) \
    X(LST, entries, Record)
SHAPE(LogAnswer, LOG_ANSWER_FIELDS)

#endif
