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
    const int64_t now_ms = loop_now_ms(view->loop);
    if (view->wokenSinceMs == 0)
        view->wokenSinceMs = now_ms;
    return now_ms - view->wokenSinceMs >= WOKEN_WAIT_MS;
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
    Status status = courier_ask(view->props.courier, mem, address, MESSAGE_LOG, &LogAskShape, &ask, VIEW_EXPIRY_MS * 4,
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

/* One opening of a view, from the first question to the first entry. */
typedef struct Opening {
    View *view;
    uint64_t turn;
    const bool *skip; /* voters that are to stay out */
    bool newHolder;   /* it does not hold the lock already */
    bool repair;
    uint64_t highest;             /* epoch that anybody has heard of */
    uint64_t epoch;               /* the one to be promised */
    int best;                     /* place of the best log; -1: nobody promised */
    bool inView[SEAT_MOST];       /* who promised, and is near enough */
    uint64_t promised[SEAT_MOST]; /* the disks, by their places before a log is taken over */
} Opening;

/* What the voters said of themselves, before anything is asked of them. */
typedef struct Heard {
    size_t count, free; /* who answered; who of them grants nothing to another */
    bool removed;       /* our place is another's */
    bool ahead;         /* another stands under a higher epoch */
} Heard;

static Heard heardOf(Opening *opening, const Poll *poll)
{
    const View *view = opening->view;
    Heard heard = {0};
    /* disks that lie may have forgotten promises and epochs; those who followed a
     * leader have not */
    opening->highest = view->lock.promised;
    if (members_leader_epoch(view->props.members) > opening->highest)
        opening->highest = members_leader_epoch(view->props.members);
    for (int i = 0; i < SEAT_MOST; i++)
        if (pollReached(poll->status[i])) {
            heard.count++;
            heard.removed |= poll->status[i] == STATUS_NO_SEAT;
            if (poll->answers[i].promised > opening->highest)
                opening->highest = poll->answers[i].promised;
            const bool other = poll->answers[i].held && poll->answers[i].holder != view->disk;
            heard.free += !other;
            heard.ahead |= other && poll->answers[i].promised > view->lock.promised;
        }
    return heard;
}

/* Waits. Whether it may stand at all: asks for nothing but answers. */
static Status hear(Opening *opening)
{
    View *view = opening->view;
    Poll *poll = pollSeats(view, 0, opening->skip);
    const Heard heard = heardOf(opening, poll);
    const bool rest = mayRest(view, poll, &opening->repair);
    pollLeave(poll);
    if (leadOver(view, opening->turn))
        return STATUS_NOT_LEADER;
    if (heard.removed) { /* our seat has been given to another disk; whoever leads tells us more */
        leadDown(view, SEAT_LOST_REST_MS);
        return STATUS_NO_SEAT;
    }
    /* what a majority does not hold for another, nobody holds; but one that stands just
     * now under a higher epoch goes first */
    const bool held =
        opening->newHolder && heard.count >= viewMajority(view) && (heard.free < viewMajority(view) || heard.ahead);
    if (heard.count >= viewMajority(view) && rest && !held)
        return STATUS_OK;
    leadDown(view, 0);
    return held ? STATUS_OTHER_HOLDER : rest ? STATUS_UNREACHABLE : STATUS_WOKEN;
}

/* Who has promised, and which of them has the best log. */
static void promisesCount(Opening *opening, const Poll *poll)
{
    View *view = opening->view;
    for (int i = 0; i < SEAT_MOST; i++) {
        if (poll->status[i] != STATUS_OK || poll->disks[i] != view->seats[i])
            continue;
        opening->inView[i] = true;
        const SeatAnswer *a = &poll->answers[i];
        const SeatAnswer *b = opening->best >= 0 ? &poll->answers[opening->best] : NULL;
        if (b == NULL || a->logEpoch > b->logEpoch ||
            (a->logEpoch == b->logEpoch &&
             (a->logIndex > b->logIndex || (a->logIndex == b->logIndex && view->seats[i] == view->disk))))
            opening->best = i;
        lock_hold_answered(&view->hold, i, poll->sent_ms[i]);
    }
}

/* What is known of the peers under the new epoch. */
static void peersBegin(View *view, const Poll *poll)
{
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

/* Others may have granted what can't be used here: they need not wait it out. */
static void promisesLost(Opening *opening, bool ownFailed)
{
    View *view = opening->view;
    if (leadOver(view, opening->turn))
        return;
    view->epoch = opening->epoch;
    leadRelease(view, 0);
    leadDown(view, ownFailed ? SLOW_DISK_REST_MS : 0);
}

/* Waits. The renewals of the old epoch have ended with leadTurn: asks for promises. */
static Status promisesAsk(Opening *opening)
{
    View *view = opening->view;
    opening->epoch = epoch_next(opening->highest, view->disk);
    Poll *poll = pollSeats(view, opening->epoch, opening->skip);
    /* a hold that lapsed before this question was sent was not carried on */
    const int64_t heldUntilMs = lock_hold_until(&view->hold);
    for (int i = 0; i < SEAT_MOST; i++)
        opening->newHolder |= poll->status[i] == STATUS_OK && poll->sent_ms[i] >= heldUntilMs;
    view->reopening = !opening->newHolder;
    if (opening->newHolder)
        lock_hold_clear(&view->hold);
    promisesCount(opening, poll);
    const int own = viewOwnSeat(view);
    const bool ownFailed =
        own >= 0 && (poll->status[own] == STATUS_DISK_FAILED || poll->status[own] == STATUS_UNREACHABLE);
    const bool lost = leadOver(view, opening->turn) || promisedCount(view, opening->inView) < viewMajority(view) ||
                      own < 0 || !opening->inView[own];
    if (!lost) {
        lagLeave(view, poll, opening->best, opening->inView);
        peersBegin(view, poll);
    }
    for (int i = 0; i < SEAT_MOST; i++)
        opening->promised[i] = poll->status[i] == STATUS_OK ? poll->disks[i] : 0;
    pollLeave(poll);
    if (lost)
        promisesLost(opening, ownFailed);
    return lost ? STATUS_OTHER_HOLDER : STATUS_OK;
}

/* The lock is won: it is kept from here on. */
static void leaseBegin(const Opening *opening)
{
    View *view = opening->view;
    view->epoch = opening->epoch;
    if (!view->clockRuns) /* nobody's log has a time yet */
        viewClockSet(view, view->clockBaseMs);
    if (opening->newHolder)
        view->wonMs = loop_now_ms(view->loop);
    view->holding = true;
    view->wokenSinceMs = 0;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0)
            leadRenew(view, i);
}

/* Waits. Takes the best log over, when that is another's. */
static Status bestAdopt(Opening *opening)
{
    View *view = opening->view;
    if (view->seats[opening->best] == view->disk)
        return STATUS_OK;
    const Status status = logAdopt(view, opening->best);
    /* the log may have another list of seats: the promises must be a majority of those too */
    for (int i = 0; i < SEAT_MOST; i++) {
        opening->inView[i] &= view->seats[i] == opening->promised[i];
        if (view->seats[i] != 0 && view->seats[i] != opening->promised[i] && !leadOver(view, opening->turn))
            leadRenew(view, i);
    }
    const int own = viewOwnSeat(view);
    const bool lost = promisedCount(view, opening->inView) < viewMajority(view) || own < 0 || !opening->inView[own];
    if (!leadOver(view, opening->turn) && status == STATUS_OK && !lost)
        return STATUS_OK;
    const Status why = lost ? STATUS_OTHER_HOLDER : status != STATUS_OK ? status : STATUS_NOT_LEADER;
    if (!leadOver(view, opening->turn))
        leadDown(view, 0);
    return why;
}

/* Orders the view's first entry and sends it, with all before it, to everybody. */
static void entryOrder(const Opening *opening)
{
    View *view = opening->view;
    /* what is in the own journal's queue is synced before what follows; what an
     * earlier lead had not queued yet is written now */
    view->syncedIndex = view->queuedIndex;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->peers[i].nextIndex > logLastIndex(view->log) + 1)
            view->peers[i].nextIndex = logLastIndex(view->log) + 1;
    leadViewEntry(view, opening->inView, opening->repair);
    leadLocal(view);
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0)
            leadPeer(view, i);
}

