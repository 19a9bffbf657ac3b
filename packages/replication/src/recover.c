/* Recovery: reading the journal at the start of a process. A journal that is not whole is not used: the node continues
 * with a new, empty disk, which has promised nothing and never founds a cluster. */
#include <inttypes.h>
#include <talloc.h>

#include "clock.h"
#include "replication/log.h"
#include "snapshot.h"
#include "state.h"
#include "voter_list.h"

/* A journal that is being read. */
typedef struct Reading {
    Replication *replication;
    Failure failure; /* what is wrong with the records together; each is valid by itself */
} Reading;

/* The cluster, and the list of voters that it was founded with. */
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
    replication_clock_notify(replication, record->at_ms);
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
        replication_clock_notify(replication, record->at_ms);
        break;
    case RECORD_COMMIT:
        break; /* of an earlier release; the leader sends the commit index again */
    default:
        failure_set(&reading->failure, STATUS_JOURNAL_FORMAT,
                    "a record of kind %" PRIu64 ", which this release does not know", record->kind);
    }
}

static JournalSettings journal_settings(const Replication *replication, const char *path)
{
    return (JournalSettings){
        .path = path, .node_name = replication->node_name, .disk_keeps = replication->settings.disks_keep};
}

/* Waits. Opens the journal and takes what it holds. */
static Status disk_read(Replication *replication, const char *path, Failure *failure)
{
    Reading reading = {.replication = replication};
    const JournalSettings settings = journal_settings(replication, path);
    const Status status =
        journal_open(replication->loop, replication, &settings, record_found, &reading, &replication->journal, failure);
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

/* Undoes disk_read. */
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

/* Waits. The journal is not whole: what it has promised and acknowledged is not known. */
static Status disk_begin_anew(Replication *replication, const char *path, Failure *failure)
{
    log_event(replication->settings.recorder, LOG_JOURNAL_DAMAGED, loop_now_ms(replication->loop),
              &(LogFields){.text = failure->text});
    *failure = (Failure){0};
    disk_forget(replication);
    const JournalSettings settings = journal_settings(replication, path);
    return journal_begin(replication->loop, replication, &settings, &replication->journal, failure);
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
        replication->settings.founds = REPLICATION_FOUNDS_NEVER; /* the cluster of the former disk may still run */
    replication->queued_index = log_last_index(replication->log);
    replication_reread(replication);
    replication->restarted = replication->cluster != 0;
    /* a lease may have been granted just before the restart: nothing is promised until it has lapsed. A
     * disk that was never part of a cluster has granted nothing. */
    if (replication->cluster != 0)
        replication->lock.not_before_ms = loop_now_ms(replication->loop) + LOCK_GRANT_MS;
    replication->lock.promise_certain = replication->settings.disks_keep;
    if (replication->cluster != 0)
        rpc_set_cluster(replication->settings.rpc, replication->cluster);
    return STATUS_OK;
}
