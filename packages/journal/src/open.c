/* Opening a journal: creates or reads the file, truncates a torn tail, and refuses a file that cannot be read. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "block.h"
#include "inside.h"

/* The state of reading a journal. */
typedef struct Opening {
    Journal *journal;
    JournalFn on_record;
    void *arg;
    size_t records;  /* number of records read so far */
    Failure failure; /* an error in the identity */
} Opening;

/* Checks the identity, which is the first record; passes all other records to on_record. */
static void open_record(void *arg, const Record *record)
{
    Opening *opening = arg;
    Journal *journal = opening->journal;
    if (opening->records++ == 0) {
        if (record->kind != RECORD_IDENTITY)
            failure_set(&opening->failure, STATUS_JOURNAL_CORRUPT, "the first record is not the identity");
        else if (record->term > JOURNAL_VERSION)
            failure_set(&opening->failure, STATUS_JOURNAL_FORMAT,
                        "journal format %" PRIu64 "; this release reads formats up to %d", record->term,
                        JOURNAL_VERSION);
        else if (strcmp(record->name, journal->node_name) != 0)
            failure_set(&opening->failure, STATUS_JOURNAL_FOREIGN, "the journal belongs to node %s, not to node %s",
                        record->name, journal->node_name);
        journal->disk = record->index;
        journal->generation = journal->generation_last = record->at_ms;
        journal->counts.recreated = record->change != 0;
        return;
    }
    if (opening->failure.status == STATUS_OK && record->kind != RECORD_IDENTITY)
        opening->on_record(opening->arg, record);
}

/* Suspends the coroutine. Allocates a journal on mem and opens its file. */
static Status journal_allocate(Loop *loop, void *mem, const JournalSettings *settings, Journal **out, Failure *failure)
{
    Journal *journal = talloc_zero(mem, Journal);
    journal->loop = loop;
    journal->node_name = talloc_strdup(journal, settings->node_name);
    journal->disk_durable = settings->disk_durable;
    journal->sync_since_ms = journal->hint_ms = INT64_MAX;
    *out = journal;
    return file_open(loop, journal, settings->path, &journal->file, failure);
}

/* Suspends the coroutine. Replaces the file; if the disk refuses that, retries for JOURNAL_OPEN_RETRY_MS. */
static Status replace_with_retry(Journal *journal, Bytes content)
{
    const int64_t until_ms = loop_now_ms(journal->loop) + JOURNAL_OPEN_RETRY_MS;
    Status status;
    while ((status = file_replace(journal->file, content)) != STATUS_OK && loop_now_ms(journal->loop) < until_ms)
        loop_sleep(journal->loop, DISK_RETRY_MS);
    return status;
}

/* Suspends the coroutine. Reads the file; if the disk refuses that, retries for JOURNAL_OPEN_RETRY_MS. */
static Status read_with_retry(Journal *journal, void *mem, Bytes *content)
{
    const int64_t until_ms = loop_now_ms(journal->loop) + JOURNAL_OPEN_RETRY_MS;
    Status status;
    while ((status = file_read(journal->file, mem, content)) != STATUS_OK && loop_now_ms(journal->loop) < until_ms)
        loop_sleep(journal->loop, DISK_RETRY_MS);
    return status;
}

/* Suspends the coroutine. Reads the file, passes its records to the reader, and truncates a torn tail. */
static Status content_read(Journal *journal, const char *path, Opening *opening, Failure *failure)
{
    void *mem = talloc_new(journal);
    Bytes content = {0};
    size_t valid_bytes = 0;
    Status status = read_with_retry(journal, mem, &content);
    if (status != STATUS_OK)
        failure_set(failure, status, "cannot read %s", path);
    else
        status = journal_read(content, open_record, opening, &valid_bytes, failure);
    if (status == STATUS_OK && opening->failure.status != STATUS_OK)
        status = failure_set(failure, opening->failure.status, "%s", opening->failure.text);
    /* the first block is written atomically, so it cannot be torn */
    if (status == STATUS_OK && valid_bytes == 0 && content.count > 0)
        status = failure_set(failure, STATUS_JOURNAL_CORRUPT, "%s is not a journal", path);
    const size_t synced = status == STATUS_OK && journal->disk_durable ? hint_read(journal) : 0;
    if (status == STATUS_OK && valid_bytes < synced)
        status =
            failure_set(failure, STATUS_JOURNAL_CORRUPT,
                        "%s is valid up to byte %zu only, but was synced up to byte %zu", path, valid_bytes, synced);
    if (status == STATUS_OK && valid_bytes < content.count) {
        status = replace_with_retry(journal, (Bytes){content.data, valid_bytes, 0});
        if (status != STATUS_OK)
            failure_set(failure, status, "cannot truncate the torn tail of %s", path);
    }
    journal->counts.bytes = valid_bytes;
    journal->counts.torn_bytes = content.count - valid_bytes;
    talloc_free(mem);
    return status;
}

/* Suspends the coroutine. Draws a new disk id, and replaces the file by one that contains the identity only. */
static Status identity_write(Journal *journal, const char *path, Failure *failure)
{
    void *mem = talloc_new(journal);
    Bytes body = {0}, block = {0};
    journal->disk = loop_random(journal->loop) >> 1;
    journal->generation = journal->generation_last = 1;
    const Record first = journal_identity(journal, journal->generation);
    record_add(mem, &body, &first);
    block_add(mem, &block, body);
    const Status status = replace_with_retry(journal, block);
    journal->counts.bytes = block.count;
    talloc_free(mem);
    return status == STATUS_OK ? status : failure_set(failure, status, "cannot write %s", path);
}

Status journal_open(Loop *loop, void *mem, const JournalSettings *settings, JournalFn on_record, void *arg,
                    Journal **out, Failure *failure)
{
    Journal *journal;
    Status status = journal_allocate(loop, mem, settings, &journal, failure);
    if (status != STATUS_OK)
        return status;
    Opening opening = {journal, on_record, arg, 0, {0}};
    status = content_read(journal, settings->path, &opening, failure);
    if (status == STATUS_OK && opening.records == 0)
        status = identity_write(journal, settings->path, failure);
    if (status != STATUS_OK)
        return status;
    journal_run(journal);
    *out = journal;
    return STATUS_OK;
}

/* Suspends the coroutine. Saves a copy of the corrupt file beside it for an investigation of the fault. A failure has
 * no consequences. */
static void corrupt_copy_save(Journal *journal, const char *path)
{
    void *mem = talloc_new(journal);
    Bytes content = {0};
    File *beside;
    if (read_with_retry(journal, mem, &content) == STATUS_OK && content.count <= JOURNAL_DAMAGED_KEEP_BYTES &&
        file_open(journal->loop, journal, talloc_asprintf(mem, "%s.bad", path), &beside, NULL) == STATUS_OK)
        (void)file_replace(beside, content);
    talloc_free(mem);
}

Status journal_recreate(Loop *loop, void *mem, const JournalSettings *settings, Journal **out, Failure *failure)
{
    Journal *journal;
    Status status = journal_allocate(loop, mem, settings, &journal, failure);
    if (status != STATUS_OK)
        return status;
    corrupt_copy_save(journal, settings->path);
    journal->counts.recreated = true;
    status = identity_write(journal, settings->path, failure);
    if (status != STATUS_OK)
        return status;
    journal_run(journal);
    *out = journal;
    return STATUS_OK;
}
