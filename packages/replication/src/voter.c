/* The voter's part: what it promises, and the log it keeps. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "inside.h"

void voter_describe(const Replication *replication, void *mem, VoterAnswer *answer)
{
    *answer = (VoterAnswer){
        .promised = replication->lock.promised,
        .holder = replication->lock.holder,
        .held = replication_knows_holder(replication),
        .log_term = log_last_term(replication->log),
        .log_index = log_last_index(replication->log),
        .woke = replication->woke,
        .configuration_term = replication->last.term,
        .configuration_members_count = replication->last.members_count,
        .wall_ms = loop_wall_ms(replication->loop),
        .sync_ms = journal_counts(replication->journal)->last_sync_ms,
        .sight = members_sight(replication->settings.members),
        .filled = fill_count(replication),
    };
    answer->configuration_members = talloc_array(mem, DiskId, (unsigned)replication->last.members_count);
    if (replication->last.members_count > 0)
        memcpy(answer->configuration_members, replication->last.members,
               replication->last.members_count * sizeof(DiskId));
}

/* Takes a higher term as promised. The record must be synced before anything
 * is answered under it. */
static Record promise_take(Replication *replication, uint64_t term, uint64_t holder)
{
    lock_promise(&replication->lock, term, holder);
    replication->verified_index = 0;
    if ((replication->holding || replication->phase != REPLICATION_FOLLOWING) && holder != replication->disk)
        lead_down(replication, 0);
    return (Record){.kind = RECORD_PROMISE, .term = term, .index = holder, .name = ""};
}

