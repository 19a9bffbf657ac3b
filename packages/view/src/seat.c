/* The seat's part: what it promises, and the log it keeps. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

void seatDescribe(const View *view, void *mem, SeatAnswer *answer)
{
    *answer = (SeatAnswer){
        .promised = view->lock.promised,
        .holder = view->lock.holder,
        .held = viewKnowsHolder(view),
        .logEpoch = logLastEpoch(view->log),
        .logIndex = logLastIndex(view->log),
        .woke = view->woke,
        .viewEpoch = view->last.epoch,
        .viewMembersCount = view->last.members_count,
        .wall_ms = loop_wall_ms(view->loop),
        .syncMs = journal_counts(view->journal)->last_sync_ms,
        .sight = members_sight(view->props.members),
        .filled = fillCount(view),
    };
    answer->viewMembers = talloc_array(mem, DiskId, (unsigned)view->last.members_count);
    if (view->last.members_count > 0)
        memcpy(answer->viewMembers, view->last.members, view->last.members_count * sizeof(DiskId));
}

/* Takes a higher epoch as promised. The record must be synced before anything
 * is answered under it. */
static Record promiseTake(View *view, uint64_t epoch, uint64_t holder)
{
    lock_promise(&view->lock, epoch, holder);
    view->verifiedIndex = 0;
    if ((view->holding || view->phase != VIEW_FOLLOWING) && holder != view->disk)
        leadDown(view, 0);
    return (Record){.kind = RECORD_PROMISE, .epoch = epoch, .index = holder, .name = ""};
}

Status seatPropose(View *view, const ProposeAsk *ask)
{
    /* one that our list of seats does not have was given a seat later than our log
     * goes, or has lost the one it had */
    const bool later = ask->logEpoch > logLastEpoch(view->log) ||
                       (ask->logEpoch == logLastEpoch(view->log) && ask->logIndex > logLastIndex(view->log));
    const bool stranger = viewSeatOf(view, ask->holder) < 0 && !later;
    if (ask->epoch == 0) /* only a look */
        return stranger && view->cluster != 0 && view->listIndex <= view->commitIndex ? STATUS_NO_SEAT : STATUS_OK;
    /* a learner may have been made a voter by an entry that it has not been told yet: without
     * its promise, one that nobody leads to commit would stand for good */
    if (stranger || (viewOwnSeat(view) < 0 && !(later && view->cluster != 0)))
        return STATUS_NO_SEAT;
    if (viewDiskFailed(view))
        return STATUS_DISK_FAILED;
    if (ask->epoch < members_leader_epoch(view->props.members))
        return STATUS_OLD_EPOCH; /* forgotten by our disk, remembered by others */
    const Status may = lock_may_promise(&view->lock, ask->epoch, ask->holder, loop_now_ms(view->loop));
    if (may != STATUS_OK)
        return may;
    const Record record = promiseTake(view, ask->epoch, ask->holder);
    const Status status = journal_write(view->journal, &record, 1);
    if (status != STATUS_OK)
        return status;
    return lock_renew(&view->lock, ask->epoch, ask->holder, loop_now_ms(view->loop));
}

/* Epoch and holder of an append or fill; adds the promise record when it is newer. */
static Status holderTake(View *view, uint64_t epoch, uint64_t holder, Record *records, size_t *count)
{
    if (epoch < view->lock.promised)
        return STATUS_OLD_EPOCH;
    if (epoch == view->lock.promised && holder != view->lock.holder)
        return STATUS_OTHER_HOLDER;
    if (epoch == view->lock.promised) {
        /* whoever stands meanwhile does so on a log that is changing */
        if (view->phase == VIEW_OPENING && !view->holding && holder != view->disk)
            leadDown(view, 0);
        return STATUS_OK;
    }
    records[(*count)++] = promiseTake(view, epoch, holder);
    return STATUS_OK;
}

