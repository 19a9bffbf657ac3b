/* The voter's part: what it promises, and the log it keeps. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

void voter_describe(const View *view, void *mem, VoterAnswer *answer)
{
    *answer = (VoterAnswer){
        .promised = view->lock.promised,
        .holder = view->lock.holder,
        .held = view_knows_holder(view),
        .log_term = log_last_term(view->log),
        .log_index = log_last_index(view->log),
        .woke = view->woke,
        .view_term = view->last.term,
        .view_members_count = view->last.members_count,
        .wall_ms = loop_wall_ms(view->loop),
        .sync_ms = journal_counts(view->journal)->last_sync_ms,
        .sight = members_sight(view->settings.members),
        .filled = fill_count(view),
    };
    answer->view_members = talloc_array(mem, DiskId, (unsigned)view->last.members_count);
    if (view->last.members_count > 0)
        memcpy(answer->view_members, view->last.members, view->last.members_count * sizeof(DiskId));
}

/* Takes a higher term as promised. The record must be synced before anything
 * is answered under it. */
static Record promise_take(View *view, uint64_t term, uint64_t holder)
{
    lock_promise(&view->lock, term, holder);
    view->verified_index = 0;
    if ((view->holding || view->phase != VIEW_FOLLOWING) && holder != view->disk)
        lead_down(view, 0);
    return (Record){.kind = RECORD_PROMISE, .term = term, .index = holder, .name = ""};
}

Status voter_propose(View *view, const ProposeAsk *ask)
{
    /* one that our list of voters does not have was given a voter later than our log
     * goes, or has lost the one it had */
    const bool later = ask->log_term > log_last_term(view->log) ||
                       (ask->log_term == log_last_term(view->log) && ask->log_index > log_last_index(view->log));
    const bool stranger = view_voter_of(view, ask->holder) < 0 && !later;
    if (ask->term == 0) /* only a look */
        return stranger && view->cluster != 0 && view->list_index <= view->commit_index ? STATUS_NO_VOTER : STATUS_OK;
    /* a learner may have been made a voter by an entry that it has not been told yet: without
     * its promise, one that nobody leads to commit would stand for good */
    if (stranger || (view_own_voter(view) < 0 && !(later && view->cluster != 0)))
        return STATUS_NO_VOTER;
    if (view_disk_failed(view))
        return STATUS_DISK_FAILED;
    if (ask->term < members_leader_term(view->settings.members))
        return STATUS_OLD_TERM; /* forgotten by our disk, remembered by others */
    const Status may = lock_may_promise(&view->lock, ask->term, ask->holder, loop_now_ms(view->loop));
    if (may != STATUS_OK)
        return may;
    const Record record = promise_take(view, ask->term, ask->holder);
    const Status status = journal_write(view->journal, &record, 1);
    if (status != STATUS_OK)
        return status;
    return lock_renew(&view->lock, ask->term, ask->holder, loop_now_ms(view->loop));
}

/* Term and holder of an append or fill; adds the promise record when it is newer. */
static Status holder_take(View *view, uint64_t term, uint64_t holder, Record *records, size_t *count)
{
    if (term < view->lock.promised)
        return STATUS_OLD_TERM;
    if (term == view->lock.promised && holder != view->lock.holder)
        return STATUS_OTHER_HOLDER;
    if (term == view->lock.promised) {
        /* whoever stands meanwhile does so on a log that is changing */
        if (view->phase == VIEW_OPENING && !view->holding && holder != view->disk)
            lead_down(view, 0);
        return STATUS_OK;
    }
    records[(*count)++] = promise_take(view, term, holder);
    return STATUS_OK;
}

/* Drops entries after index; a state that has seen some of them is loaded anew. */
static void trim(View *view, uint64_t index)
{
    log_trim(view->log, index);
    if (view->commit_index > index)
        view->commit_index = index;
    if (view->delivered_index > index) {
        recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                       "delivered changes %" PRIu64 "..%" PRIu64 " were not kept by the others: state loaded anew",
                       index + 1, view->delivered_index);
        view->delivered_index = view->log->base_index;
        if (view->log->snapshot.kind == RECORD_SNAPSHOT)
            view_load(view, &view->log->snapshot);
        else
            view->settings.state.load(view->settings.state.arg, (Bytes){0});
        view_deliver(view);
    }
}

/* Puts the holder's entries into the log in memory; trimmed_to is lowered when
 * entries of ours had to go. */
static Status entries_take(View *view, const AppendAsk *ask, uint64_t *trimmed_to)
{
    Log *log = view->log;
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
            if (entry->index <= view->commit_index && view->settings.disks_keep)
                return history_refuse(view, entry->index);
            if (entry->index <= log_last_index(log)) {
                trim(view, entry->index - 1);
                if (entry->index - 1 < *trimmed_to)
                    *trimmed_to = entry->index - 1;
                reread = true;
            }
            log_add(log, entry);
            view_clock_tell(view, entry->at_ms);
            reread |= entry->change < VIEW_CHANGE_FIRST;
        }
    }
    if (reread)
        view_reread(view);
    return status;
}

