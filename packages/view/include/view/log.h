#ifndef VIEW_LOG_H
#define VIEW_LOG_H

#include "journal/record.h"

/* The ordered log in memory: a snapshot and the entries after it.
 * Invariant: entry i (from 0) has index base_index + 1 + i; epochs never fall
 * along the log. */
typedef struct Log {
    Record snapshot; /* kind 0 while there is none; else its index is base_index */
    uint64_t base_epoch, base_index;
    Record *entries; /* each owned by the log */
    void **owners;
    size_t count, room;
    size_t bytes; /* payloads of the entries */
} Log;

Log *log_new(void *mem);
uint64_t log_last_index(const Log *log);
uint64_t log_last_epoch(const Log *log);
/* Null when the index is not among the entries. */
const Record *log_at(const Log *log, uint64_t index);
/* The epoch of the entry at index, also of the base; false when not known. */
bool log_epoch_at(const Log *log, uint64_t index, uint64_t *epoch);
void log_add(Log *log, const Record *entry);
/* Takes the next entry that a journal tells. One told again changes nothing; one of another
 * epoch at an index that is there replaces it and all after it. JOURNAL_CORRUPT: entries
 * before it are missing, or its epoch is lower than theirs. */
Status log_take(Log *log, const Record *entry);
/* Drops all entries after index. */
void log_trim(Log *log, uint64_t index);
/* Puts the snapshot in the place of all entries up to its index. */
void log_rebase(Log *log, const Record *snapshot);

#endif
