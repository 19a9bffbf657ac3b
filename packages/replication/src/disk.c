/* The state on disk: what the journal gives back at the start, snapshots, and a disk that
 * refused writes. A journal that is not whole counts for nothing: its node comes back
 * with a new, empty disk, which has promised nothing and never founds a cluster. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

Status replication_load(Replication *replication, const Record *record)
{
    void *mem = talloc_new(replication);
    Snapshot snapshot;
    Status status = shape_unpack(&Snapshot_shape, record->payload, mem, &snapshot, NULL);
    if (status == STATUS_OK)
        status = replication->settings.state.load(replication->settings.state.arg, snapshot.state);
    if (status == STATUS_OK)
        replication->delivered_index = record->index;
    talloc_free(mem);
    return status;
}

Status history_refuse(Replication *replication, uint64_t index)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    replication->other_histories++;
    if (replication->other_told_ms == 0 || now_ms - replication->other_told_ms >= HISTORY_TOLD_MS) {
        replication->other_told_ms = now_ms;
        recorder_write(replication->settings.recorder, RECORDER_ALERT, now_ms,
                       "%s: refuses to drop entry %" PRIu64 " and what follows: committed up to %" PRIu64,
                       status_word(STATUS_OTHER_HISTORY), index, replication->commit_index);
    }
    return STATUS_OTHER_HISTORY;
}

/* --- snapshots ------------------------------------------------------------------ */

