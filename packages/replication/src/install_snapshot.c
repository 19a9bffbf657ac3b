/* Installs a snapshot at a voter or learner (Raft: InstallSnapshot at a follower), in one message or in pieces,
 * replacing its log. */
#include <inttypes.h>
#include <talloc.h>

#include "clock.h"
#include "disk.h"
#include "snapshot.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

/* Whether the piece belongs to the snapshot that is being received. */
static bool same_snapshot(const IncomingSnapshot *incoming_snapshot, const InstallSnapshotAsk *ask)
{
    return incoming_snapshot != NULL && incoming_snapshot->term == ask->snapshot.term &&
           incoming_snapshot->index == ask->snapshot.index && incoming_snapshot->total == ask->total &&
           incoming_snapshot->checksum == ask->checksum;
}

void snapshot_piece_drop(Replication *replication)
{
    talloc_free(replication->incoming_snapshot);
    replication->incoming_snapshot = NULL;
}

Status snapshot_piece_accept(Replication *replication, const InstallSnapshotAsk *ask, Record *whole)
{
    *whole = ask->snapshot;
    if (ask->total == 0) {
        snapshot_piece_drop(replication);
        return STATUS_OK;
    }
    if (ask->total > RECORD_MAX_BYTES || ask->from + ask->snapshot.payload.count > ask->total)
        return STATUS_BAD_FRAME;
    if (!same_snapshot(replication->incoming_snapshot, ask)) {
        snapshot_piece_drop(replication);
        replication->incoming_snapshot = talloc_zero(replication, IncomingSnapshot);
        *replication->incoming_snapshot =
            (IncomingSnapshot){ask->snapshot.term, ask->snapshot.index, ask->total, ask->checksum, {0}};
    }
    IncomingSnapshot *incoming_snapshot = replication->incoming_snapshot;
    if (ask->from != incoming_snapshot->bytes.count)
        return STATUS_LOG_GAP; /* the answer reports how many bytes have been received */
    bytes_add(incoming_snapshot, &incoming_snapshot->bytes, ask->snapshot.payload.data, ask->snapshot.payload.count);
    if (incoming_snapshot->bytes.count < incoming_snapshot->total)
        return STATUS_BUSY;
    if (bytes_crc(incoming_snapshot->bytes.data, incoming_snapshot->bytes.count) != incoming_snapshot->checksum) {
        snapshot_piece_drop(replication);
        return STATUS_BAD_FRAME;
    }
    whole->payload = incoming_snapshot->bytes;
    return STATUS_OK;
}

uint64_t snapshot_piece_count(const Replication *replication)
{
    return replication->incoming_snapshot != NULL ? replication->incoming_snapshot->bytes.count : 0;
}

/* Whether the log has everything that the snapshot covers. Such a log is kept, since it may be longer and a majority
 * may depend on it. This also applies if the log was found to be divergent (over): it may have been corrected since,
 * and the message may be late or a duplicate. */
static bool snapshot_covered(const Replication *replication, const Record *snapshot, bool over)
{
    uint64_t term;
    if (replication->cluster == 0 || snapshot->index > log_last_index(replication->log) ||
        snapshot->index > replication->queued_index)
        return false;
    if (snapshot->index < replication->log->base_index)
        return !over || snapshot->term <= replication->log->base_term;
    return log_term_at(replication->log, snapshot->index, &term) && term == snapshot->term;
}

Status voter_install_snapshot(Replication *replication, const InstallSnapshotAsk *ask)
{
    Record promise;
    size_t count = 0;
    if (replication->cluster == 0 && rpc_cluster(replication->settings.rpc) == 0)
        return STATUS_FOREIGN_CLUSTER;
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    Status status = leader_accept(replication, ask->term, ask->holder, &promise, &count);
    if (status != STATUS_OK)
        return status;
    if (ask->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_BAD_FRAME;
    if (snapshot_covered(replication, &ask->snapshot, ask->over))
        return journal_write(replication->journal, &promise, count); /* also syncs all earlier writes */
    Record whole;
    status = snapshot_piece_accept(replication, ask, &whole);
    if (status != STATUS_OK) { /* only the promise has to be written */
        const Status written = journal_write(replication->journal, &promise, count);
        return written == STATUS_OK ? status : written;
    }
    /* another one may begin to arrive during the disk write */
    IncomingSnapshot *incoming_snapshot = replication->incoming_snapshot;
    replication->incoming_snapshot = NULL;
    status = log_replace_all(replication, &whole, NULL, 0);
    talloc_free(incoming_snapshot);
    return status == STATUS_OK && ask->term != replication->lock.promised ? STATUS_OLD_TERM : status;
}

/* Whether the log would get shorter without a change of history, which must never happen. */
static bool shortens_log(const Replication *replication, const Record *snapshot, size_t entry_count)
{
    uint64_t term;
    return replication->cluster != 0 && snapshot->index + entry_count < replication->queued_index &&
           log_term_at(replication->log, snapshot->index, &term) && term == snapshot->term;
}

/* Replaces the entire log in memory. The snapshot must already have been loaded into the state machine. */
static void log_replace(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count)
{
    Log *log = replication->log;
    log_trim(log, 0);
    log->base_index = snapshot->index; /* no part of the former log is kept */
    log_rebase(log, snapshot);
    replication->commit_index = replication->delivered_index = replication->verified_index = snapshot->index;
    replication_clock_notify(replication, snapshot->at_ms);
    for (size_t i = 0; i < entry_count; i++)
        if (entries[i].kind == RECORD_ENTRY && entries[i].index == log_last_index(log) + 1) {
            log_add(log, &entries[i]);
            replication_clock_notify(replication, entries[i].at_ms);
        }
    replication->queued_index = log_last_index(log);
    voters_reload(replication);
}

/* Makes an empty disk part of the cluster that it receives messages from. */
static void cluster_join(Replication *replication)
{
    replication->cluster = rpc_cluster(replication->settings.rpc);
    voter_list_set_initial(replication, replication->list);
    members_set_empty(replication->settings.members, false);
}

Status log_replace_all(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count)
{
    const uint64_t last_index = entry_count > 0 ? entries[entry_count - 1].index : snapshot->index;
    if (last_index < replication->commit_index && replication->settings.disks_durable)
        return history_conflict_refuse(replication, last_index + 1);
    if (shortens_log(replication, snapshot, entry_count)) {
        recorder_write(replication->settings.recorder, RECORDER_FATAL, loop_now_ms(replication->loop),
                       "own log may not go back from %" PRIu64 " to %" PRIu64, replication->queued_index,
                       snapshot->index + entry_count);
        return STATUS_INTERNAL;
    }
    Status status = replication_load(replication, snapshot);
    if (status != STATUS_OK)
        return status;
    log_replace(replication, snapshot, entries, entry_count);
    if (replication->cluster == 0)
        cluster_join(replication);
    void *mem = talloc_new(replication);
    size_t record_count;
    const Record *records = journal_records(replication, mem, &record_count);
    status = journal_rewrite(replication->journal, records, record_count);
    talloc_free(mem);
    if (status == STATUS_OK)
        log_event(replication->settings.recorder, LOG_SNAPSHOT_INSTALLED, loop_now_ms(replication->loop),
                  &(LogFields){.index = snapshot->index});
    signal_raise(replication->loop, &replication->changed);
    return status;
}