Status voter_propose(Replication *replication, const ProposeAsk *ask)
{
    /* one that our list of voters does not have was given a voter later than our log
     * goes, or has lost the one it had */
    const bool later =
        ask->log_term > log_last_term(replication->log) ||
        (ask->log_term == log_last_term(replication->log) && ask->log_index > log_last_index(replication->log));
    const bool stranger = replication_voter_of(replication, ask->holder) < 0 && !later;
    if (ask->term == 0) /* only a look */
        return stranger && replication->cluster != 0 && replication->list_index <= replication->commit_index
                   ? STATUS_NO_VOTER
                   : STATUS_OK;
    /* a learner may have been made a voter by an entry that it has not been told yet: without
     * its promise, one that nobody leads to commit would stand for good */
    if (stranger || (replication_own_voter(replication) < 0 && !(later && replication->cluster != 0)))
        return STATUS_NO_VOTER;
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    if (ask->term < members_leader_term(replication->settings.members))
        return STATUS_OLD_TERM; /* forgotten by our disk, remembered by others */
    const Status may = lock_may_promise(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
    if (may != STATUS_OK)
        return may;
    const Record record = promise_take(replication, ask->term, ask->holder);
    const Status status = journal_write(replication->journal, &record, 1);
    if (status != STATUS_OK)
        return status;
    return lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
}

/* Term and holder of an append or fill; adds the promise record when it is newer. */
static Status holder_take(Replication *replication, uint64_t term, uint64_t holder, Record *records, size_t *count)
{
    if (term < replication->lock.promised)
        return STATUS_OLD_TERM;
    if (term == replication->lock.promised && holder != replication->lock.holder)
        return STATUS_OTHER_HOLDER;
    if (term == replication->lock.promised) {
        /* whoever stands meanwhile does so on a log that is changing */
        if (replication->phase == REPLICATION_OPENING && !replication->holding && holder != replication->disk)
            lead_down(replication, 0);
        return STATUS_OK;
    }
    records[(*count)++] = promise_take(replication, term, holder);
    return STATUS_OK;
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

/* Whether the log holds what the snapshot stands for. One that a majority counts on
 * must not go back behind it. Also when it was found to be of another history: that
 * may have been mended since, and the question come late or once more. */
static bool snapshot_held(const Replication *replication, const Record *snapshot, bool over)
{
    uint64_t term;
    if (replication->cluster == 0 || snapshot->index > log_last_index(replication->log) ||
        snapshot->index > replication->queued_index)
        return false;
    if (snapshot->index < replication->log->base_index)
        return !over || snapshot->term <= replication->log->base_term;
    return (log_term_at(replication->log, snapshot->index, &term) && term == snapshot->term);
}

Status voter_fill(Replication *replication, const FillAsk *ask)
{
    Record promise;
    size_t count = 0;
    if (replication->cluster == 0 && rpc_cluster(replication->settings.rpc) == 0)
        return STATUS_STRANGER;
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    Status status = holder_take(replication, ask->term, ask->holder, &promise, &count);
    if (status != STATUS_OK)
        return status;
    if (ask->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_BAD_FRAME;
    if (snapshot_held(replication, &ask->snapshot, ask->over))
        return journal_write(replication->journal, &promise, count); /* also what was queued before is synced then */
    Record whole;
    status = fill_take(replication, ask, &whole);
    if (status != STATUS_OK) { /* nothing changes yet but the promise */
        const Status written = journal_write(replication->journal, &promise, count);
        return written == STATUS_OK ? status : written;
    }
    Filling *filling = replication->filling; /* another may begin while the disk is waited for */
    replication->filling = NULL;
    status = voter_replace(replication, &whole, NULL, 0);
    talloc_free(filling);
    return status == STATUS_OK && ask->term != replication->lock.promised ? STATUS_OLD_TERM : status;
}

/* Whether the log would lose what it has synced of the same history: that must never be. */
static bool goes_back(const Replication *replication, const Record *snapshot, size_t entry_count)
{
    uint64_t term;
    return replication->cluster != 0 && snapshot->index + entry_count < replication->queued_index &&
           log_term_at(replication->log, snapshot->index, &term) && term == snapshot->term;
}

Status voter_replace(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count)
{
    const uint64_t last_index = entry_count > 0 ? entries[entry_count - 1].index : snapshot->index;
    if (last_index < replication->commit_index && replication->settings.disks_keep)
        return history_refuse(replication, last_index + 1);
    if (goes_back(replication, snapshot, entry_count)) {
        recorder_write(replication->settings.recorder, RECORDER_FATAL, loop_now_ms(replication->loop),
                       "own log may not go back from %" PRIu64 " to %" PRIu64, replication->queued_index,
                       snapshot->index + entry_count);
        return STATUS_INTERNAL;
    }
    Status status = replication_load(replication, snapshot);
    if (status != STATUS_OK)
        return status;
    log_trim(replication->log, 0);
    replication->log->base_index = snapshot->index; /* nothing of ours is kept */
    log_rebase(replication->log, snapshot);
    replication->commit_index = replication->delivered_index = replication->verified_index = snapshot->index;
    replication_clock_tell(replication, snapshot->at_ms);
    for (size_t i = 0; i < entry_count; i++)
        if (entries[i].kind == RECORD_ENTRY && entries[i].index == log_last_index(replication->log) + 1) {
            log_add(replication->log, &entries[i]);
            replication_clock_tell(replication, entries[i].at_ms);
        }
    replication->queued_index = log_last_index(replication->log);
    replication_reread(replication);
    if (replication->cluster == 0) {
        replication->cluster = rpc_cluster(replication->settings.rpc);
        voters_founded(replication, replication->list);
        members_set_empty(replication->settings.members, false);
    }
    void *mem = talloc_new(replication);
    size_t record_count;
    const Record *records = replication_records(replication, mem, &record_count);
    status = journal_rewrite(replication->journal, records, record_count);
    talloc_free(mem);
    signal_raise(replication->loop, &replication->news);
    return status;
}

void voter_log(Replication *replication, void *mem, const LogAsk *ask, LogAnswer *answer)
{
    const Log *log = replication->log;
    uint64_t term;
    uint64_t from = ask->after_index;
    if (!log_term_at(log, from, &term) || term != ask->after_term) {
        answer->whole = log->snapshot.kind == RECORD_SNAPSHOT;
        if (answer->whole)
            shape_copy(&Record_shape, &log->snapshot, mem, &answer->snapshot);
        from = log->base_index;
    }
    answer->entries = talloc_array(mem, Record, (unsigned)(log_last_index(log) - from));
    for (uint64_t i = from + 1; i <= log_last_index(log); i++)
        shape_copy(&Record_shape, log_at(log, i), mem, &answer->entries[answer->entries_count++]);
}

/* --- handlers ------------------------------------------------------------------ */

/* Whether a question for the disk is for ours. */
static bool is_for(const Replication *replication, uint64_t to)
{
    return to == 0 || to == replication->disk;
}

static Status on_propose(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const ProposeAsk *ask = question;
    if (!is_for(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_propose(replication, ask);
    voter_describe(replication, mem, answer);
    return status;
}

static Status on_renew(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const RenewAsk *ask = question;
    if (!is_for(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
    if (status == STATUS_OK) {
        replication_clock_set(replication, ask->clock_ms);
        members_set_leader(replication->settings.members, ask->term, ask->holder_id);
        const uint64_t commit =
            ask->commit_index < replication->verified_index ? ask->commit_index : replication->verified_index;
        if (commit > replication->commit_index)
            replication->commit_index = commit;
        replication_deliver(replication);
    }
    voter_describe(replication, mem, answer);
    return status;
}

static Status on_release(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const RenewAsk *ask = question;
    if (!is_for(replication, ask->to))
        return STATUS_OTHER_DISK;
    if (ask->term == replication->lock.promised && ask->holder == replication->lock.holder) {
        lock_release(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
        replication->named = ask->next == replication->disk;
        /* the others give the one that was named a head start */
        if (ask->next != 0 && !replication->named &&
            replication->rest_until_ms < loop_now_ms(replication->loop) + HANDED_MS)
            replication->rest_until_ms = loop_now_ms(replication->loop) + HANDED_MS;
        signal_raise(replication->loop, &replication->released);
    }
    voter_describe(replication, mem, answer);
    return STATUS_OK;
}

static Status on_append(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const AppendAsk *ask = question;
    if (!is_for(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_append(replication, ask);
    voter_describe(replication, mem, answer);
    return status;
}

static Status on_fill(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const FillAsk *ask = question;
    if (!is_for(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_fill(replication, ask);
    voter_describe(replication, mem, answer);
    return status;
}

static Status on_log(void *arg, void *mem, const void *ask, void *answer)
{
    Replication *replication = arg;
    const LogAsk *question = ask;
    if (!is_for(replication, question->to))
        return STATUS_OTHER_DISK;
    if (question->term != replication->lock.promised || question->holder != replication->lock.holder)
        return STATUS_OLD_TERM;
    voter_log(replication, mem, question, answer);
    return STATUS_OK;
}

void voter_serve(Replication *replication)
{
    Rpc *rpc = replication->settings.rpc;
    rpc_handle(rpc, MESSAGE_PROPOSE, &ProposeAsk_shape, &VoterAnswer_shape, on_propose, replication);
    rpc_handle(rpc, MESSAGE_RENEW, &RenewAsk_shape, &VoterAnswer_shape, on_renew, replication);
    rpc_handle(rpc, MESSAGE_RELEASE, &RenewAsk_shape, &VoterAnswer_shape, on_release, replication);
    rpc_handle(rpc, MESSAGE_APPEND, &AppendAsk_shape, &VoterAnswer_shape, on_append, replication);
    rpc_handle(rpc, MESSAGE_FILL, &FillAsk_shape, &VoterAnswer_shape, on_fill, replication);
    rpc_handle(rpc, MESSAGE_LOG, &LogAsk_shape, &LogAnswer_shape, on_log, replication);
}