/* Drops entries after index; a state that has seen some of them is loaded anew. */
static void trim(View *view, uint64_t index)
{
    logTrim(view->log, index);
    if (view->commitIndex > index)
        view->commitIndex = index;
    if (view->deliveredIndex > index) {
        ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop),
                 "delivered changes %" PRIu64 "..%" PRIu64 " were not kept by the others: state loaded anew", index + 1,
                 view->deliveredIndex);
        view->deliveredIndex = view->log->baseIndex;
        if (view->log->snapshot.kind == RECORD_SNAPSHOT)
            viewLoad(view, &view->log->snapshot);
        else
            view->props.state.load(view->props.state.arg, (Bytes){0});
        viewDeliver(view);
    }
}

/* Puts the holder's entries into the log in memory; trimmedTo is lowered when
 * entries of ours had to go. */
static Status entriesTake(View *view, const AppendAsk *ask, uint64_t *trimmedTo)
{
    Log *log = view->log;
    uint64_t epoch;
    /* what lies under our snapshot is committed and so the same */
    if (ask->prevIndex > log->baseIndex && (!logEpochAt(log, ask->prevIndex, &epoch) || epoch != ask->prevEpoch))
        return STATUS_LOG_GAP;
    bool reread = false;
    Status status = STATUS_OK;
    for (size_t i = 0; i < ask->entriesCount && status == STATUS_OK; i++) {
        const Record *entry = &ask->entries[i];
        if (entry->index != ask->prevIndex + 1 + i || entry->kind != RECORD_ENTRY) {
            status = STATUS_BAD_FRAME;
        } else if (entry->index <= log->baseIndex) {
            if (entry->epoch > log->baseEpoch) /* our snapshot is of another history */
                status = STATUS_LOG_GAP;
        } else if (!logEpochAt(log, entry->index, &epoch) || epoch != entry->epoch) {
            if (entry->index <= view->commitIndex && view->props.disksKeep)
                return historyRefuse(view, entry->index);
            if (entry->index <= logLastIndex(log)) {
                trim(view, entry->index - 1);
                if (entry->index - 1 < *trimmedTo)
                    *trimmedTo = entry->index - 1;
                reread = true;
            }
            logAdd(log, entry);
            viewClockTell(view, entry->at_ms);
            reread |= entry->change < VIEW_CHANGE_FIRST;
        }
    }
    if (reread)
        viewReread(view);
    return status;
}

Status seatAppend(View *view, const AppendAsk *ask)
{
    Record first[2] = {{0}};
    size_t count = 0;
    if (view->cluster == 0)
        return STATUS_LOG_GAP; /* an empty disk begins with the whole */
    if (viewDiskFailed(view))
        return STATUS_DISK_FAILED;
    Status status = holderTake(view, ask->epoch, ask->holder, first, &count);
    if (status != STATUS_OK)
        return status;
    uint64_t trimmedTo = UINT64_MAX;
    status = entriesTake(view, ask, &trimmedTo);
    if (trimmedTo < view->queuedIndex) {
        first[count++] = (Record){.kind = RECORD_TRIM, .index = trimmedTo, .name = ""};
        view->queuedIndex = trimmedTo;
    }
    /* write whatever the journal has not been given yet; also with nothing to
     * write, what was queued before must be synced before the answer */
    void *mem = talloc_new(view);
    const uint64_t last_index = logLastIndex(view->log);
    if (view->queuedIndex < view->log->baseIndex)
        view->queuedIndex = view->log->baseIndex;
    Record *records = talloc_zero_array(mem, Record, (unsigned)(last_index - view->queuedIndex + count + 1));
    memcpy(records, first, count * sizeof(*first));
    while (view->queuedIndex < last_index)
        records[count++] = *logAt(view->log, ++view->queuedIndex);
    const Status written = journal_write(view->journal, records, count);
    talloc_free(mem);
    if (written != STATUS_OK)
        return written;
    if (status != STATUS_OK)
        return status;
    if (lock_renew(&view->lock, ask->epoch, ask->holder, loop_now_ms(view->loop)) != STATUS_OK)
        return STATUS_OLD_EPOCH;
    const uint64_t verified = ask->prevIndex + ask->entriesCount;
    if (verified > view->verifiedIndex)
        view->verifiedIndex = verified;
    const uint64_t commit = ask->commitIndex < view->verifiedIndex ? ask->commitIndex : view->verifiedIndex;
    if (commit > view->commitIndex)
        view->commitIndex = commit;
    viewDeliver(view);
    return STATUS_OK;
}

