#ifndef JOURNAL_RECORD_H
#define JOURNAL_RECORD_H

#include "wire/shape.h"

/* The records of a journal. The numbers, the field names and their order are part of the on-disk format. Terms and
 * indexes are those of the replicated log unless a row says otherwise. */
#define RECORD_LIST(X)                                                                                          \
    X(IDENTITY, 1, "identity") /* the first record; term: format version; index: disk id; change 1: it          \
                                  replaced a corrupt journal; at_ms: generation of the file */                  \
    X(CLUSTER, 2, "cluster")   /* term: cluster id; payload: packed VoterList */                                \
    X(PROMISE, 3, "promise")   /* term: the promised term; index: the disk it was promised to */                \
    X(ENTRY, 4, "entry")       /* an entry of the replicated log */                                             \
    X(TRIM, 5, "trim")         /* all entries after index are dropped */                                        \
    X(SNAPSHOT, 6, "snapshot") /* the state as of index; it replaces all entries up to there */                 \
    X(COMMIT, 7, "commit")     /* entries up to index are committed; written by earlier releases only */        \
    X(SYNCED, 8, "synced")     /* in the hint only; term: synced size of the journal, in bytes; index: disk id; \
                                  at_ms: generation of the file */

/* The kind of a record. */
typedef enum RecordKind {
#define X(name, number, word) RECORD_##name = number,
    RECORD_LIST(X)
#undef X
} RecordKind;

/* One shape for all kinds, each of which uses the fields that it needs. at_ms: the log's clock when the entry or
 * snapshot was made; change: the number of an entry's change; name: that of the node, in the identity. */
#define RECORD_FIELDS(X) \
    X(U64, kind, 0)      \
    X(U64, term, 0)      \
    X(U64, index, 0)     \
    X(I64, at_ms, 0)     \
    X(U64, change, 0)    \
    X(TXT, name, 0)      \
    X(BIN, payload, 0)
SHAPE(Record, RECORD_FIELDS)

#endif
