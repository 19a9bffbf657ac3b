/* The state on disk: what the journal gives back at the start, snapshots, and a disk that
 * refused writes. A journal that is not whole counts for nothing: its node comes back
 * with a new, empty disk, which has promised nothing and never founds a cluster. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

Status view_load(View *view, const Record *record)
{
    void *mem = talloc_new(view);
    Snapshot snapshot;
    Status status = shape_unpack(&Snapshot_shape, record->payload, mem, &snapshot, NULL);
    if (status == STATUS_OK)
        status = view->settings.state.load(view->settings.state.arg, snapshot.state);
    if (status == STATUS_OK)
        view->delivered_index = record->index;
    talloc_free(mem);
    return status;
}

Status history_refuse(View *view, uint64_t index)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    view->other_histories++;
    if (view->other_told_ms == 0 || now_ms - view->other_told_ms >= HISTORY_TOLD_MS) {
        view->other_told_ms = now_ms;
        recorder_write(view->settings.recorder, RECORDER_ALERT, now_ms,
                       "%s: refuses to drop entry %" PRIu64 " and what follows: committed up to %" PRIu64,
                       status_word(STATUS_OTHER_HISTORY), index, view->commit_index);
    }
    return STATUS_OTHER_HISTORY;
}

/* --- snapshots ------------------------------------------------------------------ */

Record *view_records(View *view, void *mem, size_t *count)
{
    const Log *log = view->log;
    Record *records = talloc_zero_array(mem, Record, (unsigned)(log->count + 3));
    size_t at = 0;
    if (view->cluster != 0) {
        records[at] = (Record){.kind = RECORD_CLUSTER, .term = view->cluster, .name = ""};
        shape_pack(&VoterList_shape, view->founded, mem, &records[at++].payload);
        records[at++] =
            (Record){.kind = RECORD_PROMISE, .term = view->lock.promised, .index = view->lock.holder, .name = ""};
    }
    if (log->snapshot.kind == RECORD_SNAPSHOT)
        records[at++] = log->snapshot;
    for (size_t i = 0; i < log->count; i++)
        records[at++] = log->entries[i];
    *count = at;
    return records;
}

/* Waits. The whole journal anew. All entries are in it, also those that it had not been
 * given before: from here on they count as queued, so that dropping them is written too. */
static Status journal_anew(View *view)
{
    void *mem = talloc_new(view);
    size_t count;
    const Record *records = view_records(view, mem, &count);
    view->queued_index = log_last_index(view->log);
    const Status status = journal_rewrite(view->journal, records, count);
    talloc_free(mem);
    return status;
}

static void compact_main(void *arg)
{
    View *view = arg;
    journal_anew(view);
    view->compacting = false;
}

/* Entries and bytes are bounded alike: what is read at a start, sent to one that was away
 * and kept in memory. A large state is not written again for a smaller log. */
static bool long_enough(const View *view)
{
    const Log *log = view->log;
    const size_t most = view->settings.snapshot_entries > 0 ? view->settings.snapshot_entries : LOG_SNAPSHOT_ENTRIES;
    const size_t bytes =
        log->snapshot.payload.count > LOG_SNAPSHOT_BYTES ? log->snapshot.payload.count : LOG_SNAPSHOT_BYTES;
    return log->count >= most || log->bytes >= bytes;
}

void view_compact_maybe(View *view, bool force)
{
    Log *log = view->log;
    if (view->compacting || (view->too_large && !force) || view->delivered_index <= log->base_index ||
        (!force && !long_enough(view)))
        return;
    void *mem = talloc_new(view);
    /* voters and last as of delivered_index: later ones are still in the log */
    uint64_t term = 0;
    log_term_at(log, view->delivered_index, &term);
    Snapshot snapshot = {0};
    const uint64_t last_index = log_last_index(log);
    bool later = false;
    for (uint64_t i = view->delivered_index + 1; i <= last_index; i++)
        later |= log_at(log, i)->change < VIEW_CHANGE_FIRST;
    if (later) { /* a change of view is under way: compact after it */
        talloc_free(mem);
        return;
    }
    snapshot.voters = view->list->voters;
    snapshot.voters_count = view->list->voters_count;
    snapshot.cores = view->list->cores;
    snapshot.cores_count = view->list->cores_count;
    snapshot.last = view->last;
    snapshot.state = view->settings.state.save(view->settings.state.arg, mem);
    Record record = {.kind = RECORD_SNAPSHOT,
                     .term = term,
                     .index = view->delivered_index,
                     .at_ms = view_clock_ms(view),
                     .name = ""};
    shape_pack(&Snapshot_shape, &snapshot, mem, &record.payload);
    view->too_large = record.payload.count > SNAPSHOT_MAX_BYTES;
    if (view->too_large) {
        recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                       "%s: a state of %zu bytes can't be a snapshot", status_word(STATUS_TOO_LARGE),
                       record.payload.count);
        talloc_free(mem);
        return;
    }
    log_rebase(log, &record);
    talloc_free(mem);
    view->compacting = true;
    loop_spawn(view->loop, "compact", compact_main, view);
}

/* --- start --------------------------------------------------------------------------- */

typedef struct Reading {
    View *view;
    Failure failure; /* what is wrong with the journal's records, each of which is good by itself */
} Reading;

static void cluster_found(View *view, const Record *record)
{
    VoterList *voters = talloc_zero(view, VoterList);
    if (shape_unpack(&VoterList_shape, record->payload, voters, voters, NULL) == STATUS_OK) {
        talloc_free(view->founded);
        view->founded = voters;
    }
    view->cluster = record->term;
}