/* Whether the log holds what the snapshot stands for. One that a majority counts on
 * must not go back behind it. Also when it was found to be of another history: that
 * may have been mended since, and the question come late or once more. */
static bool snapshotHeld(const View *view, const Record *snapshot, bool over)
{
    uint64_t epoch;
    if (view->cluster == 0 || snapshot->index > logLastIndex(view->log) || snapshot->index > view->queuedIndex)
        return false;
    if (snapshot->index < view->log->baseIndex)
        return !over || snapshot->epoch <= view->log->baseEpoch;
    return (logEpochAt(view->log, snapshot->index, &epoch) && epoch == snapshot->epoch);
}

Status seatFill(View *view, const FillAsk *ask)
{
    Record promise;
    size_t count = 0;
    if (view->cluster == 0 && courier_cluster(view->props.courier) == 0)
        return STATUS_STRANGER;
    if (viewDiskFailed(view))
        return STATUS_DISK_FAILED;
    Status status = holderTake(view, ask->epoch, ask->holder, &promise, &count);
    if (status != STATUS_OK)
        return status;
    if (ask->snapshot.kind != RECORD_SNAPSHOT)
        return STATUS_BAD_FRAME;
    if (snapshotHeld(view, &ask->snapshot, ask->over))
        return journal_write(view->journal, &promise, count); /* also what was queued before is synced then */
    Record whole;
    status = fillTake(view, ask, &whole);
    if (status != STATUS_OK) { /* nothing changes yet but the promise */
        const Status written = journal_write(view->journal, &promise, count);
        return written == STATUS_OK ? status : written;
    }
    Filling *filling = view->filling; /* another may begin while the disk is waited for */
    view->filling = NULL;
    status = seatReplace(view, &whole, NULL, 0);
    talloc_free(filling);
    return status == STATUS_OK && ask->epoch != view->lock.promised ? STATUS_OLD_EPOCH : status;
}

/* Whether the log would lose what it has synced of the same history: that must never be. */
static bool goesBack(const View *view, const Record *snapshot, size_t entryCount)
{
    uint64_t epoch;
    return view->cluster != 0 && snapshot->index + entryCount < view->queuedIndex &&
           logEpochAt(view->log, snapshot->index, &epoch) && epoch == snapshot->epoch;
}

Status seatReplace(View *view, const Record *snapshot, const Record *entries, size_t entryCount)
{
    const uint64_t last_index = entryCount > 0 ? entries[entryCount - 1].index : snapshot->index;
    if (last_index < view->commitIndex && view->props.disksKeep)
        return historyRefuse(view, last_index + 1);
    if (goesBack(view, snapshot, entryCount)) {
        ring_say(view->props.ring, RING_FATAL, loop_now_ms(view->loop),
                 "own log may not go back from %" PRIu64 " to %" PRIu64, view->queuedIndex,
                 snapshot->index + entryCount);
        return STATUS_INTERNAL;
    }
    Status status = viewLoad(view, snapshot);
    if (status != STATUS_OK)
        return status;
    logTrim(view->log, 0);
    view->log->baseIndex = snapshot->index; /* nothing of ours is kept */
    logRebase(view->log, snapshot);
    view->commitIndex = view->deliveredIndex = view->verifiedIndex = snapshot->index;
    viewClockTell(view, snapshot->at_ms);
    for (size_t i = 0; i < entryCount; i++)
        if (entries[i].kind == RECORD_ENTRY && entries[i].index == logLastIndex(view->log) + 1) {
            logAdd(view->log, &entries[i]);
            viewClockTell(view, entries[i].at_ms);
        }
    view->queuedIndex = logLastIndex(view->log);
    viewReread(view);
    if (view->cluster == 0) {
        view->cluster = courier_cluster(view->props.courier);
        seatsFounded(view, view->list);
        members_set_empty(view->props.members, false);
    }
    void *mem = talloc_new(view);
    size_t recordCount;
    const Record *records = viewRecords(view, mem, &recordCount);
    status = journal_rewrite(view->journal, records, recordCount);
    talloc_free(mem);
    signal_raise(view->loop, &view->news);
    return status;
}

