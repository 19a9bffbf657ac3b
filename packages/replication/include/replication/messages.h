#ifndef REPLICATION_MESSAGES_H
#define REPLICATION_MESSAGES_H

#include "journal/record.h"

/* The messages of the replicated log, and the payloads of its own changes: packed shapes (wire/shape.h),
 * whose field names and order are part of the format on the wire and on disk.
 *
 * Common fields: term; holder, the disk of the leader of that term, or of the candidate for it (the holder of the
 * lock, see lock/lock.h); to, the disk of the node that the request is meant for, since an address does not identify a
 * voter: a node with a new disk may listen at the address of an earlier one. to 0: the sender is of an older release
 * that did not send it. */

#define DISK_ID_FIELDS(X) X(U64, disk, 0)
SHAPE(DiskId, DISK_ID_FIELDS)

/* The node of a voter when its disk became one: a hint for finding the node again. Only the disk identifies the
 * voter. */
#define VOTER_CONTROLLER_FIELDS(X) \
    X(U64, disk, 0)                \
    X(TXT, name, 0)                \
    X(TXT, zone, 0)                \
    X(TXT, address, 0)
SHAPE(VoterController, VOTER_CONTROLLER_FIELDS)

/* The list of voters by their places (Raft: the cluster configuration): the payload of a REPLICATION_CHANGE_VOTERS
 * entry, and of the record of the cluster's founding. Not the operators' configuration (config/config.h).
 * Invariants: disk 0 is a vacant place; of two lists that follow each other in the log, one has at
 * most one voter more than the other, and the same voters besides. */
#define VOTER_LIST_FIELDS(X) \
    X(LST, voters, DiskId)   \
    X(LST, controllers, VoterController)
SHAPE(VoterList, VOTER_LIST_FIELDS)

/* The payload of a REPLICATION_CHANGE_TERM entry, the first of each term and one for each change of the view: who
 * leads and which voters are in the view (replication.h). repair: committed changes may have been lost and are still to
 * be sent again; true until a REPLICATION_CHANGE_REPAIRED entry, also under later leaders.
 * Invariant: members are a majority of the voters, the leader one of them. */
#define TERM_RECORD_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(LST, members, DiskId)   \
    X(TXT, holder_id, 0)      \
    X(FLAG, repair, 0)
SHAPE(TermRecord, TERM_RECORD_FIELDS)

/* MESSAGE_PROPOSE (Raft: RequestVote): asks for the promise to take part in no lower term, and for the first
 * grant of the lease. term 0: a pre-vote (Raft), which asks for the answer only and changes nothing. */
#define PROPOSE_ASK_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(U64, to, 0)             \
    X(U64, log_term, 0)       \
    X(U64, log_index, 0) /* of the candidate's last entry */
SHAPE(ProposeAsk, PROPOSE_ASK_FIELDS)

/* What a voter or learner says of itself with each answer. */
#define VOTER_ANSWER_FIELDS(X)                                                          \
    X(U64, promised, 0)                                                                 \
    X(U64, holder, 0)                                                                   \
    X(FLAG, held, 0)    /* a lease that it granted runs */                              \
    X(U64, log_term, 0) /* of its last entry */                                         \
    X(U64, log_index, 0)                                                                \
    X(FLAG, restarted, 0)         /* it has restarted, and has been in no view since */ \
    X(U64, configuration_term, 0) /* of the last view in its log */                     \
    X(LST, configuration_members, DiskId)                                               \
    X(I64, wall_ms, 0)                                                                  \
    X(I64, sync_ms, 0)             /* how long its last sync took */                    \
    X(U64, reach, 0)               /* how many members have answered it lately */       \
    X(U64, snapshot_bytes_here, 0) /* bytes that have arrived of a snapshot sent in pieces */
SHAPE(VoterAnswer, VOTER_ANSWER_FIELDS)

/* MESSAGE_RENEW: the leader renews its lease, and sends the commit index, the log's clock and its member id.
 * MESSAGE_RELEASE: the leader gives its lease up. */
#define RENEW_ASK_FIELDS(X)                                                                                \
    X(U64, term, 0)                                                                                        \
    X(U64, holder, 0)                                                                                      \
    X(U64, commit_index, 0)                                                                                \
    X(I64, clock_ms, 0)                                                                                    \
    X(TXT, holder_id, 0)                                                                                   \
    X(U64, to, 0)                                                                                          \
    X(U64, next, 0)     /* in MESSAGE_RELEASE: the voter that is to stand for election at once; 0: none */ \
    X(I64, grant_ms, 0) /* ms; the grant that the leader wants; 0: LOCK_GRANT_MS */
SHAPE(RenewAsk, RENEW_ASK_FIELDS)

/* MESSAGE_APPEND (Raft: AppendEntries): the entries after (prev_term, prev_index) of the leader's log. A voter that
 * has other entries at these indexes drops them and all later ones. Renews the lease as well. */
#define APPEND_ASK_FIELDS(X) \
    X(U64, term, 0)          \
    X(U64, holder, 0)        \
    X(U64, prev_term, 0)     \
    X(U64, prev_index, 0)    \
    X(U64, commit_index, 0)  \
    X(LST, entries, Record)  \
    X(U64, to, 0)            \
    X(I64, grant_ms, 0) /* as in MESSAGE_RENEW */
SHAPE(AppendAsk, APPEND_ASK_FIELDS)

/* MESSAGE_INSTALL_SNAPSHOT (Raft: InstallSnapshot). total 0: snapshot has the whole payload; else its payload is the
 * piece that begins at byte from, of total bytes, whose CRC together is checksum.
 * A voter whose log has all that the snapshot covers keeps its log, which may go further. over: appends found its log
 * to be of another history; then entries that its own snapshot covers count as had only when that snapshot is of the
 * same term or a later one. */
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

/* MESSAGE_LOG: a new leader asks a voter that has promised to it for the entries after the given one. */
#define LOG_ASK_FIELDS(X)  \
    X(U64, term, 0)        \
    X(U64, holder, 0)      \
    X(U64, after_term, 0)  \
    X(U64, after_index, 0) \
    X(U64, to, 0)
SHAPE(LogAsk, LOG_ASK_FIELDS)

/* whole: the voter does not have that entry, or one of another term, and sends its snapshot and all entries after
 * it. */
#define LOG_ANSWER_FIELDS(X) \
    X(FLAG, whole, 0)        \
    X(ONE, snapshot, Record) \
    X(LST, entries, Record)
SHAPE(LogAnswer, LOG_ANSWER_FIELDS)

#endif
