#ifndef JOURNAL_JOURNAL_H
#define JOURNAL_JOURNAL_H

#include "journal/record.h"
#include "loop/loop.h"

/* The on-disk storage of the replicated log: an append-only file of checksummed blocks. A block contains all records,
 * of any number of tasks, that were queued when a sync began; a crash can lose or tear only the last block. Used by
 * packages/replication, with one journal for each node.
 *
 * Block: magic, length, checksum of those two, checksum of the body, body.
 * An invalid block with no valid block after it is a torn tail and is truncated. An invalid block before a valid one is
 * corruption, which is reported as an error. The hint, a file beside the journal (PATH.hint), records how much of the
 * journal was synced. It is written JOURNAL_HINT_MS after a sync and never synced itself; what it covers cannot be a
 * torn tail.
 *
 * A function whose comment does not state that it suspends the coroutine returns immediately.
 *
 * Invariants: acknowledged writes survive a loss of power if the disk keeps what it syncs; a rewrite leaves either the
 * old file or the new one, complete; after a failed write nothing is written except by a rewrite. */
typedef struct Journal Journal;

/* Receives each record that was read, in order; the record is valid during the call only. Must not suspend the
 * coroutine. */
typedef void (*JournalFn)(void *arg, const Record *record);

/* Statistics of a journal, counted since it was opened unless stated otherwise. */
typedef struct JournalCounts {
    uint64_t syncs;        /* number of appends that were synced, or failed to */
    uint64_t records;      /* number of records written */
    uint64_t rewrites;     /* number of rewrites */
    uint64_t bytes;        /* present size of the file, in bytes */
    uint64_t torn_bytes;   /* size of the torn tail that was truncated at open, in bytes */
    bool recreated;        /* it replaced a corrupt journal, at this start or an earlier one */
    int64_t last_sync_ms;  /* duration of the last sync, in ms */
    int64_t worst_sync_ms; /* duration of the longest sync since open, in ms */
} JournalCounts;

/* The location and the owner of a journal. */
typedef struct JournalSettings {
    const char *path;
    const char *node_name;
    bool disk_durable; /* synced data survives a loss of power, so that a missing block means damage */
} JournalSettings;

/* Parses bytes as a journal. on_record may be NULL. valid_bytes (out): the number of bytes in valid blocks.
 * JOURNAL_CORRUPT: an invalid block before a valid one, or a record that does not parse; failure (out) gives its
 * position. */
Status journal_read(Bytes content, JournalFn on_record, void *arg, size_t *valid_bytes, Failure *failure);

/* Suspends the coroutine. Opens the file, or creates it with a new disk id, and passes its records to on_record. The
 * journal is allocated on mem. JOURNAL_CORRUPT: the file is corrupt or, if the disk keeps what it syncs, less of it is
 * valid than was synced JOURNAL_HINT_MS before the last process ended; JOURNAL_FOREIGN: it was created for a node of
 * another name; JOURNAL_FORMAT: it was written by a later release; DISK_FAILED: the disk refused access for
 * JOURNAL_OPEN_RETRY_MS. */
Status journal_open(Loop *loop, void *mem, const JournalSettings *settings, JournalFn on_record, void *arg,
                    Journal **journal, Failure *failure);
/* Suspends the coroutine. Atomically replaces a corrupt journal by an empty one with a new disk id. The old file, if it
 * has at most JOURNAL_DAMAGED_KEEP_BYTES, is kept beside it as PATH.bad for an investigation of the fault. */
Status journal_recreate(Loop *loop, void *mem, const JournalSettings *settings, Journal **journal, Failure *failure);
/* The id of this disk: a random number that was drawn when the file was created. */
uint64_t journal_disk(const Journal *journal);
/* Writes the records. Suspends the coroutine until they, and all records queued earlier, are synced; with no records,
 * until the earlier ones are. TOO_LARGE: they do not fit into a block, and nothing is written; DISK_FAILED. */
Status journal_write(Journal *journal, const Record *records, size_t count);
/* Replaces the entire content of the file by the identity and these records, which must include everything that was
 * queued earlier. Suspends the coroutine until that is synced. Allowed after a failure too. DISK_FAILED. */
Status journal_rewrite(Journal *journal, const Record *records, size_t count);
/* Whether a write has failed: until a rewrite succeeds, all other writes fail immediately. */
bool journal_failed(const Journal *journal);
/* The statistics, owned by the journal; they are always up to date. */
const JournalCounts *journal_counts(const Journal *journal);
/* When the write in progress began, in ms of the loop's clock; INT64_MAX: none is in progress. */
int64_t journal_sync_since(const Journal *journal);

#endif
