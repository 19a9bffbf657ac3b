/* Winning the lock and opening views. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

static bool among(const SeatAnswer *answer, uint64_t disk)
{
    for (size_t i = 0; i < answer->viewMembersCount; i++)
        if (answer->viewMembers[i].disk == disk)
            return true;
    return false;
}

/* Whether the view may rest on the seats that answered. With none of them
 * woken, any majority will do. Woken ones may have lost what they acknowledged:
 * then every member of the last recorded view is heard first, or waited for. */
static bool mayRest(View *view, const Poll *poll, bool *repair)
{
    const SeatAnswer *newest = NULL;
    bool anyWoke = false;
    for (int i = 0; i < SEAT_MOST; i++)
        if (pollReached(poll->status[i])) {
            const SeatAnswer *answer = &poll->answers[i];
            anyWoke |= answer->woke;
            /* of one epoch, the longer log has the later change of view */
            if (newest == NULL || answer->viewEpoch > newest->viewEpoch ||
                (answer->viewEpoch == newest->viewEpoch &&
                 (answer->logEpoch > newest->logEpoch ||
                  (answer->logEpoch == newest->logEpoch && answer->logIndex > newest->logIndex))))
                newest = answer;
        }
    *repair = anyWoke && !view->props.disksKeep && newest != NULL && newest->viewEpoch != 0;
    if (!*repair)
        return true;
    bool heardAll = true;
    for (int i = 0; i < SEAT_MOST; i++)
        if (among(newest, view->seats[i]) && !pollReached(poll->status[i]))
            heardAll = false;
    if (heardAll) {
        view->wokenSinceMs = 0;
        return true;
    }
    const int64_t nowMs = loopNowMs(view->loop);
    if (view->wokenSinceMs == 0)
        view->wokenSinceMs = nowMs;
    return nowMs - view->wokenSinceMs >= WOKEN_WAIT_MS;
}

/* Makes the own log equal to that of the seat with the best one. */
static Status logAdopt(View *view, int seat)
{
    char address[ADDRESS_MAX];
    if (!seatAddress(view, seat, address))
        return STATUS_UNREACHABLE;
    void *mem = talloc_new(view);
    LogAsk ask = {view->epoch, view->disk, 0, view->deliveredIndex, view->seats[seat]};
    logEpochAt(view->log, ask.afterIndex, &ask.afterEpoch);
    LogAnswer answer = {0};
    Status status = courierAsk(view->props.courier, mem, address, MESSAGE_LOG, &LogAskShape, &ask, VIEW_EXPIRY_MS * 4,
                               &LogAnswerShape, &answer);
    if (status == STATUS_OK && view->epoch != view->lock.promised)
        status = STATUS_OLD_EPOCH;
    if (status == STATUS_OK && answer.whole) {
        /* at once, so that this disk never holds less than before */
        status = seatReplace(view, &answer.snapshot, answer.entries, answer.entriesCount);
        if (status == STATUS_OK && view->epoch != view->lock.promised)
            status = STATUS_OLD_EPOCH;
    } else if (status == STATUS_OK) {
        AppendAsk append = {.epoch = view->epoch, .holder = view->disk};
        append.prevIndex = answer.entriesCount > 0 ? answer.entries[0].index - 1 : ask.afterIndex;
        logEpochAt(view->log, append.prevIndex, &append.prevEpoch);
        append.entries = answer.entries;
        append.entriesCount = answer.entriesCount;
        status = seatAppend(view, &append);
    }
    talloc_free(mem);
    return status;
}

void leadViewEntry(View *view, const bool inView[SEAT_MOST], bool repair)
{
    memmove(view->inView, inView, sizeof(view->inView));
    void *mem = talloc_new(view);
    ViewRecord record = {.epoch = view->epoch,
                         .holder = view->disk,
                         .members = talloc_array(mem, DiskId, SEAT_MOST),
                         .holderId = membersSelf(view->props.members)->id,
                         .repair = repair || view->last.repair};
    for (int i = 0; i < SEAT_MOST; i++)
        if (inView[i])
            record.members[record.membersCount++].disk = view->seats[i];
    Record entry = {.kind = RECORD_ENTRY,
                    .epoch = view->epoch,
                    .index = logLastIndex(view->log) + 1,
                    .atMs = viewClockMs(view),
                    .change = VIEW_CHANGE_VIEW,
                    .name = ""};
    shapePack(&ViewRecordShape, &record, mem, &entry.payload);
    logAdd(view->log, &entry);
    view->viewIndex = entry.index;
    viewReread(view);
    talloc_free(mem);
}