Status voter_append(View *view, const AppendAsk *ask)
{
    Record first[2] = {{0}};
    size_t count = 0;
    if (view->cluster == 0)
        return STATUS_LOG_GAP; /* an empty disk begins with the whole */
    if (view_disk_failed(view))
        return STATUS_DISK_FAILED;
    Status status = holder_take(view, ask->term, ask->holder, first, &count);
    if (status != STATUS_OK)
        return status;
    uint64_t trimmed_to = UINT64_MAX;
    status = entries_take(view, ask, &trimmed_to);
    if (trimmed_to < view->queued_index) {
        first[count++] = (Record){.kind = RECORD_TRIM, .index = trimmed_to, .name = ""};
        view->queued_index = trimmed_to;
    }
    /* write whatever the journal has not been given yet; also with nothing to
     * write, what was queued before must be synced before the answer */
    void *mem = talloc_new(view);
    const uint64_t last_index = log_last_index(view->log);
    if (view->queued_index < view->log->base_index)
        view->queued_index = view->log->base_index;
    Record *records = talloc_zero_array(mem, Record, (unsigned)(last_index - view->queued_index + count + 1));
    memcpy(records, first, count * sizeof(*first));
    while (view->queued_index < last_index)
        records[count++] = *log_at(view->log, ++view->queued_index);
    const Status written = journal_write(view->journal, records, count);
    talloc_free(mem);
    if (written != STATUS_OK)
        return written;
    if (status != STATUS_OK)
        return status;
    if (lock_renew(&view->lock, ask->term, ask->holder, loop_now_ms(view->loop)) != STATUS_OK)
        return STATUS_OLD_TERM;
    const uint64_t verified = ask->prev_index + ask->entries_count;
    if (verified > view->verified_index)
        view->verified_index = verified;
    const uint64_t commit = ask->commit_index < view->verified_index ? ask->commit_index : view->verified_index;
    if (commit > view->commit_index)
        view->commit_index = commit;
    view_deliver(view);
    return STATUS_OK;
}

/* Whether the log holds what the snapshot stands for. One that a majority counts on
 * must not go back behind it. Also when it was found to be of another history: that
 * may have been mended since, and the question come late or once more. */
static bool snapshot_held(const View *view, const Record *snapshot, bool over)
{
    uint64_t term;
    if (view->cluster == 0 || snapshot->index > log_last_index(view->log) || snapshot->index > view->queued_index)
        return false;
    if (snapshot->index < view->log->base_index)
        return !over || snapshot->term <= view->log->base_term;
    return (log_term_at(view->log, snapshot->index, &term) && term == snapshot->term);
}

