/* Rewriting the whole journal while the process runs: after a snapshot was made, and after a failure of the disk. */
#include <talloc.h>

#include "disk.h"
#include "snapshot.h"
#include "state.h"

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

/* Waits for the disk. Rewrites the whole journal, with all entries, also those that it had not been given before: they
 * count as queued from here on, so that dropping them is written, too. */
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
    (void)journal_anew(replication); /* a failure shows in journal_failed, and disk_tend_main tries again */
    replication->compacting = false;
}

void disk_compact(Replication *replication)
{
    replication->compacting = true;
    loop_spawn(replication->loop, "compact", compact_main, replication);
}

void disk_failed_log(Replication *replication)
{
    if (replication->disk_failure_logged)
        return;
    replication->disk_failure_logged = true;
    log_event(replication->settings.recorder, LOG_DISK_FAILED, loop_now_ms(replication->loop), &(LogFields){0});
}

/* Waits for the disk. After a failed write the whole journal is rewritten, again and again until that succeeds. Until
 * then this node accepts nothing, so that memory and disk do not differ. */
static void disk_recover(Replication *replication)
{
    disk_failed_log(replication);
    replication->recovering = true;
    log_shorten(replication); /* a disk that is full may take what is left */
    if (journal_anew(replication) == STATUS_OK) {
        replication->disk_failure_logged = false;
        log_event(replication->settings.recorder, LOG_DISK_RECOVERED, loop_now_ms(replication->loop), &(LogFields){0});
    }
    replication->recovering = false;
}

/* Tends a disk that has failed. While it goes on failing, or fails again soon after it has recovered, as a nearly full
 * one does, it is tried after growing spans: each try costs a rewrite. */
static void disk_tend_main(void *arg)
{
    Replication *replication = arg;
    int64_t rest_ms = DISK_RETRY_MS, tried_ms = INT64_MIN;
    while (!loop_stopping(replication->loop)) {
        loop_sleep(replication->loop, DISK_RETRY_MS);
        if (replication->list_went_back || replication->compacting || replication->has_lease ||
            !journal_failed(replication->journal))
            continue;
        const bool again = tried_ms != INT64_MIN && loop_now_ms(replication->loop) - tried_ms < DISK_WELL_MS;
        rest_ms = !again ? DISK_RETRY_MS : 2 * rest_ms < DISK_RETRY_MOST_MS ? 2 * rest_ms : DISK_RETRY_MOST_MS;
        if (again)
            loop_sleep(replication->loop, rest_ms - DISK_RETRY_MS);
        disk_recover(replication);
        tried_ms = loop_now_ms(replication->loop);
    }
}

void disk_start(Replication *replication)
{
    loop_spawn(replication->loop, "disk", disk_tend_main, replication);
}

bool replication_disk_failed(const Replication *replication)
{
    return replication->recovering || replication->list_went_back || journal_failed(replication->journal);
}
