/* Snapshots: the state of the state machine replaces the entries that led to it, which bounds the log (Raft: log
 * compaction). */
#include <talloc.h>

#include "disk.h"
#include "snapshot.h"
#include "state.h"

SHAPE_TABLE(Snapshot, SNAPSHOT_FIELDS)

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

/* Whether the state was too large for a snapshot at the last attempt. */
static bool state_too_large(const Replication *replication)
{
    return replication->too_large_bytes > 0 && replication->measured_index == replication->log->base_index;
}

/* An upper bound of the size of the state, in bytes: its last measured size plus the size of all later entries. */
static size_t state_size_bound(const Replication *replication)
{
    const Log *log = replication->log;
    if (!state_too_large(replication))
        return log->snapshot.payload.count + log->bytes;
    const size_t since =
        log->bytes > replication->measured_log_bytes ? log->bytes - replication->measured_log_bytes : 0;
    return replication->too_large_bytes + since;
}

Status replication_admit(Replication *replication, size_t bytes)
{
    if (state_size_bound(replication) + bytes <= STATE_FULL_BYTES)
        return STATUS_OK;
    /* the state may have become smaller since: most entries replace or remove data */
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (now_ms - replication->size_measured_ms >= STATE_MEASURE_INTERVAL_MS) {
        replication->size_measured_ms = now_ms;
        replication_compact_if_due(replication, true);
    }
    return state_size_bound(replication) + bytes <= STATE_FULL_BYTES ? STATUS_OK : STATUS_STATE_FULL;
}

/* Whether the log is long enough for a snapshot. Both the number of entries and their size are bounded, since the log
 * is read at a start, sent to a peer that was away, and kept in memory. A large state is not written again for a log
 * that is smaller than the state. */
static bool compaction_due(const Replication *replication)
{
    const Log *log = replication->log;
    const size_t most =
        replication->settings.snapshot_entries > 0 ? replication->settings.snapshot_entries : LOG_SNAPSHOT_ENTRIES;
    if (state_too_large(replication)) /* retried once the log has grown by the size of the state */
        return log->bytes >= replication->measured_log_bytes + replication->too_large_bytes;
    const size_t bytes =
        log->snapshot.payload.count > LOG_SNAPSHOT_BYTES ? log->snapshot.payload.count : LOG_SNAPSHOT_BYTES;
    return log->count >= most || log->bytes >= bytes;
}

/* Whether an undelivered entry changes the voters or the view. If so, list and last_view are newer than
 * delivered_index, and a snapshot has to wait. */
static bool change_under_way(const Replication *replication)
{
    const uint64_t last_index = log_last_index(replication->log);
    bool any = false;
    for (uint64_t i = replication->delivered_index + 1; i <= last_index; i++)
        any |= log_at(replication->log, i)->change < REPLICATION_CHANGE_FIRST;
    return any;
}

/* Returns the snapshot as of delivered_index; its payload is allocated on mem. */
static Record snapshot_make(Replication *replication, void *mem)
{
    const Snapshot snapshot = {
        .voters = replication->list->voters,
        .voters_count = replication->list->voters_count,
        .last = replication->last_view,
        .state = replication->settings.state.save(replication->settings.state.arg, mem),
        .controllers = replication->list->controllers,
        .controllers_count = replication->list->controllers_count,
    };
    Record record = {.kind = RECORD_SNAPSHOT,
                     .index = replication->delivered_index,
                     .at_ms = replication_clock_ms(replication),
                     .name = ""};
    log_term_at(replication->log, replication->delivered_index, &record.term);
    shape_pack(&Snapshot_shape, &snapshot, mem, &record.payload);
    return record;
}

bool log_compact(Replication *replication)
{
    Log *log = replication->log;
    if (replication->delivered_index <= log->base_index || change_under_way(replication))
        return false;
    void *mem = talloc_new(replication);
    const Record record = snapshot_make(replication, mem);
    const bool too_large = record.payload.count > SNAPSHOT_MAX_BYTES;
    replication->too_large_bytes = too_large ? record.payload.count : 0;
    replication->measured_log_bytes = log->bytes;
    replication->measured_index = log->base_index;
    if (too_large) {
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "%s: a state of %zu bytes can't be a snapshot", status_word(STATUS_TOO_LARGE),
                       record.payload.count);
    } else {
        log_rebase(log, &record);
        log_event(replication->settings.recorder, LOG_LOG_COMPACTED, loop_now_ms(replication->loop),
                  &(LogFields){.index = record.index});
    }
    talloc_free(mem);
    return !too_large;
}

void replication_compact_if_due(Replication *replication, bool force)
{
    if (!replication->compacting && (force || compaction_due(replication)) && log_compact(replication))
        disk_compact(replication);
}