static void entry_found(Reading *reading, const Record *record)
{
    View *view = reading->view;
    const uint64_t last_index = log_last_index(view->log);
    const Status status = log_take(view->log, record);
    if (status != STATUS_OK)
        failure_set(&reading->failure, status, "entry %" PRIu64 " does not follow the log up to %" PRIu64,
                    record->index, last_index);
    view_clock_tell(view, record->at_ms);
}

static void record_found(void *arg, const Record *record)
{
    Reading *reading = arg;
    View *view = reading->view;
    if (reading->failure.status != STATUS_OK)
        return;
    switch (record->kind) {
    case RECORD_CLUSTER:
        cluster_found(view, record);
        break;
    case RECORD_PROMISE:
        lock_promise(&view->lock, record->term, record->index);
        break;
    case RECORD_ENTRY:
        entry_found(reading, record);
        break;
    case RECORD_TRIM:
        log_trim(view->log, record->index);
        break;
    case RECORD_SNAPSHOT:
        log_trim(view->log, 0);
        log_rebase(view->log, record);
        view_clock_tell(view, record->at_ms);
        break;
    case RECORD_COMMIT:
        break; /* of an earlier release; it is told anew */
    default:
        failure_set(&reading->failure, STATUS_JOURNAL_FORMAT,
                    "a record of kind %" PRIu64 ", which this release does not know", record->kind);
    }
}

/* Opens the journal and takes what it holds. */
static Status disk_read(View *view, const char *path, Failure *failure)
{
    Reading reading = {.view = view};
    const Status status =
        journal_open(view->loop, view, path, view->node_name, record_found, &reading, &view->journal, failure);
    if (status != STATUS_OK)
        return status;
    if (reading.failure.status != STATUS_OK)
        return failure_set(failure, reading.failure.status, "%s: %s", path, reading.failure.text);
    const bool state = view->log->snapshot.kind == RECORD_SNAPSHOT || view->log->count > 0 || view->lock.promised != 0;
    if (view->cluster == 0 && state)
        return failure_set(failure, STATUS_JOURNAL_CORRUPT, "%s holds a log, but not the cluster it is of", path);
    if (view->log->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_OK;
    const Status loaded = view_load(view, &view->log->snapshot);
    if (loaded != STATUS_OK)
        return failure_set(failure, STATUS_JOURNAL_CORRUPT, "the snapshot of %s can't be read: %s", path,
                           status_word(loaded));
    view->commit_index = view->delivered_index;
    return STATUS_OK;
}

/* As if nothing had been read. */
static void disk_forget(View *view)
{
    talloc_free(view->log);
    view->log = log_new(view);
    talloc_free(view->founded);
    talloc_free(view->list);
    voters_first(view);
    view->cluster = 0;
    view->lock = (LockVoter){0};
    view->clock_base_ms = view->clock_at_ms = view->clock_log_ms = 0;
    view->clock_runs = false;
    view->commit_index = view->delivered_index = 0;
    view->settings.state.load(view->settings.state.arg, (Bytes){0});
}

/* The journal is not whole: what it has promised and acknowledged is not known. */
static Status disk_begin_anew(View *view, const char *path, Failure *failure)
{
    recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                   "%s: %s; begins as a new, empty disk", status_word(failure->status), failure->text);
    *failure = (Failure){0};
    disk_forget(view);
    return journal_begin(view->loop, view, path, view->node_name, &view->journal, failure);
}

Status view_open_disk(View *view, const char *path, const char *node_name, Failure *failure)
{
    Failure read = {0};
    view->node_name = talloc_strdup(view, node_name);
    Status status = disk_read(view, path, &read);
    if (status == STATUS_JOURNAL_CORRUPT)
        status = disk_begin_anew(view, path, &read);
    if (status != STATUS_OK)
        return failure_set(failure, status, "%s", read.text);
    view->disk = journal_disk(view->journal);
    if (journal_counts(view->journal)->begun_anew)
        view->settings.founds = VIEW_FOUNDS_NEVER; /* the cluster that it was of may live */
    view->queued_index = log_last_index(view->log);
    view_reread(view);
    view->woke = view->cluster != 0;
    /* a disk that was never part of a cluster has granted nothing */
    if (view->cluster != 0)
        view->lock.not_before_ms = loop_now_ms(view->loop) + LOCK_GRANT_MS;
    view->lock.sure = view->settings.disks_keep;
    if (view->cluster != 0)
        rpc_set_cluster(view->settings.rpc, view->cluster);
    return STATUS_OK;
}

/* A disk that refused a write is tried again, with all that it should hold. Until
 * that is there, the voter takes nothing, so that memory and disk do not part. */
static void mend_main(void *arg)
{
    View *view = arg;
    while (!loop_stopping(view->loop)) {
        loop_sleep(view->loop, DISK_MEND_MS);
        if (view->list_old || !journal_failed(view->journal) || view->compacting || view->holding)
            continue;
        view->mending = true;
        if (journal_anew(view) == STATUS_OK) {
            if (view->rest_until_ms > loop_now_ms(view->loop) + PROPOSE_MS)
                view->rest_until_ms = loop_now_ms(view->loop) + PROPOSE_MS;
            recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                           "own disk takes writes again");
        }
        view->mending = false;
    }
}

void disk_start(View *view)
{
    loop_spawn(view->loop, "mend", mend_main, view);
}

bool view_disk_failed(const View *view)
{
    return view->mending || view->list_old || journal_failed(view->journal);
}