Record *replication_records(Replication *replication, void *mem, size_t *count)
{
    const Log *log = replication->log;
    Record *records = talloc_zero_array(mem, Record, (unsigned)(log->count + 3));
    size_t at = 0;
    if (replication->cluster != 0) {
        records[at] = (Record){.kind = RECORD_CLUSTER, .term = replication->cluster, .name = ""};
        shape_pack(&VoterList_shape, replication->founded, mem, &records[at++].payload);
        records[at++] = (Record){
            .kind = RECORD_PROMISE, .term = replication->lock.promised, .index = replication->lock.holder, .name = ""};
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
static Status journal_anew(Replication *replication)
{
    void *mem = talloc_new(replication);
    size_t count;
    const Record *records = replication_records(replication, mem, &count);
    replication->queued_index = log_last_index(replication->log);
    const Status status = journal_rewrite(replication->journal, records, count);
    talloc_free(mem);
    return status;
}

static void compact_main(void *arg)
{
    Replication *replication = arg;
    journal_anew(replication);
    replication->compacting = false;
}

/* Entries and bytes are bounded alike: what is read at a start, sent to one that was away
 * and kept in memory. A large state is not written again for a smaller log. */
static bool long_enough(const Replication *replication)
{
    const Log *log = replication->log;
    const size_t most =
        replication->settings.snapshot_entries > 0 ? replication->settings.snapshot_entries : LOG_SNAPSHOT_ENTRIES;
    const size_t bytes =
        log->snapshot.payload.count > LOG_SNAPSHOT_BYTES ? log->snapshot.payload.count : LOG_SNAPSHOT_BYTES;
    return log->count >= most || log->bytes >= bytes;
}

void replication_compact_maybe(Replication *replication, bool force)
{
    Log *log = replication->log;
    if (replication->compacting || (replication->too_large && !force) ||
        replication->delivered_index <= log->base_index || (!force && !long_enough(replication)))
        return;
    void *mem = talloc_new(replication);
    /* voters and last as of delivered_index: later ones are still in the log */
    uint64_t term = 0;
    log_term_at(log, replication->delivered_index, &term);
    Snapshot snapshot = {0};
    const uint64_t last_index = log_last_index(log);
    bool later = false;
    for (uint64_t i = replication->delivered_index + 1; i <= last_index; i++)
        later |= log_at(log, i)->change < REPLICATION_CHANGE_FIRST;
    if (later) { /* a change of view is under way: compact after it */
        talloc_free(mem);
        return;
    }
    snapshot.voters = replication->list->voters;
    snapshot.voters_count = replication->list->voters_count;
    snapshot.controllers = replication->list->controllers;
    snapshot.controllers_count = replication->list->controllers_count;
    snapshot.last = replication->last;
    snapshot.state = replication->settings.state.save(replication->settings.state.arg, mem);
    Record record = {.kind = RECORD_SNAPSHOT,
                     .term = term,
                     .index = replication->delivered_index,
                     .at_ms = replication_clock_ms(replication),
                     .name = ""};
    shape_pack(&Snapshot_shape, &snapshot, mem, &record.payload);
    replication->too_large = record.payload.count > SNAPSHOT_MAX_BYTES;
    if (replication->too_large) {
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "%s: a state of %zu bytes can't be a snapshot", status_word(STATUS_TOO_LARGE),
                       record.payload.count);
        talloc_free(mem);
        return;
    }
    log_rebase(log, &record);
    talloc_free(mem);
    replication->compacting = true;
    loop_spawn(replication->loop, "compact", compact_main, replication);
}

/* --- start --------------------------------------------------------------------------- */

typedef struct Reading {
    Replication *replication;
    Failure failure; /* what is wrong with the journal's records, each of which is good by itself */
} Reading;

static void cluster_found(Replication *replication, const Record *record)
{
    VoterList *voters = talloc_zero(replication, VoterList);
    if (shape_unpack(&VoterList_shape, record->payload, voters, voters, NULL) == STATUS_OK) {
        talloc_free(replication->founded);
        replication->founded = voters;
    }
    replication->cluster = record->term;
}

static void entry_found(Reading *reading, const Record *record)
{
    Replication *replication = reading->replication;
    const uint64_t last_index = log_last_index(replication->log);
    const Status status = log_take(replication->log, record);
    if (status != STATUS_OK)
        failure_set(&reading->failure, status, "entry %" PRIu64 " does not follow the log up to %" PRIu64,
                    record->index, last_index);
    replication_clock_tell(replication, record->at_ms);
}

static void record_found(void *arg, const Record *record)
{
    Reading *reading = arg;
    Replication *replication = reading->replication;
    if (reading->failure.status != STATUS_OK)
        return;
    switch (record->kind) {
    case RECORD_CLUSTER:
        cluster_found(replication, record);
        break;
    case RECORD_PROMISE:
        lock_promise(&replication->lock, record->term, record->index);
        break;
    case RECORD_ENTRY:
        entry_found(reading, record);
        break;
    case RECORD_TRIM:
        log_trim(replication->log, record->index);
        break;
    case RECORD_SNAPSHOT:
        log_trim(replication->log, 0);
        log_rebase(replication->log, record);
        replication_clock_tell(replication, record->at_ms);
        break;
    case RECORD_COMMIT:
        break; /* of an earlier release; it is told anew */
    default:
        failure_set(&reading->failure, STATUS_JOURNAL_FORMAT,
                    "a record of kind %" PRIu64 ", which this release does not know", record->kind);
    }
}

/* Opens the journal and takes what it holds. */
static Status disk_read(Replication *replication, const char *path, Failure *failure)
{
    Reading reading = {.replication = replication};
    const Status status = journal_open(replication->loop, replication, path, replication->node_name, record_found,
                                       &reading, &replication->journal, failure);
    if (status != STATUS_OK)
        return status;
    if (reading.failure.status != STATUS_OK)
        return failure_set(failure, reading.failure.status, "%s: %s", path, reading.failure.text);
    const bool state = replication->log->snapshot.kind == RECORD_SNAPSHOT || replication->log->count > 0 ||
                       replication->lock.promised != 0;
    if (replication->cluster == 0 && state)
        return failure_set(failure, STATUS_JOURNAL_CORRUPT, "%s holds a log, but not the cluster it is of", path);
    if (replication->log->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_OK;
    const Status loaded = replication_load(replication, &replication->log->snapshot);
    if (loaded != STATUS_OK)
        return failure_set(failure, STATUS_JOURNAL_CORRUPT, "the snapshot of %s can't be read: %s", path,
                           status_word(loaded));
    replication->commit_index = replication->delivered_index;
    return STATUS_OK;
}

/* As if nothing had been read. */
static void disk_forget(Replication *replication)
{
    talloc_free(replication->log);
    replication->log = log_new(replication);
    talloc_free(replication->founded);
    talloc_free(replication->list);
    voters_first(replication);
    replication->cluster = 0;
    replication->lock = (LockVoter){0};
    replication->clock_base_ms = replication->clock_at_ms = replication->clock_log_ms = 0;
    replication->clock_runs = false;
    replication->commit_index = replication->delivered_index = 0;
    replication->settings.state.load(replication->settings.state.arg, (Bytes){0});
}

/* The journal is not whole: what it has promised and acknowledged is not known. */
static Status disk_begin_anew(Replication *replication, const char *path, Failure *failure)
{
    recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                   "%s: %s; begins as a new, empty disk", status_word(failure->status), failure->text);
    *failure = (Failure){0};
    disk_forget(replication);
    return journal_begin(replication->loop, replication, path, replication->node_name, &replication->journal, failure);
}

Status replication_open_disk(Replication *replication, const char *path, const char *node_name, Failure *failure)
{
    Failure read = {0};
    replication->node_name = talloc_strdup(replication, node_name);
    Status status = disk_read(replication, path, &read);
    if (status == STATUS_JOURNAL_CORRUPT)
        status = disk_begin_anew(replication, path, &read);
    if (status != STATUS_OK)
        return failure_set(failure, status, "%s", read.text);
    replication->disk = journal_disk(replication->journal);
    if (journal_counts(replication->journal)->begun_anew)
        replication->settings.founds = REPLICATION_FOUNDS_NEVER; /* the cluster that it was of may live */
    replication->queued_index = log_last_index(replication->log);
    replication_reread(replication);
    replication->woke = replication->cluster != 0;
    /* a disk that was never part of a cluster has granted nothing */
    if (replication->cluster != 0)
        replication->lock.not_before_ms = loop_now_ms(replication->loop) + LOCK_GRANT_MS;
    replication->lock.sure = replication->settings.disks_keep;
    if (replication->cluster != 0)
        rpc_set_cluster(replication->settings.rpc, replication->cluster);
    return STATUS_OK;
}

/* A disk that refused a write is tried again, with all that it should hold. Until
 * that is there, the voter takes nothing, so that memory and disk do not part. */
static void mend_main(void *arg)
{
    Replication *replication = arg;
    while (!loop_stopping(replication->loop)) {
        loop_sleep(replication->loop, DISK_MEND_MS);
        if (replication->list_old || !journal_failed(replication->journal) || replication->compacting ||
            replication->holding)
            continue;
        replication->mending = true;
        if (journal_anew(replication) == STATUS_OK) {
            if (replication->rest_until_ms > loop_now_ms(replication->loop) + PROPOSE_MS)
                replication->rest_until_ms = loop_now_ms(replication->loop) + PROPOSE_MS;
            recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                           "own disk takes writes again");
        }
        replication->mending = false;
    }
}

void disk_start(Replication *replication)
{
    loop_spawn(replication->loop, "mend", mend_main, replication);
}

bool replication_disk_failed(const Replication *replication)
{
    return replication->mending || replication->list_old || journal_failed(replication->journal);
}
