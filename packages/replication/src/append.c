/* Append at a voter or learner: the leader's entries into the own log, in memory and synced. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "commit.h"
#include "disk.h"
#include "snapshot.h"
#include "state.h"
#include "voter.h"
#include "voterlist.h"

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

/* Drops entries after index; a state that has seen some of them is loaded anew. */
static void trim(Replication *replication, uint64_t index)
{
    log_trim(replication->log, index);
    if (replication->commit_index > index)
        replication->commit_index = index;
    if (replication->delivered_index > index) {
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "delivered changes %" PRIu64 "..%" PRIu64 " were not kept by the others: state loaded anew",
                       index + 1, replication->delivered_index);
        replication->delivered_index = replication->log->base_index;
        if (replication->log->snapshot.kind == RECORD_SNAPSHOT)
            replication_load(replication, &replication->log->snapshot);
        else
            replication->settings.state.load(replication->settings.state.arg, (Bytes){0});
        replication_deliver(replication);
    }
}

/* Puts the holder's entries into the log in memory; trimmed_to is lowered when
 * entries of ours had to go. */
static Status entries_take(Replication *replication, const AppendAsk *ask, uint64_t *trimmed_to)
{
    Log *log = replication->log;
    uint64_t term;
    /* what lies under our snapshot is committed and so the same */
    if (ask->prev_index > log->base_index && (!log_term_at(log, ask->prev_index, &term) || term != ask->prev_term))
        return STATUS_LOG_GAP;
    bool reread = false;
    Status status = STATUS_OK;
    for (size_t i = 0; i < ask->entries_count && status == STATUS_OK; i++) {
        const Record *entry = &ask->entries[i];
        if (entry->index != ask->prev_index + 1 + i || entry->kind != RECORD_ENTRY) {
            status = STATUS_BAD_FRAME;
        } else if (entry->index <= log->base_index) {
            if (entry->term > log->base_term) /* our snapshot is of another history */
                status = STATUS_LOG_GAP;
        } else if (!log_term_at(log, entry->index, &term) || term != entry->term) {
            if (entry->index <= replication->commit_index && replication->settings.disks_keep)
                return history_refuse(replication, entry->index);
            if (entry->index <= log_last_index(log)) {
                trim(replication, entry->index - 1);
                if (entry->index - 1 < *trimmed_to)
                    *trimmed_to = entry->index - 1;
                reread = true;
            }
            log_add(log, entry);
            replication_clock_tell(replication, entry->at_ms);
            reread |= entry->change < REPLICATION_CHANGE_FIRST;
        }
    }
    if (reread)
        replication_reread(replication);
    return status;
}

Status voter_append(Replication *replication, const AppendAsk *ask)
{
    Record first[2] = {{0}};
    size_t count = 0;
    if (replication->cluster == 0)
        return STATUS_LOG_GAP; /* an empty disk begins with the whole */
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    Status status = holder_take(replication, ask->term, ask->holder, first, &count);
    if (status != STATUS_OK)
        return status;
    uint64_t trimmed_to = UINT64_MAX;
    status = entries_take(replication, ask, &trimmed_to);
    if (trimmed_to < replication->queued_index) {
        first[count++] = (Record){.kind = RECORD_TRIM, .index = trimmed_to, .name = ""};
        replication->queued_index = trimmed_to;
    }
    /* write whatever the journal has not been given yet; also with nothing to
     * write, what was queued before must be synced before the answer */
    void *mem = talloc_new(replication);
    const uint64_t last_index = log_last_index(replication->log);
    if (replication->queued_index < replication->log->base_index)
        replication->queued_index = replication->log->base_index;
    Record *records = talloc_zero_array(mem, Record, (unsigned)(last_index - replication->queued_index + count + 1));
    memcpy(records, first, count * sizeof(*first));
    while (replication->queued_index < last_index)
        records[count++] = *log_at(replication->log, ++replication->queued_index);
    const Status written = journal_write(replication->journal, records, count);
    talloc_free(mem);
    if (written != STATUS_OK)
        return written;
    if (status != STATUS_OK)
        return status;
    if (lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop)) != STATUS_OK)
        return STATUS_OLD_TERM;
    const uint64_t verified = ask->prev_index + ask->entries_count;
    if (verified > replication->verified_index)
        replication->verified_index = verified;
    const uint64_t commit =
        ask->commit_index < replication->verified_index ? ask->commit_index : replication->verified_index;
    if (commit > replication->commit_index)
        replication->commit_index = commit;
    replication_deliver(replication);
    return STATUS_OK;
}
