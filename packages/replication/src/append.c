/* Append at a voter or learner (Raft: AppendEntries at a follower): adds the leader's entries to the log, in memory and
 * on disk. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/invariant.h"
#include "clock.h"
#include "commit.h"
#include "disk.h"
#include "snapshot.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

Status history_conflict_refuse(Replication *replication, uint64_t index)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    replication->other_histories++;
    if (replication->history_conflict_logged_ms == 0 ||
        now_ms - replication->history_conflict_logged_ms >= HISTORY_LOG_INTERVAL_MS) {
        replication->history_conflict_logged_ms = now_ms;
        recorder_write(replication->settings.recorder, RECORDER_ALERT, now_ms,
                       "%s: refuses to drop entry %" PRIu64 " and what follows: committed up to %" PRIu64,
                       status_word(STATUS_OTHER_HISTORY), index, replication->commit_index);
    }
    return STATUS_OTHER_HISTORY;
}

/* Drops the entries after index. If some of them were delivered, the state machine is reloaded from the snapshot. */
static void entries_drop(Replication *replication, uint64_t index)
{
    INVARIANT(LOG_ORDER, index >= replication->log->base_index);
    log_trim(replication->log, index);
    if (replication->commit_index > index)
        replication->commit_index = index;
    if (replication->delivered_index <= index)
        return;
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "entries %" PRIu64 "..%" PRIu64, index + 1, replication->delivered_index);
    log_event(replication->settings.recorder, LOG_LOG_TRIMMED, loop_now_ms(replication->loop),
              &(LogFields){.text = text});
    replication->delivered_index = replication->log->base_index;
    /* this process saved or loaded that snapshot, so loading it again must succeed; an incomplete state cannot be used
     */
    const Status loaded = replication->log->snapshot.kind == RECORD_SNAPSHOT
                              ? replication_load(replication, &replication->log->snapshot)
                              : replication->settings.state.load(replication->settings.state.arg, (Bytes){0});
    INVARIANT(STATE_LOADS, loaded == STATUS_OK);
    replication_deliver(replication);
}

/* The effect of an append on the log so far. */
typedef struct AppendEffect {
    uint64_t trimmed_to; /* the entries after this index were dropped; UINT64_MAX: none were */
    bool reread;         /* the list of voters or the view may have changed */
} AppendEffect;

/* Adds one entry of the leader to the log in memory, unless the log has it already. */
static Status entry_accept(Replication *replication, const Record *entry, AppendEffect *effect)
{
    Log *log = replication->log;
    uint64_t term;
    if (entry->index <= log->base_index) /* a snapshot of a divergent history has a lower term */
        return entry->term > log->base_term ? STATUS_LOG_GAP : STATUS_OK;
    if (log_term_at(log, entry->index, &term) && term == entry->term)
        return STATUS_OK;
    if (entry->index <= replication->commit_index && replication->settings.disks_durable)
        return history_conflict_refuse(replication, entry->index);
    if (entry->index <= log_last_index(log)) {
        entries_drop(replication, entry->index - 1);
        if (entry->index - 1 < effect->trimmed_to)
            effect->trimmed_to = entry->index - 1;
        effect->reread = true;
    }
    log_add(log, entry);
    replication_clock_notify(replication, entry->at_ms);
    effect->reread |= entry->change < REPLICATION_CHANGE_FIRST;
    return STATUS_OK;
}

/* Adds the leader's entries to the log in memory. */
static Status entries_accept(Replication *replication, const AppendAsk *ask, AppendEffect *effect)
{
    const Log *log = replication->log;
    uint64_t term;
    /* entries covered by the local snapshot are committed, so they are the same at the leader */
    if (ask->prev_index > log->base_index && (!log_term_at(log, ask->prev_index, &term) || term != ask->prev_term))
        return STATUS_LOG_GAP;
    Status status = STATUS_OK;
    for (size_t i = 0; i < ask->entries_count && status == STATUS_OK; i++) {
        const Record *entry = &ask->entries[i];
        const bool follows = entry->index == ask->prev_index + 1 + i && entry->kind == RECORD_ENTRY;
        status = follows ? entry_accept(replication, entry, effect) : STATUS_BAD_FRAME;
    }
    if (effect->reread)
        voters_reload(replication);
    return status;
}

/* Suspends the coroutine for disk I/O. Writes these records and the entries that have not been passed to the journal
 * yet. If there is nothing to write, it still suspends the coroutine until all earlier writes are synced. */
static Status entries_write(Replication *replication, const Record *first, size_t count)
{
    void *mem = talloc_new(replication);
    const uint64_t last_index = log_last_index(replication->log);
    if (replication->queued_index < replication->log->base_index)
        replication->queued_index = replication->log->base_index;
    Record *records = talloc_zero_array(mem, Record, (unsigned)(last_index - replication->queued_index + count + 1));
    memcpy(records, first, count * sizeof(*first));
    while (replication->queued_index < last_index)
        records[count++] = *log_at(replication->log, ++replication->queued_index);
    const Status status = journal_write(replication->journal, records, count);
    talloc_free(mem);
    return status;
}

Status voter_append(Replication *replication, const AppendAsk *ask)
{
    Record first[2] = {{0}}; /* at most a promise and a trim */
    size_t count = 0;
    if (replication->cluster == 0)
        return STATUS_LOG_GAP; /* an empty disk must first receive a snapshot */
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    Status status = leader_accept(replication, ask->term, ask->holder, first, &count);
    if (status != STATUS_OK)
        return status;
    AppendEffect effect = {.trimmed_to = UINT64_MAX};
    status = entries_accept(replication, ask, &effect);
    if (effect.trimmed_to < replication->queued_index) {
        first[count++] = (Record){.kind = RECORD_TRIM, .index = effect.trimmed_to, .name = ""};
        replication->queued_index = effect.trimmed_to;
    }
    const Status written = entries_write(replication, first, count);
    if (written != STATUS_OK)
        return written;
    if (status != STATUS_OK)
        return status;
    if (lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop), ask->grant_ms) !=
        STATUS_OK)
        return STATUS_OLD_TERM; /* another term was promised during the disk write */
    const uint64_t verified = ask->prev_index + ask->entries_count;
    if (verified > replication->verified_index)
        replication->verified_index = verified;
    follower_commit_advance(replication, ask->commit_index);
    return STATUS_OK;
}
