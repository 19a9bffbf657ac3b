#ifndef REPLICATION_MESSAGES_H
#define REPLICATION_MESSAGES_H

#include "journal/record.h"

/* The messages of the replicated log, and the payloads of the changes that it submits itself. All are packed shapes
 * (wire/shape.h), whose field names and order are part of the wire format and the on-disk format.
 *
 * Common fields:
 *  - term: the term in which the request is sent;
 *  - holder: the disk of the leader of that term, or of the candidate for it (the holder of the lock, see lock/lock.h);
 *  - to: the disk of the node that the request is addressed to. The address alone does not identify a voter, because a
 *    node with a new disk may listen at the address of a former one. 0: the sender runs an older release, which did not
 *    send this field. */

/* One disk. */
#define DISK_ID_FIELDS(X) X(U64, disk, 0)
SHAPE(DiskId, DISK_ID_FIELDS)

/* The node that had the voter's disk when the disk became a voter: a hint for finding the node again. Only the disk
 * identifies the voter. */
#define VOTER_CONTROLLER_FIELDS(X) \
    X(U64, disk, 0)                \
    X(TXT, name, 0)                \
    X(TXT, zone, 0)                \
    X(TXT, address, 0)
SHAPE(VoterController, VOTER_CONTROLLER_FIELDS)

/* The list of voters by position (Raft: the cluster configuration): the payload of a REPLICATION_CHANGE_VOTERS entry,
 * and of the journal record of the cluster's founding. Unrelated to the operators' configuration (config/config.h).
 * Invariants: disk 0 marks a vacant position; of two consecutive lists in the log, one has at most one voter more than
 * the other and otherwise the same voters. */
#define VOTER_LIST_FIELDS(X) \
    X(LST, voters, DiskId)   \
    X(LST, controllers, VoterController)
SHAPE(VoterList, VOTER_LIST_FIELDS)

/* The payload of a REPLICATION_CHANGE_TERM entry, which opens each term and records each change of the view: the leader
 * and the voters in the view (replication.h). holder_id: the member id of the leader's process. repair: committed
 * changes may have been lost and have yet to be sent again; it stays true until a REPLICATION_CHANGE_REPAIRED entry,
 * also under later leaders.
 * Invariant: members are a majority of the voters and include the leader. */
#define TERM_RECORD_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(LST, members, DiskId)   \
    X(TXT, holder_id, 0)      \
    X(FLAG, repair, 0)
SHAPE(TermRecord, TERM_RECORD_FIELDS)

/* MESSAGE_PROPOSE (Raft: RequestVote): requests the promise to take part in no lower term, and the first grant of the
 * lease. log_term, log_index: of the candidate's last entry. term 0: a pre-vote (Raft), which only requests the answer
 * and changes nothing. */
#define PROPOSE_ASK_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(U64, to, 0)             \
    X(U64, log_term, 0)       \
    X(U64, log_index, 0)
SHAPE(ProposeAsk, PROPOSE_ASK_FIELDS)

/* The state that a voter or learner reports with each answer. promised, holder: the term that it has promised, and to
 * which disk. */
#define VOTER_ANSWER_FIELDS(X)                                                         \
    X(U64, promised, 0)                                                                \
    X(U64, holder, 0)                                                                  \
    X(FLAG, held, 0)    /* a lease that it granted has not expired */                  \
    X(U64, log_term, 0) /* of its last entry */                                        \
    X(U64, log_index, 0)                                                               \
    X(FLAG, restarted, 0)         /* it has restarted and has been in no view since */ \
    X(U64, configuration_term, 0) /* of the last view in its log */                    \
    X(LST, configuration_members, DiskId)                                              \
    X(I64, wall_ms, 0)                                                                 \
    X(I64, sync_ms, 0)             /* duration of its last sync, in ms */              \
    X(U64, reach, 0)               /* number of members that answered it recently */   \
    X(U64, snapshot_bytes_here, 0) /* bytes received of a snapshot sent in pieces */
SHAPE(VoterAnswer, VOTER_ANSWER_FIELDS)

/* MESSAGE_RENEW: the leader renews its lease and sends the commit index, the log's clock and its member id.
 * MESSAGE_RELEASE: the leader releases its lease. */
#define RENEW_ASK_FIELDS(X)                                                                                    \
    X(U64, term, 0)                                                                                            \
    X(U64, holder, 0)                                                                                          \
    X(U64, commit_index, 0)                                                                                    \
    X(I64, clock_ms, 0)                                                                                        \
    X(TXT, holder_id, 0)                                                                                       \
    X(U64, to, 0)                                                                                              \
    X(U64, next, 0)     /* in MESSAGE_RELEASE: the voter that shall stand for election immediately; 0: none */ \
    X(I64, grant_ms, 0) /* requested duration of the grant, in ms; 0: LOCK_GRANT_MS */
SHAPE(RenewAsk, RENEW_ASK_FIELDS)

/* MESSAGE_APPEND (Raft: AppendEntries): the entries of the leader's log after (prev_term, prev_index). A voter that has
 * different entries at these indexes drops them and all later ones. An append also renews the lease. */
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

/* MESSAGE_INSTALL_SNAPSHOT (Raft: InstallSnapshot). total 0: snapshot carries the complete payload. Otherwise its
 * payload is the piece that begins at byte from, of total bytes whose CRC is checksum. A voter whose log already has
 * everything that the snapshot covers keeps its log, which may be longer. over: appends have found the voter's log to
 * diverge from the leader's; entries covered by the voter's own snapshot then count as present only if that snapshot is
 * of the same term or a later one. */
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

/* MESSAGE_LOG: a new leader requests the entries after the given one from a voter that has promised the term to it. */
#define LOG_ASK_FIELDS(X)  \
    X(U64, term, 0)        \
    X(U64, holder, 0)      \
    X(U64, after_term, 0)  \
    X(U64, after_index, 0) \
    X(U64, to, 0)
SHAPE(LogAsk, LOG_ASK_FIELDS)

/* whole: the voter does not have that entry, or has one of another term there, and therefore sends its snapshot and all
 * entries after it. */
#define LOG_ANSWER_FIELDS(X) \
    X(FLAG, whole, 0)        \
    X(ONE, snapshot, Record) \
    X(LST, entries, Record)
SHAPE(LogAnswer, LOG_ANSWER_FIELDS)

#endif
