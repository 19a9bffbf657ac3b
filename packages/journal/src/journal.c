#include "journal/journal.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "block.h"

typedef struct Waiting {
    struct Waiting *next;
    bool rewrite;
    Bytes body;
    size_t records;
    bool done;
    Status status;
    Signal ended;
} Waiting;

/* Invariant: first..last are queued in the order of the calls; only the
 * writing task touches the file. After a failed write nothing more is written but
 * a whole new file: what the old one holds is not known any more. */
struct Journal {
    Loop *loop;
    File *file;
    uint64_t disk;
    const char *node_name;
    Waiting *first, *last;
    Signal asked;
    bool failed;
    int64_t sync_since_ms;
    JournalCounts counts;
};

static void writer_main(void *arg)
{
    Journal *journal = arg;
    for (;;) {
        while (journal->first == NULL)
            signal_wait(journal->loop, &journal->asked, INT64_MAX);
        /* all that is queued shares a sync; a rewrite goes alone */
        void *mem = talloc_new(journal);
        Waiting *batch = journal->first;
        Waiting *batch_last = batch;
        Bytes body = {0};
        size_t records = 0;
        const bool rewrite = batch->rewrite;
        for (Waiting *w = batch; w != NULL && w->rewrite == rewrite && (w == batch || !rewrite) &&
                                 body.count + w->body.count < RECORD_MAX_BYTES;
             w = w->next) {
            bytes_add(mem, &body, w->body.data, w->body.count);
            records += w->records;
            batch_last = w;
        }
        journal->first = batch_last->next;
        if (journal->first == NULL)
            journal->last = NULL;
        batch_last->next = NULL;
        Status status = STATUS_DISK_FAILED;
        if (!journal->failed || rewrite) { /* a new file stands for all that the old one should hold */
            const int64_t start_ms = loop_now_ms(journal->loop);
            journal->sync_since_ms = start_ms;
            if (rewrite) {
                status = file_replace(journal->file, body);
                journal->counts.rewrites++;
                if (status == STATUS_OK)
                    journal->counts.bytes = body.count;
            } else if (body.count == 0) {
                status = STATUS_OK; /* only waited for those before it */
            } else {
                Bytes block = {0};
                block_add(mem, &block, body);
                status = file_append(journal->file, block);
                if (status == STATUS_OK)
                    journal->counts.bytes += block.count;
                journal->counts.syncs++;
            }
            journal->sync_since_ms = INT64_MAX;
            journal->counts.records += records;
            journal->counts.last_sync_ms = loop_now_ms(journal->loop) - start_ms;
            if (journal->counts.last_sync_ms > journal->counts.worst_sync_ms)
                journal->counts.worst_sync_ms = journal->counts.last_sync_ms;
            journal->failed = status != STATUS_OK;
        }
        while (batch != NULL) {
            Waiting *next = batch->next;
            batch->done = true;
            batch->status = status;
            signal_raise(journal->loop, &batch->ended);
            batch = next;
        }
        talloc_free(mem);
    }
}

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

static Record identity(const Journal *journal)
{
    return (Record){.kind = RECORD_IDENTITY,
                    .term = JOURNAL_VERSION,
                    .index = journal->disk,
                    .change = journal->counts.begun_anew,
                    .name = journal->node_name};
}

Status journal_rewrite(Journal *journal, const Record *records, size_t count)
{
    Waiting *waiting = talloc_zero(journal, Waiting);
    waiting->rewrite = true;
    waiting->records = count;
    /* the body is a whole file: small blocks, so that no record makes one too large */
    Bytes body = {0};
    const Record first = identity(journal);
    record_add(waiting, &body, &first);
    for (size_t i = 0; i < count; i++) {
        record_add(waiting, &body, &records[i]);
        if (body.count > 1024 * 1024) {
            block_add(waiting, &waiting->body, body);
            body.count = 0;
        }
    }
    if (body.count > 0)
        block_add(waiting, &waiting->body, body);
    return queue_up(journal, waiting);
}

typedef struct Opening {
    Journal *journal;
    JournalFn found;
    void *arg;
    size_t records;
    Failure failure;
} Opening;

static void open_record(void *arg, const Record *record)
{
    Opening *opening = arg;
    Journal *journal = opening->journal;
    if (opening->records++ == 0) {
        if (record->kind != RECORD_IDENTITY)
            failure_set(&opening->failure, STATUS_JOURNAL_CORRUPT, "the first record is not the identity");
        else if (record->term > JOURNAL_VERSION)
            failure_set(&opening->failure, STATUS_JOURNAL_FORMAT, "format %" PRIu64 ", this release reads up to %d",
                        record->term, JOURNAL_VERSION);
        else if (strcmp(record->name, journal->node_name) != 0)
            failure_set(&opening->failure, STATUS_JOURNAL_FOREIGN, "this is the journal of node %s, not of %s",
                        record->name, journal->node_name);
        journal->disk = record->index;
        journal->counts.begun_anew = record->change != 0;
        return;
    }
    if (opening->failure.status == STATUS_OK && record->kind != RECORD_IDENTITY)
        opening->found(opening->arg, record);
}

