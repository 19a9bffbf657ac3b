/* Writing a journal: one task writes the queue, and all writes that are queued when it begins share one sync. */
#include <talloc.h>

#include "block.h"
#include "inside.h"

#define REWRITE_BLOCK_BYTES (1024 * 1024) /* a rewrite begins another block after so many bytes */

/* --- the writing task ------------------------------------------------------------------ */

/* The writes that share a sync; body is allocated on the mem of batch_dequeue. */
typedef struct Batch {
    QueuedWrite *first;
    Bytes body;
    size_t records;
    bool rewrite;
} Batch;

/* Whether the next queued write joins the batch: a rewrite is always separate, and the size of a block is limited. */
static bool shares_sync(const Batch *batch, const QueuedWrite *next)
{
    return !batch->rewrite && !next->rewrite && batch->body.count + next->body.count < RECORD_MAX_BYTES;
}

/* Removes the writes that share the next sync from the queue: as many as fit into a block, or one rewrite of any size.
 * The first one is always included: omitting a rewrite would leave an empty file. */
static Batch batch_dequeue(Journal *journal, void *mem)
{
    Batch batch = {.first = journal->first, .rewrite = journal->first->rewrite};
    QueuedWrite *batch_last = batch.first;
    for (QueuedWrite *w = batch.first; w != NULL && (w == batch.first || shares_sync(&batch, w)); w = w->next) {
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

/* Suspends the coroutine. Replaces the file, or appends a block to it, and syncs it. */
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
        return STATUS_OK; /* an empty write only waits for those before it */
    Bytes block = {0};
    block_add(mem, &block, batch->body);
    const Status status = file_append(journal->file, block);
    if (status == STATUS_OK)
        journal->counts.bytes += block.count;
    journal->counts.syncs++;
    return status;
}

/* Suspends the coroutine. Writes the batch, and records the duration. */
static Status batch_write(Journal *journal, void *mem, const Batch *batch)
{
    if (journal->failed && !batch->rewrite) /* the content of the old file is unknown: a rewrite is needed */
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
        journal->hint_ms = INT64_MAX; /* how much of the file is valid is unknown */
    else if (journal->disk_durable && journal->hint_ms == INT64_MAX)
        journal->hint_ms = loop_now_ms(journal->loop) + JOURNAL_HINT_MS;
    return status;
}

/* Completes the writes of the batch. */
static void batch_end(Journal *journal, const Batch *batch, Status status)
{
    for (QueuedWrite *write = batch->first; write != NULL;) {
        QueuedWrite *next = write->next; /* the waiting task frees it */
        write->done = true;
        write->status = status;
        signal_raise(journal->loop, &write->ended);
        write = next;
    }
}

/* Suspends the coroutine until a write is queued. Writes the hint when it is due. */
static void queue_await(Journal *journal)
{
    for (;;) {
        if (loop_now_ms(journal->loop) >= journal->hint_ms) {
            journal->hint_ms = INT64_MAX;
            hint_write(journal);
        }
        if (journal->first != NULL)
            return;
        signal_wait(journal->loop, &journal->write_queued, journal->hint_ms);
    }
}

static void writer_main(void *arg)
{
    Journal *journal = arg;
    for (;;) {
        queue_await(journal);
        void *mem = talloc_new(journal);
        const Batch batch = batch_dequeue(journal, mem);
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

/* Queues the write. Suspends the coroutine until it is synced, and frees it. */
static Status write_enqueue(Journal *journal, QueuedWrite *write)
{
    if (journal->failed && !write->rewrite) {
        talloc_free(write);
        return STATUS_DISK_FAILED;
    }
    if (journal->last != NULL)
        journal->last->next = write;
    else
        journal->first = write;
    journal->last = write;
    signal_raise(journal->loop, &journal->write_queued);
    while (!write->done)
        signal_wait(journal->loop, &write->ended, INT64_MAX);
    const Status status = write->status;
    talloc_free(write);
    return status;
}

Status journal_write(Journal *journal, const Record *records, size_t count)
{
    QueuedWrite *write = talloc_zero(journal, QueuedWrite);
    for (size_t i = 0; i < count; i++)
        record_add(write, &write->body, &records[i]);
    write->records = count;
    if (write->body.count >= RECORD_MAX_BYTES) { /* too large for a block: it could not be read again */
        talloc_free(write);
        return STATUS_TOO_LARGE;
    }
    return write_enqueue(journal, write);
}

Record journal_identity(const Journal *journal, int64_t generation)
{
    return (Record){.kind = RECORD_IDENTITY,
                    .term = JOURNAL_VERSION,
                    .index = journal->disk,
                    .at_ms = generation,
                    .change = journal->counts.recreated,
                    .name = journal->node_name};
}

Status journal_rewrite(Journal *journal, const Record *records, size_t count)
{
    QueuedWrite *write = talloc_zero(journal, QueuedWrite);
    write->rewrite = true;
    write->records = count;
    /* the body is a complete file, in small blocks, so that no record makes a block too large */
    Bytes body = {0};
    write->generation = ++journal->generation_last;
    const Record first = journal_identity(journal, write->generation);
    record_add(write, &body, &first);
    for (size_t i = 0; i < count; i++) {
        record_add(write, &body, &records[i]);
        if (body.count > REWRITE_BLOCK_BYTES) {
            block_add(write, &write->body, body);
            body.count = 0;
        }
    }
    if (body.count > 0)
        block_add(write, &write->body, body);
    return write_enqueue(journal, write);
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
