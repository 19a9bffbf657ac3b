/* Snapshots: the state in the place of the entries that led to it. */
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
    disk_compact(replication);
}
