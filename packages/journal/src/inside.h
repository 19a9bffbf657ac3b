#ifndef JOURNAL_SRC_INSIDE_H
#define JOURNAL_SRC_INSIDE_H

#include "journal/journal.h"

/* The state of a journal, shared by its sources: open.c opens it, journal.c writes it. */

/* A queued write; owned by the task that waits for its sync. */
typedef struct Waiting {
    struct Waiting *next;
    bool rewrite;       /* body is the whole file, in blocks; else records to be put in a block */
    int64_t generation; /* of the file that a rewrite makes */
    Bytes body;
    size_t records;
    bool done; /* status is set */
    Status status;
    Signal ended;
} Waiting;

/* Invariants: first..last are queued in the order of the calls; once it is open only the writing task touches
 * the file. After a failed write nothing more is written but a whole new file: what the old one holds is not
 * known any more. */
struct Journal {
    Loop *loop;
    File *file;
    uint64_t disk; /* id */
    const char *node_name;
    bool disk_durable;
    int64_t generation; /* of the file that is in place: one more with each rewrite, so that a hint is known to be of
                           this one; 0: written by a release that counts none, and has no hint */
    int64_t generation_last; /* of the last rewrite that was queued */
    int64_t hint_ms;         /* when the hint is to be written; INT64_MAX: it says what was synced */
    Waiting *first, *last;
    Signal asked; /* something was queued */
    bool failed;
    int64_t sync_since_ms; /* INT64_MAX: no write is under way */
    JournalCounts counts;
};

/* The first record of a file of that generation. */
Record journal_identity(const Journal *journal, int64_t generation);
/* Waits. Writes down how much of the file was synced. */
void hint_write(Journal *journal);
/* Waits. How many bytes of the open file were synced by the hint; 0: there is none, or it is of another file. */
size_t hint_read(const Journal *journal);
/* Spawns the writing task: the journal is open. */
void journal_run(Journal *journal);

#endif