void seatLog(View *view, void *mem, const LogAsk *ask, LogAnswer *answer)
{
    const Log *log = view->log;
    uint64_t epoch;
    uint64_t from = ask->afterIndex;
    if (!logEpochAt(log, from, &epoch) || epoch != ask->afterEpoch) {
        answer->whole = log->snapshot.kind == RECORD_SNAPSHOT;
        if (answer->whole)
            shape_copy(&Record_shape, &log->snapshot, mem, &answer->snapshot);
        from = log->baseIndex;
    }
    answer->entries = talloc_array(mem, Record, (unsigned)(logLastIndex(log) - from));
    for (uint64_t i = from + 1; i <= logLastIndex(log); i++)
        shape_copy(&Record_shape, logAt(log, i), mem, &answer->entries[answer->entriesCount++]);
}

/* --- handlers ------------------------------------------------------------------ */

/* Whether a question for the disk is for ours. */
static bool isFor(const View *view, uint64_t to)
{
    return to == 0 || to == view->disk;
}

static Status onPropose(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const ProposeAsk *ask = question;
    if (!isFor(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = seatPropose(view, ask);
    seatDescribe(view, mem, answer);
    return status;
}

static Status onRenew(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const RenewAsk *ask = question;
    if (!isFor(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = lock_renew(&view->lock, ask->epoch, ask->holder, loop_now_ms(view->loop));
    if (status == STATUS_OK) {
        viewClockSet(view, ask->clock_ms);
        members_set_leader(view->props.members, ask->epoch, ask->holderId);
        const uint64_t commit = ask->commitIndex < view->verifiedIndex ? ask->commitIndex : view->verifiedIndex;
        if (commit > view->commitIndex)
            view->commitIndex = commit;
        viewDeliver(view);
    }
    seatDescribe(view, mem, answer);
    return status;
}

static Status onRelease(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const RenewAsk *ask = question;
    if (!isFor(view, ask->to))
        return STATUS_OTHER_DISK;
    if (ask->epoch == view->lock.promised && ask->holder == view->lock.holder) {
        lock_release(&view->lock, ask->epoch, ask->holder, loop_now_ms(view->loop));
        view->named = ask->next == view->disk;
        /* the others give the one that was named a head start */
        if (ask->next != 0 && !view->named && view->rest_until_ms < loop_now_ms(view->loop) + HANDED_MS)
            view->rest_until_ms = loop_now_ms(view->loop) + HANDED_MS;
        signal_raise(view->loop, &view->released);
    }
    seatDescribe(view, mem, answer);
    return STATUS_OK;
}

static Status onAppend(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const AppendAsk *ask = question;
    if (!isFor(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = seatAppend(view, ask);
    seatDescribe(view, mem, answer);
    return status;
}

static Status onFill(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const FillAsk *ask = question;
    if (!isFor(view, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = seatFill(view, ask);
    seatDescribe(view, mem, answer);
    return status;
}

static Status onLog(void *arg, void *mem, const void *ask, void *answer)
{
    View *view = arg;
    const LogAsk *question = ask;
    if (!isFor(view, question->to))
        return STATUS_OTHER_DISK;
    if (question->epoch != view->lock.promised || question->holder != view->lock.holder)
        return STATUS_OLD_EPOCH;
    seatLog(view, mem, question, answer);
    return STATUS_OK;
}

void seatServe(View *view)
{
    Courier *courier = view->props.courier;
    courier_handle(courier, MESSAGE_PROPOSE, &ProposeAskShape, &SeatAnswerShape, onPropose, view);
    courier_handle(courier, MESSAGE_RENEW, &RenewAskShape, &SeatAnswerShape, onRenew, view);
    courier_handle(courier, MESSAGE_RELEASE, &RenewAskShape, &SeatAnswerShape, onRelease, view);
    courier_handle(courier, MESSAGE_APPEND, &AppendAskShape, &SeatAnswerShape, onAppend, view);
    courier_handle(courier, MESSAGE_FILL, &FillAskShape, &SeatAnswerShape, onFill, view);
    courier_handle(courier, MESSAGE_LOG, &LogAskShape, &LogAnswerShape, onLog, view);
}