void leadTurn(View *view, const bool inView[SEAT_MOST])
{
    leadViewEntry(view, inView, false);
    view->changedMs = loopNowMs(view->loop);
    view->viewChanges++;
    signalRaise(view->loop, &view->grew);
}

/* How many of the seats, as the newest list has them, have promised. */
static size_t promisedCount(const View *view, const bool inView[SEAT_MOST])
{
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++)
        count += view->seats[i] != 0 && inView[i];
    return count;
}

/* Seats far behind the best log come into the view once they are near; the view
 * stays a majority, with ourselves in it. */
static void lagLeave(const View *view, const Poll *poll, int best, bool inView[SEAT_MOST])
{
    const SeatAnswer *most = &poll->answers[best];
    size_t count = promisedCount(view, inView);
    for (int i = 0; i < SEAT_MOST && count > viewMajority(view); i++) {
        const SeatAnswer *one = &poll->answers[i];
        if (inView[i] && view->seats[i] != view->disk &&
            (one->logEpoch < most->logEpoch || one->logIndex + LOG_BATCH_ENTRIES < most->logIndex)) {
            inView[i] = false;
            count--;
        }
    }
}

Status viewOpen(View *view, const bool skip[SEAT_MOST])
{
    bool newHolder = !view->holding;
    const uint64_t turn = ++view->leadTurn;
    view->phase = VIEW_OPENING;
    view->reopening = !newHolder;
    Poll *poll = pollSeats(view, 0, skip);
    Status status = STATUS_UNREACHABLE;
    size_t heard = 0, free = 0;
    /* disks that lie may have forgotten promises and epochs; those who followed a
     * leader have not */
    uint64_t highest = view->lock.promised;
    if (membersLeaderEpoch(view->props.members) > highest)
        highest = membersLeaderEpoch(view->props.members);
    bool repair = false, removed = false, ahead = false;
    for (int i = 0; i < SEAT_MOST; i++)
        if (pollReached(poll->status[i])) {
            heard++;
            removed |= poll->status[i] == STATUS_NO_SEAT;
            if (poll->answers[i].promised > highest)
                highest = poll->answers[i].promised;
            const bool other = poll->answers[i].held && poll->answers[i].holder != view->disk;
            free += !other;
            ahead |= other && poll->answers[i].promised > view->lock.promised;
        }
    const bool rest = mayRest(view, poll, &repair);
    pollLeave(poll);
    if (leadOver(view, turn))
        return STATUS_NOT_LEADER;
    if (removed) { /* our seat has been given to another disk; whoever leads tells us more */
        leadDown(view, SEAT_LOST_REST_MS);
        return STATUS_NO_SEAT;
    }
    /* what a majority does not hold for another, nobody holds; but one that stands just
     * now under a higher epoch goes first */
    const bool held = newHolder && heard >= viewMajority(view) && (free < viewMajority(view) || ahead);
    if (heard < viewMajority(view) || !rest || held) {
        leadDown(view, 0);
        return held ? STATUS_OTHER_HOLDER : rest ? status : STATUS_WOKEN;
    }
    /* the renewals of the old epoch have ended with leadTurn; ask for promises */
    const uint64_t epoch = epochNext(highest, view->disk);
    poll = pollSeats(view, epoch, skip);
    int best = -1;
    bool inView[SEAT_MOST] = {false};
    /* a hold that lapsed before this question was sent was not carried on */
    const int64_t heldUntilMs = lockHoldUntil(&view->hold);
    for (int i = 0; i < SEAT_MOST; i++)
        newHolder |= poll->status[i] == STATUS_OK && poll->sentMs[i] >= heldUntilMs;
    view->reopening = !newHolder;
    if (newHolder)
        lockHoldClear(&view->hold);
    for (int i = 0; i < SEAT_MOST; i++) {
        if (poll->status[i] != STATUS_OK || poll->disks[i] != view->seats[i])
            continue;
        inView[i] = true;
        const SeatAnswer *a = &poll->answers[i];
        const SeatAnswer *b = best >= 0 ? &poll->answers[best] : NULL;
        if (b == NULL || a->logEpoch > b->logEpoch ||
            (a->logEpoch == b->logEpoch &&
             (a->logIndex > b->logIndex || (a->logIndex == b->logIndex && view->seats[i] == view->disk))))
            best = i;
        lockHoldAnswered(&view->hold, i, poll->sentMs[i]);
    }
    int own = viewOwnSeat(view);
    const bool ownFailed =
        own >= 0 && (poll->status[own] == STATUS_DISK_FAILED || poll->status[own] == STATUS_UNREACHABLE);
    bool lost = leadOver(view, turn) || promisedCount(view, inView) < viewMajority(view) || own < 0 || !inView[own];
    if (!lost) {
        lagLeave(view, poll, best, inView);
        for (int i = 0; i < SEAT_MOST; i++) {
            if (poll->status[i] == STATUS_OK || pollReached(poll->status[i]))
                leadAnswered(view, i, &poll->answers[i]);
            view->peers[i].matchIndex = 0;
            view->peers[i].nextIndex = pollReached(poll->status[i]) ? poll->answers[i].logIndex + 1 : UINT64_MAX;
            view->peers[i].appendSinceMs = INT64_MAX;
            view->peers[i].refill = false;
            view->peers[i].renewedMs = INT64_MIN;
            view->peers[i].returnMs = 0;
        }
    }
    uint64_t promised[SEAT_MOST]; /* the disks, by their places before the log is taken over */
    for (int i = 0; i < SEAT_MOST; i++)
        promised[i] = poll->status[i] == STATUS_OK ? poll->disks[i] : 0;
    pollLeave(poll);
    if (lost) {
        if (!leadOver(view, turn)) {
            /* others may have granted what can't be used here: they need not wait it out */
            view->epoch = epoch;
            leadRelease(view, 0);
            leadDown(view, ownFailed ? SLOW_DISK_REST_MS : 0);
        }
        return STATUS_OTHER_HOLDER;
    }
    view->epoch = epoch;
    if (!view->clockRuns) /* nobody's log has a time yet */
        viewClockSet(view, view->clockBaseMs);
    if (newHolder)
        view->wonMs = loopNowMs(view->loop);
    view->holding = true;
    view->wokenSinceMs = 0;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0)
            leadRenew(view, i);
    if (view->seats[best] != view->disk) {
        status = logAdopt(view, best);
        /* the log may have another list of seats: the promises must be a majority of those too */
        for (int i = 0; i < SEAT_MOST; i++) {
            inView[i] &= view->seats[i] == promised[i];
            if (view->seats[i] != 0 && view->seats[i] != promised[i] && !leadOver(view, turn))
                leadRenew(view, i);
        }
        own = viewOwnSeat(view);
        lost = promisedCount(view, inView) < viewMajority(view) || own < 0 || !inView[own];
        if (leadOver(view, turn) || status != STATUS_OK || lost) {
            if (!leadOver(view, turn))
                leadDown(view, 0);
            return lost ? STATUS_OTHER_HOLDER : status;
        }
    }
    /* what is in the own journal's queue is synced before what follows; what an
     * earlier lead had not queued yet is written now */
    view->syncedIndex = view->queuedIndex;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->peers[i].nextIndex > logLastIndex(view->log) + 1)
            view->peers[i].nextIndex = logLastIndex(view->log) + 1;
    leadViewEntry(view, inView, repair);
    leadLocal(view);
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0)
            leadPeer(view, i);
    /* a seat that lags is waited for while it gains */
    int64_t untilMs = loopNowMs(view->loop) + VIEW_EXPIRY_MS;
    uint64_t gained = 0;
    while (view->commitIndex < view->viewIndex) {
        if (!signalWait(view->loop, &view->news, loopNowMs(view->loop) + 100) && !leadOver(view, turn)) {
            uint64_t sum = view->syncedIndex;
            for (int i = 0; i < SEAT_MOST; i++)
                sum += view->peers[i].matchIndex + view->peers[i].nextIndex;
            if (sum != gained) {
                gained = sum;
                untilMs = loopNowMs(view->loop) + VIEW_EXPIRY_MS;
            }
        }
        if (leadOver(view, turn))
            return STATUS_NOT_LEADER;
        if (loopNowMs(view->loop) > untilMs || loopNowMs(view->loop) > lockHoldUntil(&view->hold)) {
            ringSay(view->props.ring, RING_ALERT, loopNowMs(view->loop), "view %" PRIu64 " did not come about",
                    epochCounter(epoch));
            leadDown(view, 0);
            return STATUS_EXPIRED;
        }
    }
    if (view->props.opened != NULL)
        view->props.opened(view->props.openedArg, epoch, newHolder, view->last.repair);
    view->phase = VIEW_LEADING;
    view->changedMs = loopNowMs(view->loop);
    view->viewChanges++;
    membersSetLeader(view->props.members, epoch, membersSelf(view->props.members)->id);
    if (newHolder)
        membersAnnounce(view->props.members);
    ringSay(view->props.ring, RING_NOTE, loopNowMs(view->loop), "leads view %" PRIu64 " with %zu seats%s",
            epochCounter(epoch), promisedCount(view, view->inView), view->last.repair ? ", repairs" : "");
    signalRaise(view->loop, &view->news);
    return STATUS_OK;
}