/* How far all have come together. */
static uint64_t gainedSum(const View *view)
{
    uint64_t sum = view->syncedIndex;
    for (int i = 0; i < SEAT_MOST; i++)
        sum += view->peers[i].matchIndex + view->peers[i].nextIndex;
    return sum;
}

/* Waits until the first entry is committed. A seat that lags is waited for while it gains. */
static Status entryCommitted(const Opening *opening)
{
    View *view = opening->view;
    int64_t until_ms = loop_now_ms(view->loop) + VIEW_EXPIRY_MS;
    uint64_t gained = 0;
    while (view->commitIndex < view->viewIndex) {
        if (!signal_wait(view->loop, &view->news, loop_now_ms(view->loop) + 100) && !leadOver(view, opening->turn)) {
            const uint64_t sum = gainedSum(view);
            if (sum != gained) {
                gained = sum;
                until_ms = loop_now_ms(view->loop) + VIEW_EXPIRY_MS;
            }
        }
        if (leadOver(view, opening->turn))
            return STATUS_NOT_LEADER;
        if (loop_now_ms(view->loop) > until_ms || loop_now_ms(view->loop) > lock_hold_until(&view->hold)) {
            ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop), "view %" PRIu64 " did not come about",
                     epoch_counter(opening->epoch));
            leadDown(view, 0);
            return STATUS_EXPIRED;
        }
    }
    return STATUS_OK;
}

static void leadBegin(const Opening *opening)
{
    View *view = opening->view;
    if (view->props.opened != NULL)
        view->props.opened(view->props.openedArg, opening->epoch, opening->newHolder, view->last.repair);
    view->phase = VIEW_LEADING;
    view->changedMs = loop_now_ms(view->loop);
    view->viewChanges++;
    members_set_leader(view->props.members, opening->epoch, members_self(view->props.members)->id);
    if (opening->newHolder)
        members_announce(view->props.members);
    ring_say(view->props.ring, RING_NOTE, loop_now_ms(view->loop), "leads view %" PRIu64 " with %zu seats%s",
             epoch_counter(opening->epoch), promisedCount(view, view->inView), view->last.repair ? ", repairs" : "");
    signal_raise(view->loop, &view->news);
}

Status viewOpen(View *view, const bool skip[SEAT_MOST])
{
    Opening opening = {.view = view, .turn = ++view->leadTurn, .skip = skip, .newHolder = !view->holding, .best = -1};
    view->phase = VIEW_OPENING;
    view->reopening = !opening.newHolder;
    Status status = hear(&opening);
    if (status == STATUS_OK)
        status = promisesAsk(&opening);
    if (status != STATUS_OK)
        return status;
    leaseBegin(&opening);
    status = bestAdopt(&opening);
    if (status != STATUS_OK)
        return status;
    entryOrder(&opening);
    status = entryCommitted(&opening);
    if (status == STATUS_OK)
        leadBegin(&opening);
    return status;
}
