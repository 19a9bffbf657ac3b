#ifndef REPLICATION_MESSAGES_H
#define REPLICATION_MESSAGES_H

#include "journal/record.h"

#define DISK_ID_FIELDS(X) X(U64, disk, 0)
SHAPE(DiskId, DISK_ID_FIELDS)

/* Where the controller of a voter's disk stood when the voter was given. It helps to find
 * it again; the disk alone says whose the voter is. */
#define VOTER_CONTROLLER_FIELDS(X) \
    X(U64, disk, 0)                \
    X(TXT, name, 0)                \
    X(TXT, zone, 0)                \
    X(TXT, address, 0)
SHAPE(VoterController, VOTER_CONTROLLER_FIELDS)

/* Who holds the voters, place by place. Held in the log from the founding on.
 * Invariants: disk 0 is a place that nobody has; of two lists that follow each
 * other in the log, one has at most one voter more than the other, and the same
 * voters besides. */
#define VOTER_LIST_FIELDS(X) \
    X(LST, voters, DiskId)   \
    X(LST, controllers, VoterController)
SHAPE(VoterList, VOTER_LIST_FIELDS)

/* The first entry of each term: whose it is and which voters are in the view.
 * repair: committed changes may have been lost and are still to be told again;
 * it stands until a REPAIRED entry, whoever leads meanwhile.
 * Invariant: members are a majority of the voters and hold holder. */
#define TERM_RECORD_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(LST, members, DiskId)   \
    X(TXT, holder_id, 0)      \
    X(FLAG, repair, 0)
SHAPE(TermRecord, TERM_RECORD_FIELDS)

/* to, in all that is asked of a voter: the disk that it is meant for. An address
 * names nobody: a controller with a new disk may stand where another's voter stood. 0: an
 * older release asks, which did not say. */
#define PROPOSE_ASK_FIELDS(X) \
    X(U64, term, 0)           \
    X(U64, holder, 0)         \
    X(U64, to, 0)             \
    X(U64, log_term, 0)       \
    X(U64, log_index, 0) /* of the asking voter's last entry */
SHAPE(ProposeAsk, PROPOSE_ASK_FIELDS)

/* What a voter is, told with each answer. */
#define VOTER_ANSWER_FIELDS(X)                                                                 \
    X(U64, promised, 0)                                                                        \
    X(U64, holder, 0)                                                                          \
    X(FLAG, held, 0)    /* a lease it granted runs */                                          \
    X(U64, log_term, 0) /* of its last entry */                                                \
    X(U64, log_index, 0)                                                                       \
    X(FLAG, woke, 0)              /* restarted, and no view has brought it up to date since */ \
    X(U64, configuration_term, 0) /* of the last view recorded */                              \
    X(LST, configuration_members, DiskId)                                                      \
    X(I64, wall_ms, 0)                                                                         \
    X(I64, sync_ms, 0) /* its last sync took so long */                                        \
    X(U64, sight, 0)   /* members that have spoken to it of late */                            \
    X(U64, filled, 0)  /* bytes that it has of a snapshot that comes in pieces */
SHAPE(VoterAnswer, VOTER_ANSWER_FIELDS)

#define RENEW_ASK_FIELDS(X) \
    X(U64, term, 0)         \
    X(U64, holder, 0)       \
    X(U64, commit_index, 0) \
    X(I64, clock_ms, 0)     \
    X(TXT, holder_id, 0)    \
    X(U64, to, 0)           \
    X(U64, next, 0) /* in a release: the voter that is to propose itself at once; 0: none */
SHAPE(RenewAsk, RENEW_ASK_FIELDS)

/* Entries after (prev_term, prev_index). What the voter has beyond that and the
 * holder has not is trimmed. */
#define APPEND_ASK_FIELDS(X) \
    X(U64, term, 0)          \
    X(U64, holder, 0)        \
    X(U64, prev_term, 0)     \
    X(U64, prev_index, 0)    \
    X(U64, commit_index, 0)  \
    X(LST, entries, Record)  \
    X(U64, to, 0)
SHAPE(AppendAsk, APPEND_ASK_FIELDS)

/* total: 0, or the snapshot's payload is the piece that begins at from of so many bytes,
 * whose checksum together is told.
 * A voter that has what the snapshot stands for keeps its log, which may go further.
 * over: its log was found to be of another history: what lies under its own snapshot
 * does not count as that, unless that snapshot is as new. */
#define FILL_ASK_FIELDS(X)   \
    X(U64, term, 0)          \
    X(U64, holder, 0)        \
    X(ONE, snapshot, Record) \
    X(U64, commit_index, 0)  \
    X(U64, to, 0)            \
    X(FLAG, over, 0)         \
    X(U64, from, 0)          \
    X(U64, total, 0)         \
    X(U64, checksum, 0)
SHAPE(FillAsk, FILL_ASK_FIELDS)

/* Asks a voter for its log after an index. */
#define LOG_ASK_FIELDS(X)  \
    X(U64, term, 0)        \
    X(U64, holder, 0)      \
    X(U64, after_term, 0)  \
    X(U64, after_index, 0) \
    X(U64, to, 0)
SHAPE(LogAsk, LOG_ASK_FIELDS)

#define LOG_ANSWER_FIELDS(X) \
    X(FLAG, whole, 0)        \
    X(ONE, snapshot, Record) \
    X(LST, entries, Record)
SHAPE(LogAnswer, LOG_ANSWER_FIELDS)

#endif
