#ifndef REPLICATION_LOG_H
#define REPLICATION_LOG_H

#include "journal/record.h"

/* The log in memory: a snapshot, and the entries after it. Used by the voters and learners of the replicated log, and
 * read by the checkers of its safety properties (window.h). Nothing here waits. Invariants: entry i (from 0) has index
 * base_index + 1 + i; terms never fall along the log. */
typedef struct Log {
    Record snapshot; /* kind 0 while there is none; else its index is base_index */
    uint64_t base_term, base_index;
    Record *entries;        /* in order */
    void **owners;          /* the talloc parent of each entry's payload */
    size_t count, capacity; /* entries; how many there is memory for */
    size_t bytes;           /* payloads of the entries */
} Log;

/* An empty log on mem. */
Log *log_new(void *mem);
/* The index of the last entry, or of the snapshot. */
uint64_t log_last_index(const Log *log);
/* The term of the last entry, or of the snapshot. */
uint64_t log_last_term(const Log *log);
/* The entry at the index, owned by the log; null when it is not among the entries. */
const Record *log_at(const Log *log, uint64_t index);
/* The term of the entry at the index, also of the snapshot's last; false when it is not known. */
bool log_term_at(const Log *log, uint64_t index, uint64_t *term);
/* Adds a copy of the next entry; its index must be the one after the last. */
void log_add(Log *log, const Record *entry);
/* Takes the next entry that is read from a journal. One that is read again changes nothing; one of
 * another term at an index that is there replaces that entry and all after it. JOURNAL_CORRUPT: entries
 * before it are missing, or its term is lower than theirs. */
Status log_take(Log *log, const Record *entry);
/* Drops all entries after the index. */
void log_trim(Log *log, uint64_t index);
/* Puts a copy of the snapshot in the place of all entries up to its index. */
void log_rebase(Log *log, const Record *snapshot);

#endif