Status voter_fill(View *view, const FillAsk *ask)
{
    Record promise;
    size_t count = 0;
    if (view->cluster == 0 && rpc_cluster(view->settings.rpc) == 0)
        return STATUS_STRANGER;
    if (view_disk_failed(view))
        return STATUS_DISK_FAILED;
    Status status = holder_take(view, ask->term, ask->holder, &promise, &count);
    if (status != STATUS_OK)
        return status;
    if (ask->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_BAD_FRAME;
    if (snapshot_held(view, &ask->snapshot, ask->over))
        return journal_write(view->journal, &promise, count); /* also what was queued before is synced then */
    Record whole;
    status = fill_take(view, ask, &whole);
    if (status != STATUS_OK) { /* nothing changes yet but the promise */
        const Status written = journal_write(view->journal, &promise, count);
        return written == STATUS_OK ? status : written;
    }
    Filling *filling = view->filling; /* another may begin while the disk is waited for */
    view->filling = NULL;
    status = voter_replace(view, &whole, NULL, 0);
    talloc_free(filling);
    return status == STATUS_OK && ask->term != view->lock.promised ? STATUS_OLD_TERM : status;
}

/* Whether the log would lose what it has synced of the same history: that must never be. */
static bool goes_back(const View *view, const Record *snapshot, size_t entry_count)
{
    uint64_t term;
    return view->cluster != 0 && snapshot->index + entry_count < view->queued_index &&
           log_term_at(view->log, snapshot->index, &term) && term == snapshot->term;
}

Status voter_replace(View *view, const Record *snapshot, const Record *entries, size_t entry_count)
{
    const uint64_t last_index = entry_count > 0 ? entries[entry_count - 1].index : snapshot->index;
    if (last_index < view->commit_index && view->settings.disks_keep)
        return history_refuse(view, last_index + 1);
    if (goes_back(view, snapshot, entry_count)) {
        recorder_write(view->settings.recorder, RECORDER_FATAL, loop_now_ms(view->loop),
                       "own log may not go back from %" PRIu64 " to %" PRIu64, view->queued_index,
                       snapshot->index + entry_count);
        return STATUS_INTERNAL;
    }
    Status status = view_load(view, snapshot);
    if (status != STATUS_OK)
        return status;
    log_trim(view->log, 0);
    view->log->base_index = snapshot->index; /* nothing of ours is kept */
    log_rebase(view->log, snapshot);
    view->commit_index = view->delivered_index = view->verified_index = snapshot->index;
    view_clock_tell(view, snapshot->at_ms);
    for (size_t i = 0; i < entry_count; i++)
        if (entries[i].kind == RECORD_ENTRY && entries[i].index == log_last_index(view->log) + 1) {
            log_add(view->log, &entries[i]);
            view_clock_tell(view, entries[i].at_ms);
        }
    view->queued_index = log_last_index(view->log);
    view_reread(view);
    if (view->cluster == 0) {
        view->cluster = rpc_cluster(view->settings.rpc);
        voters_founded(view, view->list);
        members_set_empty(view->settings.members, false);
    }
    void *mem = talloc_new(view);
    size_t record_count;
    const Record *records = view_records(view, mem, &record_count);
    status = journal_rewrite(view->journal, records, record_count);
    talloc_free(mem);
    signal_raise(view->loop, &view->news);
    return status;
}

void voter_log(View *view, void *mem, const LogAsk *ask, LogAnswer *answer)
{
    const Log *log = view->log;
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
static bool is_for(const View *view, uint64_t to)
{
    return to == 0 || to == view->disk;
}

static Status on_propose(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const ProposeAsk *ask = question;
    if (!is_for(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_propose(view, ask);
    voter_describe(view, mem, answer);
    return status;
}

static Status on_renew(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const RenewAsk *ask = question;
    if (!is_for(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = lock_renew(&view->lock, ask->term, ask->holder, loop_now_ms(view->loop));
    if (status == STATUS_OK) {
        view_clock_set(view, ask->clock_ms);
        members_set_leader(view->settings.members, ask->term, ask->holder_id);
        const uint64_t commit = ask->commit_index < view->verified_index ? ask->commit_index : view->verified_index;
        if (commit > view->commit_index)
            view->commit_index = commit;
        view_deliver(view);
    }
    voter_describe(view, mem, answer);
    return status;
}

static Status on_release(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const RenewAsk *ask = question;
    if (!is_for(view, ask->to))
        return STATUS_OTHER_DISK;
    if (ask->term == view->lock.promised && ask->holder == view->lock.holder) {
        lock_release(&view->lock, ask->term, ask->holder, loop_now_ms(view->loop));
        view->named = ask->next == view->disk;
        /* the others give the one that was named a head start */
        if (ask->next != 0 && !view->named && view->rest_until_ms < loop_now_ms(view->loop) + HANDED_MS)
            view->rest_until_ms = loop_now_ms(view->loop) + HANDED_MS;
        signal_raise(view->loop, &view->released);
    }
    voter_describe(view, mem, answer);
    return STATUS_OK;
}

static Status on_append(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const AppendAsk *ask = question;
    if (!is_for(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_append(view, ask);
    voter_describe(view, mem, answer);
    return status;
}

static Status on_fill(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const FillAsk *ask = question;
    if (!is_for(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_fill(view, ask);
    voter_describe(view, mem, answer);
    return status;
}

static Status on_log(void *arg, void *mem, const void *ask, void *answer)
{
    View *view = arg;
    const LogAsk *question = ask;
    if (!is_for(view, question->to))
        return STATUS_OTHER_DISK;
    if (question->term != view->lock.promised || question->holder != view->lock.holder)
        return STATUS_OLD_TERM;
    voter_log(view, mem, question, answer);
    return STATUS_OK;
}

void voter_serve(View *view)
{
    Rpc *rpc = view->settings.rpc;
    rpc_handle(rpc, MESSAGE_PROPOSE, &ProposeAsk_shape, &VoterAnswer_shape, on_propose, view);
    rpc_handle(rpc, MESSAGE_RENEW, &RenewAsk_shape, &VoterAnswer_shape, on_renew, view);
    rpc_handle(rpc, MESSAGE_RELEASE, &RenewAsk_shape, &VoterAnswer_shape, on_release, view);
    rpc_handle(rpc, MESSAGE_APPEND, &AppendAsk_shape, &VoterAnswer_shape, on_append, view);
    rpc_handle(rpc, MESSAGE_FILL, &FillAsk_shape, &VoterAnswer_shape, on_fill, view);
    rpc_handle(rpc, MESSAGE_LOG, &LogAsk_shape, &LogAnswer_shape, on_log, view);
}