/* A journal with nothing but its file. */
static Status file_take(Loop *loop, void *mem, const char *path, const char *node_name, Journal **out, Failure *failure)
{
    Journal *journal = talloc_zero(mem, Journal);
    journal->loop = loop;
    journal->node_name = talloc_strdup(journal, node_name);
    journal->sync_since_ms = INT64_MAX;
    *out = journal;
    return file_open(loop, journal, path, &journal->file, failure);
}

/* Waits. A disk that refuses writes is tried again for a moment. */
static Status replace_try(Journal *journal, Bytes content)
{
    const int64_t until_ms = loop_now_ms(journal->loop) + JOURNAL_OPEN_MS;
    Status status;
    while ((status = file_replace(journal->file, content)) != STATUS_OK && loop_now_ms(journal->loop) < until_ms)
        loop_sleep(journal->loop, DISK_MEND_MS);
    return status;
}

static Status read_try(Journal *journal, void *mem, Bytes *content)
{
    const int64_t until_ms = loop_now_ms(journal->loop) + JOURNAL_OPEN_MS;
    Status status;
    while ((status = file_read(journal->file, mem, content)) != STATUS_OK && loop_now_ms(journal->loop) < until_ms)
        loop_sleep(journal->loop, DISK_MEND_MS);
    return status;
}

/* Reads the file; its torn tail is cut off. */
static Status content_take(Journal *journal, const char *path, Opening *opening, Failure *failure)
{
    void *mem = talloc_new(journal);
    Bytes content = {0};
    size_t good_count = 0;
    Status status = read_try(journal, mem, &content);
    if (status != STATUS_OK)
        failure_set(failure, status, "cannot read %s", path);
    else
        status = journal_read(content, open_record, opening, &good_count, failure);
    if (status == STATUS_OK && opening->failure.status != STATUS_OK)
        status = failure_set(failure, opening->failure.status, "%s", opening->failure.text);
    if (status == STATUS_OK && good_count == 0 && content.count > 0) /* the first block comes in one step */
        status = failure_set(failure, STATUS_JOURNAL_CORRUPT, "%s holds no journal", path);
    if (status == STATUS_OK && good_count < content.count) {
        status = replace_try(journal, (Bytes){content.data, good_count, 0});
        if (status != STATUS_OK)
            failure_set(failure, status, "cannot cut the torn tail of %s", path);
    }
    journal->counts.bytes = good_count;
    journal->counts.torn_bytes = content.count - good_count;
    talloc_free(mem);
    return status;
}

/* A new disk id, in a file that holds nothing else. */
static Status identity_write(Journal *journal, const char *path, Failure *failure)
{
    void *mem = talloc_new(journal);
    Bytes body = {0}, block = {0};
    journal->disk = loop_random(journal->loop) >> 1;
    const Record first = identity(journal);
    record_add(mem, &body, &first);
    block_add(mem, &block, body);
    const Status status = replace_try(journal, block);
    journal->counts.bytes = block.count;
    talloc_free(mem);
    return status == STATUS_OK ? status : failure_set(failure, status, "cannot write %s", path);
}

Status journal_open(Loop *loop, void *mem, const char *path, const char *node_name, JournalFn found, void *arg,
                    Journal **out, Failure *failure)
{
    Journal *journal;
    Status status = file_take(loop, mem, path, node_name, &journal, failure);
    if (status != STATUS_OK)
        return status;
    Opening opening = {journal, found, arg, 0, {0}};
    status = content_take(journal, path, &opening, failure);
    if (status == STATUS_OK && opening.records == 0)
        status = identity_write(journal, path, failure);
    if (status != STATUS_OK)
        return status;
    loop_spawn(loop, "journal", writer_main, journal);
    *out = journal;
    return STATUS_OK;
}

/* A copy for whoever looks into the fault: it may fail, nothing rests on it. */
static void keep_bad(Journal *journal, const char *path)
{
    void *mem = talloc_new(journal);
    Bytes content = {0};
    File *beside;
    if (read_try(journal, mem, &content) == STATUS_OK && content.count <= JOURNAL_BAD_BYTES &&
        file_open(journal->loop, journal, talloc_asprintf(mem, "%s.bad", path), &beside, NULL) == STATUS_OK)
        (void)file_replace(beside, content);
    talloc_free(mem);
}

Status journal_begin(Loop *loop, void *mem, const char *path, const char *node_name, Journal **out, Failure *failure)
{
    Journal *journal;
    Status status = file_take(loop, mem, path, node_name, &journal, failure);
    if (status != STATUS_OK)
        return status;
    keep_bad(journal, path);
    journal->counts.begun_anew = true;
    status = identity_write(journal, path, failure);
    if (status != STATUS_OK)
        return status;
    loop_spawn(loop, "journal", writer_main, journal);
    *out = journal;
    return STATUS_OK;
}

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
