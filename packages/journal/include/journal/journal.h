#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include "journal/record.h"
#include "loop/loop.h"

/* An append-only file of checksummed blocks; a block holds the records of one
 * sync and is the unit of tearing. Records of many tasks share a sync.
 *
 * Block: magic, length, checksum of those two, checksum of the body, body.
 * A bad block with no whole block after it is a torn tail and is cut off. A
 * bad block before a whole one is corruption, an error of its own. */
typedef struct Journal Journal;

/* A reader of all that was found, in order. */
typedef void (*JournalFn)(void *arg, const Record *record);

typedef struct JournalCounts {
    uint64_t syncs;
    uint64_t records;
    uint64_t rewrites;
    uint64_t bytes;        /* of the file now */
    uint64_t torn_bytes;   /* cut off at open */
    bool begun_anew;       /* in the place of one that was not whole, at this start or an earlier one */
    int64_t last_sync_ms;  /* how long the last one took */
    int64_t worst_sync_ms; /* since open */
} JournalCounts;

/* Reads bytes as a journal. The count of good bytes is told; found may be null. */
Status journal_read(Bytes content, JournalFn found, void *arg, size_t *good_count, Failure *failure);

/* Waits. Opens or makes the file; node_name must be the one it was made for. */
Status journal_open(Loop *loop, void *mem, const char *path, const char *node_name, JournalFn found, void *arg,
                    Journal **journal, Failure *failure);
/* Waits. Puts a journal with a new disk id in the place of one that is not whole, in one
 * step; the old one is kept beside it for whoever looks into the fault, when it is small. */
Status journal_begin(Loop *loop, void *mem, const char *path, const char *node_name, Journal **journal,
                     Failure *failure);
/* The random number that names this disk, made with the file. */
uint64_t journal_disk(const Journal *journal);
/* Queues the records and waits until they are synced, with all queued before them.
 * TOO_LARGE: they are more than a block holds, and nothing is written. */
Status journal_write(Journal *journal, const Record *records, size_t count);
/* Queues a new content of the whole file, which stands for all queued before
 * it; waits until it is in place. The identity is kept. Also tried after a failure. */
Status journal_rewrite(Journal *journal, const Record *records, size_t count);
/* A write has failed: until a rewrite goes well, all others fail at once. */
bool journal_failed(const Journal *journal);
const JournalCounts *journal_counts(const Journal *journal);
/* When the sync under way began, or INT64_MAX when there is none. */
int64_t journal_sync_since(const Journal *journal);

#endif
