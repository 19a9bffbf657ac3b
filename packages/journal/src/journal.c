/* Writing a journal: one task writes the queue; all that is queued when a write begins shares a sync. */
#include <talloc.h>

#include "block.h"
#include "inside.h"

#define REWRITE_BLOCK_BYTES (1024 * 1024) /* bytes; a rewrite begins another block after this */

/* --- the writing task ------------------------------------------------------------------ */

/* What is written together; body on mem. */
typedef struct Batch {
    Waiting *first;
    Bytes body;
    size_t records;
    bool rewrite;
} Batch;

/* Whether the next of the queue goes into the batch too: a rewrite stands alone, and a block has a limit. */
static bool shares_sync(const Batch *batch, const Waiting *next)
{
    return !batch->rewrite && !next->rewrite && batch->body.count + next->body.count < RECORD_MAX_BYTES;
}

/* Takes from the queue what shares the next sync: as much as a block holds, or one rewrite of any size. The first is
 * always taken: a rewrite that was left out would leave an empty file. */
static Batch batch_take(Journal *journal, void *mem)
{
    Batch batch = {.first = journal->first, .rewrite = journal->first->rewrite};
    Waiting *batch_last = batch.first;
    for (Waiting *w = batch.first; w != NULL && (w == batch.first || shares_sync(&batch, w)); w = w->next) {
        bytes_add(mem, &batch.body, w->body.data, w->body.count);
        batch.records += w->records;
        batch_last = w;
    }
    journal->first = batch_last->next;
    if (journal->first == NULL)
        journal->last = NULL;
    batch_last->next = NULL;
    return batch;
}

/* Waits. Replaces the file, or adds a block to it, and syncs it. */
static Status batch_sync(Journal *journal, void *mem, const Batch *batch)
{
    if (batch->rewrite) {
        const Status status = file_replace(journal->file, batch->body);
        journal->counts.rewrites++;
        if (status == STATUS_OK) {
            journal->counts.bytes = batch->body.count;
            journal->generation = batch->first->generation;
        }
        return status;
    }
    if (batch->body.count == 0)
        return STATUS_OK; /* an empty write: only the wait for those before it */
    Bytes block = {0};
    block_add(mem, &block, batch->body);
    const Status status = file_append(journal->file, block);
    if (status == STATUS_OK)
        journal->counts.bytes += block.count;
    journal->counts.syncs++;
    return status;
}

/* Waits. Writes the batch, and notes how long that took. */
static Status batch_write(Journal *journal, void *mem, const Batch *batch)
{
    if (journal->failed && !batch->rewrite) /* what the old file has is not known: only a rewrite helps */
        return STATUS_DISK_FAILED;
    const int64_t start_ms = loop_now_ms(journal->loop);
    journal->sync_since_ms = start_ms;
    const Status status = batch_sync(journal, mem, batch);
    journal->sync_since_ms = INT64_MAX;
    journal->counts.records += batch->records;
    journal->counts.last_sync_ms = loop_now_ms(journal->loop) - start_ms;
    if (journal->counts.last_sync_ms > journal->counts.worst_sync_ms)
        journal->counts.worst_sync_ms = journal->counts.last_sync_ms;
    journal->failed = status != STATUS_OK;
    if (status != STATUS_OK)
        journal->hint_ms = INT64_MAX; /* how much of the file is whole is not known */
    else if (journal->disk_durable && journal->hint_ms == INT64_MAX)
        journal->hint_ms = loop_now_ms(journal->loop) + JOURNAL_HINT_MS;
    return status;
}

/* Ends the waits of the tasks. */
static void batch_end(Journal *journal, const Batch *batch, Status status)
{
    for (Waiting *waiting = batch->first; waiting != NULL;) {
        Waiting *next = waiting->next; /* the task frees it */
        waiting->done = true;
        waiting->status = status;
        signal_raise(journal->loop, &waiting->ended);
        waiting = next;
    }
}

/* Waits until something is queued. Meanwhile, or before it goes on, writes the hint when that is due. */
static void queue_await(Journal *journal)
{
    for (;;) {
        if (loop_now_ms(journal->loop) >= journal->hint_ms) {
            journal->hint_ms = INT64_MAX;
            hint_write(journal);
        }
        if (journal->first != NULL)
            return;
        signal_wait(journal->loop, &journal->asked, journal->hint_ms);
    }
}

static void writer_main(void *arg)
{
    Journal *journal = arg;
    for (;;) {
        queue_await(journal);
        void *mem = talloc_new(journal);
        const Batch batch = batch_take(journal, mem);
        const Status status = batch_write(journal, mem, &batch);
        batch_end(journal, &batch, status);
        talloc_free(mem);
    }
}

void journal_run(Journal *journal)
{
    if (journal->disk_durable)
        journal->hint_ms = loop_now_ms(journal->loop) + JOURNAL_HINT_MS;
    loop_spawn(journal->loop, "journal", writer_main, journal);
}

/* --- the queue --------------------------------------------------------------------------- */

/* Waits until what is queued is synced, and frees it. */
static Status queue_up(Journal *journal, Waiting *waiting)
{
    if (journal->failed && !waiting->rewrite) {
        talloc_free(waiting);
        return STATUS_DISK_FAILED;
    }
    if (journal->last != NULL)
        journal->last->next = waiting;
    else
        journal->first = waiting;
    journal->last = waiting;
    signal_raise(journal->loop, &journal->asked);
    while (!waiting->done)
        signal_wait(journal->loop, &waiting->ended, INT64_MAX);
    const Status status = waiting->status;
    talloc_free(waiting);
    return status;
}

Status journal_write(Journal *journal, const Record *records, size_t count)
{
    Waiting *waiting = talloc_zero(journal, Waiting);
    for (size_t i = 0; i < count; i++)
        record_add(waiting, &waiting->body, &records[i]);
    waiting->records = count;
    if (waiting->body.count >= RECORD_MAX_BYTES) { /* no block holds it: it could not be read again */
        talloc_free(waiting);
        return STATUS_TOO_LARGE;
    }
    return queue_up(journal, waiting);
}

Record journal_identity(const Journal *journal, int64_t generation)
{
    return (Record){.kind = RECORD_IDENTITY,
                    .term = JOURNAL_VERSION,
                    .index = journal->disk,
                    .at_ms = generation,
                    .change = journal->counts.begun_anew,
                    .name = journal->node_name};
}

Status journal_rewrite(Journal *journal, const Record *records, size_t count)
{
    Waiting *waiting = talloc_zero(journal, Waiting);
    waiting->rewrite = true;
    waiting->records = count;
    /* the body is a whole file, in small blocks, so that no record makes one too large */
    Bytes body = {0};
    waiting->generation = ++journal->generation_last;
    const Record first = journal_identity(journal, waiting->generation);
    record_add(waiting, &body, &first);
    for (size_t i = 0; i < count; i++) {
        record_add(waiting, &body, &records[i]);
        if (body.count > REWRITE_BLOCK_BYTES) {
            block_add(waiting, &waiting->body, body);
            body.count = 0;
        }
    }
    if (body.count > 0)
        block_add(waiting, &waiting->body, body);
    return queue_up(journal, waiting);
}

/* --- getters ------------------------------------------------------------------------------- */

uint64_t journal_disk(const Journal *journal)
{
    return journal->disk;
}

bool journal_failed(const Journal *journal)
{
    return journal->failed;
}

const JournalCounts *journal_counts(const Journal *journal)
{
    return &journal->counts;
}

int64_t journal_sync_since(const Journal *journal)
{
    return journal->sync_since_ms;
}
