#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include "journal/record.h"
#include "loop/loop.h"

/* The storage of the replicated log on disk: an append-only file of checksummed blocks. A block has all records that
 * were queued when a sync began, of any number of tasks; a crash can lose or tear only the last block. Used by
 * packages/replication, one journal for each node.
 *
 * Block: magic, length, checksum of those two, checksum of the body, body.
 * A bad block with no whole block after it is a torn tail and is cut off. A bad block before a whole one is
 * corruption, an error of its own. How much of the file was synced is told by a hint beside it (PATH.hint), written
 * JOURNAL_HINT_MS after a sync and never synced itself: what it covers can't be a torn tail.
 *
 * Invariants: what was acknowledged as written outlasts a loss of power, where the disk keeps what it syncs; a rewrite
 * leaves either the old file or the new one, whole; after a failed write nothing but a rewrite is written. */
typedef struct Journal Journal;

/* Is given each record that was found, in order; it is valid during the call alone. Does not wait. */
typedef void (*JournalFn)(void *arg, const Record *record);

typedef struct JournalCounts {
    uint64_t syncs;
    uint64_t records; /* written */
    uint64_t rewrites;
    uint64_t bytes;        /* of the file now */
    uint64_t torn_bytes;   /* cut off at open */
    bool begun_anew;       /* it replaced a journal that was not whole, at this start or an earlier one */
    int64_t last_sync_ms;  /* how long the last sync took, in ms */
    int64_t worst_sync_ms; /* the longest since open */
} JournalCounts;

/* Where a journal is, and whose. */
typedef struct JournalSettings {
    const char *path;
    const char *node_name;
    bool disk_durable; /* what the disk has synced outlasts a loss of power: a block that is missing was damaged */
} JournalSettings;

/* Reads bytes as a journal. found may be null; good_count: how many bytes are whole blocks. JOURNAL_CORRUPT:
 * a bad block before a whole one, or a record that does not parse; failure says where. Does not wait. */
Status journal_read(Bytes content, JournalFn found, void *arg, size_t *good_count, Failure *failure);

/* Waits. Opens the file, or makes it with a new disk id, and hands its records to found; the journal is on mem.
 * JOURNAL_CORRUPT: it is not whole, or, where the disk keeps what it syncs, less of it is whole than was synced
 * JOURNAL_HINT_MS before the last process ended; JOURNAL_FOREIGN: it was made for a node of another name;
 * JOURNAL_FORMAT: by a later release; DISK_FAILED: the disk refused for JOURNAL_OPEN_MS. */
Status journal_open(Loop *loop, void *mem, const JournalSettings *settings, JournalFn found, void *arg,
                    Journal **journal, Failure *failure);
/* Waits. Replaces a journal that is not whole by one with a new disk id, in one step. The old one is kept
 * beside it as PATH.bad for whoever looks into the fault, when it has at most JOURNAL_BAD_BYTES. */
Status journal_recreate(Loop *loop, void *mem, const JournalSettings *settings, Journal **journal, Failure *failure);
/* The id of this disk: a random number, drawn when the file was made. */
uint64_t journal_disk(const Journal *journal);
/* Waits until the records are synced, with all that was queued before them; without records it waits for the latter
 * only. TOO_LARGE: they do not fit in a block, and nothing is written; DISK_FAILED. */
Status journal_write(Journal *journal, const Record *records, size_t count);
/* Waits until the content of the whole file is replaced by these records, after the identity; they have to contain all
 * that was queued before. Also tried after a failure. DISK_FAILED. */
Status journal_rewrite(Journal *journal, const Record *records, size_t count);
/* Whether a write has failed: until a rewrite succeeds, all other writes fail at once. */
bool journal_failed(const Journal *journal);
/* Owned by the journal, and up to date at each call. */
const JournalCounts *journal_counts(const Journal *journal);
/* When the write under way began (ms of the loop); INT64_MAX: none is. */
int64_t journal_sync_since(const Journal *journal);

#endif
