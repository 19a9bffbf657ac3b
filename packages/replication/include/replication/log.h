#ifndef REPLICATION_LOG_H
#define REPLICATION_LOG_H

#include "journal/record.h"

/* The ordered log in memory: a snapshot and the entries after it.
 * Invariant: entry i (from 0) has index base_index + 1 + i; terms never fall
 * along the log. */
typedef struct Log {
    Record snapshot; /* kind 0 while there is none; else its index is base_index */
    uint64_t base_term, base_index;
    Record *entries; /* each owned by the log */
    void **owners;
    size_t count, room;
    size_t bytes; /* payloads of the entries */
} Log;

Log *log_new(void *mem);
uint64_t log_last_index(const Log *log);
uint64_t log_last_term(const Log *log);
/* Null when the index is not among the entries. */
const Record *log_at(const Log *log, uint64_t index);
/* The term of the entry at index, also of the base; false when not known. */
bool log_term_at(const Log *log, uint64_t index, uint64_t *term);
void log_add(Log *log, const Record *entry);
/* Takes the next entry that a journal tells. One told again changes nothing; one of another
 * term at an index that is there replaces it and all after it. JOURNAL_CORRUPT: entries
 * before it are missing, or its term is lower than theirs. */
Status log_take(Log *log, const Record *entry);
/* Drops all entries after index. */
void log_trim(Log *log, uint64_t index);
/* Puts the snapshot in the place of all entries up to its index. */
void log_rebase(Log *log, const Record *snapshot);

#endif
