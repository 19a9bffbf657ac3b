/* Rewrites of the entire journal at run time: after a snapshot was made, and after a disk failure. */
#include <talloc.h>

#include "disk.h"
#include "snapshot.h"
#include "state.h"

Record *journal_records(Replication *replication, void *mem, size_t *count)
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

/* Suspends the coroutine for disk I/O. Rewrites the entire journal with all entries, including those that had not been
 * passed to it before. These count as queued from now on, so that a later drop of them is written too. */
static Status journal_rewrite_all(Replication *replication)
{
    void *mem = talloc_new(replication);
    size_t count;
    const Record *records = journal_records(replication, mem, &count);
    replication->queued_index = log_last_index(replication->log);
    const Status status = journal_rewrite(replication->journal, records, count);
    talloc_free(mem);
    return status;
}

static void compact_main(void *arg)
{
    Replication *replication = arg;
    (void)journal_rewrite_all(replication); /* a failure shows in journal_failed, and disk_retry_main retries */
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

/* Suspends the coroutine for disk I/O. One attempt to rewrite the entire journal after a failed write. Until an attempt
 * succeeds, this node accepts nothing, so that memory and disk cannot diverge. */
static void disk_recover(Replication *replication)
{
    disk_failed_log(replication);
    replication->recovering = true;
    log_compact(replication); /* a full disk may be able to hold the compacted log */
    if (journal_rewrite_all(replication) == STATUS_OK) {
        replication->disk_failure_logged = false;
        log_event(replication->settings.recorder, LOG_DISK_RECOVERED, loop_now_ms(replication->loop), &(LogFields){0});
    }
    replication->recovering = false;
}

/* The task that retries a failed disk. While the disk keeps failing, or fails again soon after it has recovered, as a
 * nearly full disk does, the interval between attempts grows: each attempt costs a rewrite. */
static void disk_retry_main(void *arg)
{
    Replication *replication = arg;
    int64_t rest_ms = DISK_RETRY_MS, tried_ms = INT64_MIN;
    while (!loop_stopping(replication->loop)) {
        loop_sleep(replication->loop, DISK_RETRY_MS);
        if (replication->list_reverted || replication->compacting || replication->has_lease ||
            !journal_failed(replication->journal))
            continue;
        const bool again = tried_ms != INT64_MIN && loop_now_ms(replication->loop) - tried_ms < DISK_HEALTHY_MS;
        rest_ms = !again ? DISK_RETRY_MS : 2 * rest_ms < DISK_RETRY_MAX_MS ? 2 * rest_ms : DISK_RETRY_MAX_MS;
        if (again)
            loop_sleep(replication->loop, rest_ms - DISK_RETRY_MS);
        disk_recover(replication);
        tried_ms = loop_now_ms(replication->loop);
    }
}

void disk_retry_start(Replication *replication)
{
    loop_spawn(replication->loop, "disk", disk_retry_main, replication);
}

bool replication_disk_failed(const Replication *replication)
{
    return replication->recovering || replication->list_reverted || journal_failed(replication->journal);
}
