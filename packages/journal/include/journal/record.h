#ifndef JOURNAL_RECORD_H
#define JOURNAL_RECORD_H

#include "wire/shape.h"

/* The records of a journal. Numbers, field names and their order are part of the format on disk. Terms and indexes are
 * those of the replicated log, but where a row says otherwise. */
#define RECORD_LIST(X)                                                                                   \
    X(IDENTITY, 1, "identity") /* first record: format version, the disk's id; change 1: begun anew;     \
                                  at_ms: the generation of the file */                                   \
    X(CLUSTER, 2, "cluster")   /* term: cluster id; payload: packed VoterList */                         \
    X(PROMISE, 3, "promise")   /* term: the term promised; index: to which disk */                       \
    X(ENTRY, 4, "entry")       /* an entry of the replicated log */                                      \
    X(TRIM, 5, "trim")         /* all entries after index are dropped */                                 \
    X(SNAPSHOT, 6, "snapshot") /* the state after index; earlier entries are dropped */                  \
    X(COMMIT, 7, "commit")     /* entries up to index are committed; written by earlier releases only */ \
    X(SYNCED, 8, "synced")     /* in the hint alone: term: bytes of the journal that were synced; at_ms: generation */

typedef enum RecordKind {
#define X(name, number, word) RECORD_##name = number,
    RECORD_LIST(X)
#undef X
} RecordKind;

/* One shape for all kinds; each uses the fields that it needs. at_ms: of the log's clock, when the entry or snapshot
 * was made; change: the number of the change of an entry; name: of the node, in the identity. */
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
