#ifndef REPLICATION_LOG_H
#define REPLICATION_LOG_H

#include "journal/record.h"

/* The in-memory log: a snapshot and the entries after it. Used by the voters and learners of the replicated log, and
 * read by the checkers of its safety properties (inspection.h). No function here suspends the coroutine.
 * Invariants: entries[i] has index base_index + 1 + i; terms never decrease along the log. */
typedef struct Log {
    Record snapshot;                /* its index is base_index; kind 0: there is no snapshot */
    uint64_t base_term, base_index; /* of the last entry that the snapshot covers */
    Record *entries;                /* in index order */
    void **owners;                  /* the talloc context that owns each entry's payload */
    size_t count, capacity;         /* number of entries; number of entries allocated */
    size_t bytes;                   /* total size of the entries' payloads */
} Log;

/* Returns an empty log allocated on mem. */
Log *log_new(void *mem);
/* The index of the last entry, or that of the snapshot if there are no entries. */
uint64_t log_last_index(const Log *log);
/* The term of the last entry, or that of the snapshot if there are no entries. */
uint64_t log_last_term(const Log *log);
/* The entry at the index, owned by the log; NULL if the log has no such entry. */
const Record *log_at(const Log *log, uint64_t index);
/* Sets *term to the term of the entry at the index, which may be the last one that the snapshot covers. Returns false
 * if the term is not known. */
bool log_term_at(const Log *log, uint64_t index, uint64_t *term);
/* Appends a copy of the entry; its index must be log_last_index + 1. */
void log_add(Log *log, const Record *entry);
/* Adds an entry that was read from a journal. An entry that the log already has changes nothing; an entry of another
 * term at an existing index replaces that entry and all later ones. JOURNAL_CORRUPT: entries before it are missing, or
 * its term is lower than theirs. */
Status log_recover(Log *log, const Record *entry);
/* Drops all entries after the index. */
void log_trim(Log *log, uint64_t index);
/* Replaces all entries up to the snapshot's index by a copy of the snapshot. */
void log_rebase(Log *log, const Record *snapshot);

#endif
