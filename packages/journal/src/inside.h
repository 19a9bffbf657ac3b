#ifndef JOURNAL_SRC_INSIDE_H
#define JOURNAL_SRC_INSIDE_H

#include "journal/journal.h"

/* The state of a journal, shared by its sources: open.c opens a journal, journal.c writes it. */

/* A queued write; owned by the task that awaits its sync. */
typedef struct QueuedWrite {
    struct QueuedWrite *next;
    bool rewrite;       /* body is the complete file, in blocks; otherwise it is records to be put into a block */
    int64_t generation; /* of the file that a rewrite creates */
    Bytes body;
    size_t records; /* number of records in body */
    bool done;      /* status is set */
    Status status;
    Signal ended; /* raised when done is set */
} QueuedWrite;

/* A journal. Invariants: the writes from first to last are queued in the order of the calls; once the journal is open,
 * only the writing task accesses the file. After a failed write nothing is written except a complete new file, because
 * the content of the old one is unknown. */
struct Journal {
    Loop *loop;
    File *file;
    uint64_t disk; /* id of the disk */
    const char *node_name;
    bool disk_durable;       /* synced data survives a loss of power */
    int64_t generation;      /* of the present file; incremented by each rewrite, so that a hint can be matched with its
                                file; 0: the file was written by a release without generations, and has no hint */
    int64_t generation_last; /* of the last queued rewrite */
    int64_t hint_ms;         /* when the hint must be written; INT64_MAX: it is up to date */
    QueuedWrite *first, *last;
    Signal write_queued;   /* raised when a write is queued */
    bool failed;           /* a write has failed, and no rewrite has succeeded since */
    int64_t sync_since_ms; /* when the write in progress began; INT64_MAX: none is in progress */
    JournalCounts counts;
};

/* Returns the identity, the first record of a file of that generation. */
Record journal_identity(const Journal *journal, int64_t generation);
/* Suspends the coroutine. Writes the hint: how much of the file was synced. */
void hint_write(Journal *journal);
/* Suspends the coroutine. Returns how many bytes of the open file were synced according to the hint; 0: there is no
 * hint, or it is for another file. */
size_t hint_read(const Journal *journal);
/* Spawns the writing task of an open journal. */
void journal_run(Journal *journal);

#endif
