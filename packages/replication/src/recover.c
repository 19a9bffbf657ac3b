/* Recovery: reads the journal when the process starts. A corrupt journal is not used: the node continues with a new,
 * empty disk, which has promised nothing and never founds a cluster. */
#include <inttypes.h>
#include <talloc.h>

#include "clock.h"
#include "replication/log.h"
#include "snapshot.h"
#include "state.h"
#include "voter_list.h"

/* The state of reading a journal. */
typedef struct Reading {
    Replication *replication;
    Failure failure; /* an inconsistency between records that are valid individually */
} Reading;

/* Restores the cluster id, and the list of voters that the cluster was founded with. */
static void recover_cluster(Replication *replication, const Record *record)
{
    VoterList *voters = talloc_zero(replication, VoterList);
    if (shape_unpack(&VoterList_shape, record->payload, voters, voters, NULL) == STATUS_OK) {
        talloc_free(replication->founded);
        replication->founded = voters;
    }
    replication->cluster = record->term;
}

static void recover_entry(Reading *reading, const Record *record)
{
    Replication *replication = reading->replication;
    const uint64_t last_index = log_last_index(replication->log);
    const Status status = log_recover(replication->log, record);
    if (status != STATUS_OK)
        failure_set(&reading->failure, status,
                    "entry %" PRIu64 " does not follow the log, which ends at entry %" PRIu64, record->index,
                    last_index);
    replication_clock_notify(replication, record->at_ms);
}

static void recover_record(void *arg, const Record *record)
{
    Reading *reading = arg;
    Replication *replication = reading->replication;
    if (reading->failure.status != STATUS_OK)
        return;
    switch (record->kind) {
    case RECORD_CLUSTER:
        recover_cluster(replication, record);
        break;
    case RECORD_PROMISE:
        lock_promise(&replication->lock, record->term, record->index);
        break;
    case RECORD_ENTRY:
        recover_entry(reading, record);
        break;
    case RECORD_TRIM:
        log_trim(replication->log, record->index);
        break;
    case RECORD_SNAPSHOT:
        log_trim(replication->log, 0);
        log_rebase(replication->log, record);
        replication_clock_notify(replication, record->at_ms);
        break;
    case RECORD_COMMIT:
        break; /* written by an earlier release; the leader sends the commit index again */
    default:
        failure_set(&reading->failure, STATUS_JOURNAL_FORMAT,
                    "unknown record kind %" PRIu64 "; the journal was written by a later release", record->kind);
    }
}

static JournalSettings journal_settings(const Replication *replication, const char *path)
{
    return (JournalSettings){
        .path = path, .node_name = replication->node_name, .disk_durable = replication->settings.disks_durable};
}

/* Suspends the coroutine. Opens the journal and restores the state from its records. */
static Status disk_read(Replication *replication, const char *path, Failure *failure)
{
    Reading reading = {.replication = replication};
    const JournalSettings settings = journal_settings(replication, path);
    const Status status = journal_open(replication->loop, replication, &settings, recover_record, &reading,
                                       &replication->journal, failure);
    if (status != STATUS_OK)
        return status;
    if (reading.failure.status != STATUS_OK)
        return failure_set(failure, reading.failure.status, "%s: %s", path, reading.failure.text);
    const bool state = replication->log->snapshot.kind == RECORD_SNAPSHOT || replication->log->count > 0 ||
                       replication->lock.promised != 0;
    if (replication->cluster == 0 && state)
        return failure_set(failure, STATUS_JOURNAL_CORRUPT, "%s holds a log but no cluster record", path);
    if (replication->log->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_OK;
    const Status loaded = replication_load(replication, &replication->log->snapshot);
    if (loaded != STATUS_OK)
        return failure_set(failure, STATUS_JOURNAL_CORRUPT, "the snapshot of %s can't be read: %s", path,
                           status_word(loaded));
    replication->commit_index = replication->delivered_index;
    return STATUS_OK;
}

/* Discards everything that disk_read has restored. */
static void disk_discard(Replication *replication)
{
    talloc_free(replication->log);
    replication->log = log_new(replication);
    talloc_free(replication->founded);
    talloc_free(replication->list);
    voter_list_init(replication);
    replication->cluster = 0;
    replication->lock = (LockVoter){0};
    replication->clock_base_ms = replication->clock_at_ms = replication->clock_log_ms = 0;
    replication->clock_runs = false;
    replication->commit_index = replication->delivered_index = 0;
    replication->settings.state.load(replication->settings.state.arg, (Bytes){0});
}

/* Suspends the coroutine. Replaces a corrupt journal by a new, empty one: what was promised and acknowledged with it is
 * unknown. */
static Status disk_replace(Replication *replication, const char *path, Failure *failure)
{
    log_event(replication->settings.recorder, LOG_JOURNAL_DAMAGED, loop_now_ms(replication->loop),
              &(LogFields){.text = failure->text});
    *failure = (Failure){0};
    disk_discard(replication);
    const JournalSettings settings = journal_settings(replication, path);
    return journal_recreate(replication->loop, replication, &settings, &replication->journal, failure);
}

Status replication_open_disk(Replication *replication, const char *path, const char *node_name, Failure *failure)
{
    Failure read = {0};
    replication->node_name = talloc_strdup(replication, node_name);
    Status status = disk_read(replication, path, &read);
    if (status == STATUS_JOURNAL_CORRUPT)
        status = disk_replace(replication, path, &read);
    if (status != STATUS_OK)
        return failure_set(failure, status, "%s", read.text);
    replication->disk = journal_disk(replication->journal);
    if (journal_counts(replication->journal)->recreated)
        replication->settings.founding_mode = FOUNDING_NEVER; /* the former disk's cluster may still be running */
    replication->queued_index = log_last_index(replication->log);
    voters_reload(replication);
    replication->restarted = replication->cluster != 0;
    /* a lease may have been granted just before the restart: nothing is promised until it has expired. A disk that was
     * never part of a cluster has granted nothing. */
    if (replication->cluster != 0)
        replication->lock.not_before_ms = loop_now_ms(replication->loop) + LOCK_GRANT_MS;
    replication->lock.promise_certain = replication->settings.disks_durable;
    if (replication->cluster != 0)
        rpc_set_cluster(replication->settings.rpc, replication->cluster);
    return STATUS_OK;
}
