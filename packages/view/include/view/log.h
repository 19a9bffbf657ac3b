#ifndef VIEW_LOG_H
#define VIEW_LOG_H

#include "journal/record.h"

/* The ordered log in memory: a snapshot and the entries after it.
 * Invariant: entry i (from 0) has index baseIndex + 1 + i; epochs never fall
 * along the log. */
typedef struct Log {
    Record snapshot; /* kind 0 while there is none; else its index is baseIndex */
    uint64_t baseEpoch, baseIndex;
    Record *entries; /* each owned by the log */
    void **owners;
    size_t count, room;
    size_t bytes; /* payloads of the entries */
} Log;

Log *logNew(void *mem);
uint64_t logLastIndex(const Log *log);
uint64_t logLastEpoch(const Log *log);
/* Null when the index is not among the entries. */
const Record *logAt(const Log *log, uint64_t index);
/* The epoch of the entry at index, also of the base; false when not known. */
bool logEpochAt(const Log *log, uint64_t index, uint64_t *epoch);
void logAdd(Log *log, const Record *entry);
/* Takes the next entry that a journal tells. One told again changes nothing; one of another
 * epoch at an index that is there replaces it and all after it. JOURNAL_CORRUPT: entries
 * before it are missing, or its epoch is lower than theirs. */
Status logTake(Log *log, const Record *entry);
/* Drops all entries after index. */
void logTrim(Log *log, uint64_t index);
/* Puts the snapshot in the place of all entries up to its index. */
void logRebase(Log *log, const Record *snapshot);

#endif
