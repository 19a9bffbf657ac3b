/* The holder's part: winning the lock, opening views, ordering changes. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* --- asking all seats at once --------------------------------------------------- */

/* Freed by whichever of the asking task and the asked ones ends last. */
typedef struct Poll {
    View *view;
    ProposeAsk ask;
    size_t users;
    int pending;
    Signal ended;
    Status status[SEAT_COUNT];
    SeatAnswer answers[SEAT_COUNT];
    int64_t sentMs[SEAT_COUNT];
} Poll;

typedef struct PollPart {
    Poll *poll;
    int seat;
} PollPart;

static void pollLeave(Poll *poll)
{
    if (--poll->users == 0)
        talloc_free(poll);
}

static void pollMain(void *arg)
{
    const PollPart part = *(PollPart *)arg;
    Poll *poll = part.poll;
    View *view = poll->view;
    talloc_free(arg);
    const int i = part.seat;
    poll->sentMs[i] = loopNowMs(view->loop);
    if (view->seats[i] == view->disk) {
        const Status status = seatPropose(view, &poll->ask);
        seatDescribe(view, poll, &poll->answers[i]);
        poll->status[i] = status;
    } else {
        const Member *member = membersFindDisk(view->props.members, view->seats[i]);
        if (member != NULL) {
            char address[ADDRESS_MAX];
            strncpy(address, member->record.address, sizeof(address) - 1);
            address[sizeof(address) - 1] = '\0';
            SeatAnswer answer = {0};
            const ProposeAsk ask = {poll->ask.epoch, poll->ask.holder, view->seats[i]};
            const Status status = courierAsk(view->props.courier, poll, address, MESSAGE_PROPOSE, &ProposeAskShape,
                                             &ask, ASK_EXPIRY_MS, &SeatAnswerShape, &answer);
            poll->answers[i] = answer;
            poll->status[i] = status;
        }
    }
    poll->pending--;
    signalRaise(view->loop, &poll->ended);
    pollLeave(poll);
}

static bool reached(Status status)
{
    return status != STATUS_UNREACHABLE && status != STATUS_EXPIRED && status != STATUS_CLOSED &&
           status != STATUS_STRANGER && status != STATUS_INTERNAL && status != STATUS_OTHER_DISK;
}

/* Waits until all have answered or can't be reached; once a majority of seats
 * that never slept has answered, a short grace is enough. Ends with pollLeave. */
static Poll *pollSeats(View *view, uint64_t epoch, const bool skip[SEAT_COUNT])
{
    Poll *poll = talloc_zero(view, Poll);
    poll->view = view;
    poll->ask = (ProposeAsk){epoch, view->disk, 0};
    poll->users = 1;
    for (int i = 0; i < SEAT_COUNT; i++) {
        poll->status[i] = STATUS_UNREACHABLE;
        if (skip[i])
            continue;
        poll->users++;
        poll->pending++;
        PollPart *part = talloc_zero(view, PollPart);
        *part = (PollPart){poll, i};
        loopSpawn(view->loop, "poll", pollMain, part);
    }
    /* also the own disk is not waited for without end */
    int64_t untilMs = loopNowMs(view->loop) + ASK_EXPIRY_MS + ASK_EXPIRY_MS / 4;
    bool majority = false;
    while (poll->pending > 0 && signalWait(view->loop, &poll->ended, untilMs)) {
        int heard = 0;
        bool woke = false;
        for (int i = 0; i < SEAT_COUNT; i++) {
            heard += reached(poll->status[i]);
            woke |= reached(poll->status[i]) && poll->answers[i].woke;
        }
        const int64_t graceMs = loopNowMs(view->loop) + POLL_GRACE_MS;
        if (!majority && heard >= SEAT_MAJORITY && !woke && graceMs < untilMs)
            untilMs = graceMs;
        majority |= heard >= SEAT_MAJORITY;
    }
    return poll;
}

/* --- ordering ---------------------------------------------------------------------- */

static bool leadOver(const View *view, uint64_t turn)
{
    return view->leadTurn != turn || loopStopping(view->loop);
}

/* Commits what every seat in the view has synced. */
static void commitAdvance(View *view)
{
    uint64_t least = view->syncedIndex;
    for (int i = 0; i < SEAT_COUNT; i++)
        if (view->inView[i] && view->seats[i] != view->disk && view->partners[i].matchIndex < least)
            least = view->partners[i].matchIndex;
    if (least < view->viewIndex || least <= view->commitIndex)
        return;
    view->commitIndex = least;
    viewDeliver(view);
    signalRaise(view->loop, &view->news);
}

typedef struct Lead {
    View *view;
    uint64_t turn;
    int seat;
} Lead;

/* Syncs the own journal: a seat as the others, but asked directly. */
static void localMain(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    while (!leadOver(view, lead.turn)) {
        const uint64_t lastIndex = logLastIndex(view->log);
        if (view->syncedIndex >= lastIndex) {
            signalWait(view->loop, &view->grew, loopNowMs(view->loop) + LOCK_RENEW_MS);
            continue;
        }
        void *mem = talloc_new(view);
        const uint64_t from = view->syncedIndex > view->log->baseIndex ? view->syncedIndex : view->log->baseIndex;
        Record *records = talloc_array(mem, Record, (unsigned)(lastIndex - from));
        size_t count = 0;
        for (uint64_t i = from + 1; i <= lastIndex; i++)
            records[count++] = *logAt(view->log, i);
        view->queuedIndex = lastIndex;
        const int64_t startMs = loopNowMs(view->loop);
        const Status status = journalWrite(view->journal, records, count);
        talloc_free(mem);
        if (leadOver(view, lead.turn))
            return;
        if (status != STATUS_OK) {
            ringSay(view->props.ring, RING_ALERT, loopNowMs(view->loop), "own disk failed: gives up the lock");
            leadDown(view, INT32_MAX);
            return;
        }
        view->slowTimes = loopNowMs(view->loop) - startMs > SEAT_SLOW_MS ? view->slowTimes + 1 : 0;
        view->syncedIndex = lastIndex;
        commitAdvance(view);
    }
}

static void answered(View *view, int seat, const SeatAnswer *answer)
{
    Partner *partner = &view->partners[seat];
    partner->answeredMs = loopNowMs(view->loop);
    partner->woke = answer->woke;
    partner->promised = answer->promised;
    partner->wallMs = answer->wallMs;
    partner->wallAtMs = partner->answeredMs;
    partner->syncMs = answer->syncMs;
    partner->sight = answer->sight;
}

static bool seatAddress(const View *view, int seat, char address[ADDRESS_MAX])
{
    const Member *member = membersFindDisk(view->props.members, view->seats[seat]);
    if (member == NULL)
        return false;
    strncpy(address, member->record.address, ADDRESS_MAX - 1);
    address[ADDRESS_MAX - 1] = '\0';
    return true;
}

static void fillOne(View *view, const Lead *lead, const char *address)
{
    Partner *partner = &view->partners[lead->seat];
    if (view->log->snapshot.kind != RECORD_SNAPSHOT || partner->refill)
        viewCompactMaybe(view, true);
    if (view->log->snapshot.kind != RECORD_SNAPSHOT) {
        loopSleep(view->loop, LOCK_RENEW_MS);
        return;
    }
    void *mem = talloc_new(view);
    FillAsk ask = {view->epoch, view->disk, {0}, view->commitIndex, view->seats[lead->seat]};
    shapeCopy(&RecordShape, &view->log->snapshot, mem, &ask.snapshot);
    const uint64_t index = ask.snapshot.index;
    SeatAnswer answer = {0};
    const Status status = courierAsk(view->props.courier, mem, address, MESSAGE_FILL, &FillAskShape, &ask,
                                     VIEW_EXPIRY_MS * 4, &SeatAnswerShape, &answer);
    if (!leadOver(view, lead->turn)) {
        if (reached(status))
            answered(view, lead->seat, &answer);
        if (status == STATUS_OK) {
            partner->matchIndex = index;
            partner->nextIndex = index + 1;
            partner->refill = false;
        } else {
            loopSleep(view->loop, LOCK_RENEW_MS);
        }
    }
    talloc_free(mem);
}

static void appendOne(View *view, const Lead *lead, const char *address)
{
    Partner *partner = &view->partners[lead->seat];
    void *mem = talloc_new(view);
    AppendAsk ask = {.epoch = view->epoch, .holder = view->disk, .prevIndex = partner->nextIndex - 1, .to = view->seats[lead->seat]};
    logEpochAt(view->log, ask.prevIndex, &ask.prevEpoch);
    ask.commitIndex = view->commitIndex;
    ask.entries = talloc_array(mem, Record, LOG_BATCH_ENTRIES);
    size_t bytes = 0;
    for (uint64_t i = partner->nextIndex; i <= logLastIndex(view->log) && ask.entriesCount < LOG_BATCH_ENTRIES &&
                                          bytes < LOG_BATCH_BYTES;
         i++) {
        bytes += logAt(view->log, i)->payload.count;
        shapeCopy(&RecordShape, logAt(view->log, i), mem, &ask.entries[ask.entriesCount++]);
    }
    const uint64_t match = ask.prevIndex + ask.entriesCount;
    SeatAnswer answer = {0};
    const int64_t sentMs = loopNowMs(view->loop);
    if (partner->appendSinceMs == INT64_MAX)
        partner->appendSinceMs = sentMs;
    const Status status = courierAsk(view->props.courier, mem, address, MESSAGE_APPEND, &AppendAskShape, &ask,
                                     APPEND_EXPIRY_MS, &SeatAnswerShape, &answer);
    if (!leadOver(view, lead->turn)) {
        if (reached(status))
            answered(view, lead->seat, &answer);
        if (status == STATUS_OK || status == STATUS_LOG_GAP) {
            partner->appendSinceMs = INT64_MAX;
            partner->appendTookMs = loopNowMs(view->loop) - sentMs;
            partner->slowTimes = partner->appendTookMs > SEAT_SLOW_MS ? partner->slowTimes + 1 : 0;
        }
        if (status == STATUS_OK) {
            partner->matchIndex = match;
            partner->nextIndex = match + 1;
            commitAdvance(view);
        } else if (status == STATUS_LOG_GAP) {
            /* back to what it has, or a good step; before the beginning only a snapshot helps */
            uint64_t next = partner->nextIndex;
            if (next <= 1)
                partner->refill = true;
            else if (answer.logIndex + 1 < next)
                next = answer.logIndex + 1;
            else
                next = next > LOG_BACK_STEP ? next - LOG_BACK_STEP : 1;
            partner->nextIndex = next;
        } else {
            loopSleep(view->loop, 100);
        }
    }
    talloc_free(mem);
}

/* One task for each other seat, in the view or not. */
static void partnerMain(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    Partner *partner = &view->partners[lead.seat];
    bool told = false; /* it has heard of this epoch by an append */
    while (!leadOver(view, lead.turn)) {
        char address[ADDRESS_MAX];
        if (!seatAddress(view, lead.seat, address)) {
            loopSleep(view->loop, 100);
            continue;
        }
        if (partner->refill || partner->nextIndex <= view->log->baseIndex) {
            fillOne(view, &lead, address);
        } else if (partner->nextIndex <= logLastIndex(view->log) || !told) {
            appendOne(view, &lead, address);
            told = true;
        } else {
            signalWait(view->loop, &view->grew, loopNowMs(view->loop) + LOCK_RENEW_MS);
        }
    }
}

/* The median of the seats' wall clocks as an offset to the own clock; of two
 * the lower, so that nothing due comes early. */
static void wallTake(View *view)
{
    int64_t offsets[SEAT_COUNT];
    int count = 0;
    const int64_t nowMs = loopNowMs(view->loop);
    offsets[count++] = loopWallMs(view->loop) - nowMs;
    for (int i = 0; i < SEAT_COUNT; i++)
        if (view->seats[i] != view->disk && view->partners[i].wallAtMs != 0 &&
            nowMs - view->partners[i].wallAtMs < LOCK_HOLD_MS)
            offsets[count++] = view->partners[i].wallMs - view->partners[i].wallAtMs;
    for (int i = 1; i < count; i++)
        for (int k = i; k > 0 && offsets[k] < offsets[k - 1]; k--) {
            const int64_t swap = offsets[k];
            offsets[k] = offsets[k - 1];
            offsets[k - 1] = swap;
        }
    if (count == SEAT_COUNT || !view->wallKnown) {
        view->wallOffsetMs = offsets[(count - 1) / 2];
        view->wallKnown = true;
    }
}

static void renewMain(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    while (!leadOver(view, lead.turn)) {
        const int64_t sentMs = loopNowMs(view->loop);
        char address[ADDRESS_MAX];
        if (view->seats[lead.seat] == view->disk) {
            if (lockRenew(&view->lock, view->epoch, view->disk, sentMs) == STATUS_OK)
                lockHoldAnswered(&view->hold, lead.seat, sentMs);
            wallTake(view);
        } else if (seatAddress(view, lead.seat, address)) {
            void *mem = talloc_new(view);
            const RenewAsk ask = {view->epoch, view->disk, view->commitIndex, viewClockMs(view),
                                  membersSelf(view->props.members)->id, view->seats[lead.seat], 0};
            SeatAnswer answer = {0};
            const Status status = courierAsk(view->props.courier, mem, address, MESSAGE_RENEW, &RenewAskShape, &ask,
                                             ASK_EXPIRY_MS, &SeatAnswerShape, &answer);
            if (!leadOver(view, lead.turn)) {
                if (reached(status))
                    answered(view, lead.seat, &answer);
                if (status == STATUS_OK)
                    lockHoldAnswered(&view->hold, lead.seat, sentMs);
            }
            talloc_free(mem);
        }
        const int64_t tookMs = loopNowMs(view->loop) - sentMs;
        loopSleep(view->loop, tookMs < LOCK_RENEW_MS ? LOCK_RENEW_MS - tookMs : 1);
    }
}

static void leadSpawn(View *view, const char *name, TaskFn fn, int seat)
{
    Lead *lead = talloc_zero(view, Lead);
    *lead = (Lead){view, view->leadTurn, seat};
    loopSpawn(view->loop, name, fn, lead);
}

/* --- giving back ----------------------------------------------------------------------- */

typedef struct Giving {
    View *view;
    RenewAsk ask;
    char address[ADDRESS_MAX];
} Giving;

static void releaseMain(void *arg)
{
    Giving *giving = arg;
    SeatAnswer answer = {0};
    courierAsk(giving->view->props.courier, giving, giving->address, MESSAGE_RELEASE, &RenewAskShape, &giving->ask,
               ASK_EXPIRY_MS, &SeatAnswerShape, &answer);
    talloc_free(giving);
}

/* Tells all other seats that what they granted under the epoch is not used. next:
 * the disk that is to take over at once; 0: whoever comes first. */
static void grantsRelease(View *view, uint64_t next)
{
    for (int i = 0; i < SEAT_COUNT; i++) {
        Giving *giving = talloc_zero(view, Giving);
        if (view->seats[i] == view->disk || !seatAddress(view, i, giving->address)) {
            talloc_free(giving);
            continue;
        }
        giving->view = view;
        giving->ask = (RenewAsk){view->epoch, view->disk, 0, 0, "", view->seats[i], next};
        loopSpawn(view->loop, "release", releaseMain, giving);
    }
}

/* The seat in the view that is the least behind and answered last. */
static uint64_t nextSeat(const View *view)
{
    const Partner *best = NULL;
    uint64_t disk = 0;
    for (int i = 0; i < SEAT_COUNT; i++) {
        const Partner *partner = &view->partners[i];
        if (view->seats[i] == view->disk || !view->inView[i] ||
            loopNowMs(view->loop) - partner->answeredMs > 2 * LOCK_RENEW_MS)
            continue;
        if (best == NULL || partner->matchIndex > best->matchIndex) {
            best = partner;
            disk = view->seats[i];
        }
    }
    return disk;
}

/* --- opening a view ------------------------------------------------------------------- */

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
    for (int i = 0; i < SEAT_COUNT; i++)
        if (reached(poll->status[i])) {
            const SeatAnswer *answer = &poll->answers[i];
            anyWoke |= answer->woke;
            if (newest == NULL || answer->viewEpoch > newest->viewEpoch)
                newest = answer;
        }
    *repair = anyWoke && newest != NULL && newest->viewEpoch != 0;
    if (!*repair)
        return true;
    bool heardAll = true;
    for (int i = 0; i < SEAT_COUNT; i++)
        if (among(newest, view->seats[i]) && !reached(poll->status[i]))
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
    if (status == STATUS_OK && answer.whole) {
        const FillAsk fill = {view->epoch, view->disk, answer.snapshot, answer.snapshot.index, view->disk};
        status = seatFill(view, &fill);
    }
    if (status == STATUS_OK) {
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

static void viewEntryAdd(View *view, const bool inView[SEAT_COUNT], bool repair)
{
    void *mem = talloc_new(view);
    ViewRecord record = {.epoch = view->epoch,
                         .holder = view->disk,
                         .members = talloc_array(mem, DiskId, SEAT_COUNT),
                         .holderId = membersSelf(view->props.members)->id,
                         .repair = repair || view->last.repair};
    for (int i = 0; i < SEAT_COUNT; i++)
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

/* Stops taking changes, collects the logs of a majority, takes the best one,
 * trims the others to it, opens the next epoch and goes on. skip: seats that
 * are to stay out. Waits. */
static Status viewOpen(View *view, const bool skip[SEAT_COUNT])
{
    bool newHolder = !view->holding;
    const uint64_t turn = ++view->leadTurn;
    view->phase = VIEW_OPENING;
    view->reopening = !newHolder;
    Poll *poll = pollSeats(view, 0, skip);
    Status status = STATUS_UNREACHABLE;
    int heard = 0;
    /* disks that lie may have forgotten promises and epochs; those who followed a
     * leader have not */
    uint64_t highest = view->lock.promised;
    if (membersLeaderEpoch(view->props.members) > highest)
        highest = membersLeaderEpoch(view->props.members);
    bool held = false, repair = false;
    for (int i = 0; i < SEAT_COUNT; i++)
        if (reached(poll->status[i])) {
            heard++;
            if (poll->answers[i].promised > highest)
                highest = poll->answers[i].promised;
            held |= poll->answers[i].held && poll->answers[i].holder != view->disk;
        }
    const bool rest = mayRest(view, poll, &repair);
    pollLeave(poll);
    if (leadOver(view, turn))
        return STATUS_NOT_LEADER;
    if (heard < SEAT_MAJORITY || !rest || (newHolder && held)) {
        leadDown(view, 0);
        return held ? STATUS_OTHER_HOLDER : rest ? status : STATUS_WOKEN;
    }
    /* the renewals of the old epoch have ended with leadTurn; ask for promises */
    const uint64_t epoch = epochNext(highest, view->disk);
    poll = pollSeats(view, epoch, skip);
    int granted = 0, best = -1;
    bool inView[SEAT_COUNT] = {false};
    /* a hold that lapsed before this question was sent was not carried on */
    const int64_t heldUntilMs = lockHoldUntil(&view->hold);
    for (int i = 0; i < SEAT_COUNT; i++)
        newHolder |= poll->status[i] == STATUS_OK && poll->sentMs[i] >= heldUntilMs;
    view->reopening = !newHolder;
    if (newHolder)
        lockHoldClear(&view->hold);
    for (int i = 0; i < SEAT_COUNT; i++) {
        if (poll->status[i] != STATUS_OK)
            continue;
        granted++;
        inView[i] = true;
        const SeatAnswer *a = &poll->answers[i];
        const SeatAnswer *b = best >= 0 ? &poll->answers[best] : NULL;
        if (b == NULL || a->logEpoch > b->logEpoch ||
            (a->logEpoch == b->logEpoch &&
             (a->logIndex > b->logIndex || (a->logIndex == b->logIndex && view->seats[i] == view->disk))))
            best = i;
        lockHoldAnswered(&view->hold, i, poll->sentMs[i]);
    }
    int removed = 0;
    for (int i = 0; i < SEAT_COUNT; i++)
        removed += poll->status[i] == STATUS_NO_SEAT;
    if (removed >= SEAT_MAJORITY) /* our seat has been given to another disk */
        view->restUntilMs = loopNowMs(view->loop) + MEMBER_FORGET_MS;
    const int own = viewOwnSeat(view);
    const bool ownFailed = own >= 0 && (poll->status[own] == STATUS_DISK_FAILED || poll->status[own] == STATUS_UNREACHABLE);
    const bool lost = leadOver(view, turn) || granted < SEAT_MAJORITY || own < 0 || !inView[own];
    if (!lost)
        for (int i = 0; i < SEAT_COUNT; i++) {
            if (poll->status[i] == STATUS_OK || reached(poll->status[i]))
                answered(view, i, &poll->answers[i]);
            view->partners[i].matchIndex = 0;
            view->partners[i].nextIndex = poll->answers[i].logIndex + 1;
            view->partners[i].appendSinceMs = INT64_MAX;
            view->partners[i].refill = false;
        }
    pollLeave(poll);
    if (lost) {
        if (!leadOver(view, turn)) {
            /* others may have granted what can't be used here: they need not wait it out */
            view->epoch = epoch;
            grantsRelease(view, 0);
            leadDown(view, ownFailed ? SLOW_DISK_REST_MS : 0);
        }
        return STATUS_OTHER_HOLDER;
    }
    view->epoch = epoch;
    if (newHolder)
        view->wonMs = loopNowMs(view->loop);
    view->holding = true;
    view->wokenSinceMs = 0;
    for (int i = 0; i < SEAT_COUNT; i++)
        leadSpawn(view, "renew", renewMain, i);
    if (view->seats[best] != view->disk) {
        status = logAdopt(view, best);
        if (leadOver(view, turn) || status != STATUS_OK) {
            if (!leadOver(view, turn))
                leadDown(view, 0);
            return status;
        }
    }
    /* what is in the own journal's queue is synced before what follows; what an
     * earlier lead had not queued yet is written now */
    view->syncedIndex = view->queuedIndex;
    for (int i = 0; i < SEAT_COUNT; i++)
        if (view->partners[i].nextIndex > logLastIndex(view->log) + 1)
            view->partners[i].nextIndex = logLastIndex(view->log) + 1;
    memcpy(view->inView, inView, sizeof(inView));
    viewEntryAdd(view, inView, repair);
    leadSpawn(view, "local", localMain, own);
    for (int i = 0; i < SEAT_COUNT; i++)
        if (i != own)
            leadSpawn(view, "partner", partnerMain, i);
    /* a seat that lags is waited for while it gains */
    int64_t untilMs = loopNowMs(view->loop) + VIEW_EXPIRY_MS;
    uint64_t gained = 0;
    while (view->commitIndex < view->viewIndex) {
        if (!signalWait(view->loop, &view->news, loopNowMs(view->loop) + 100) && !leadOver(view, turn)) {
            uint64_t sum = view->syncedIndex;
            for (int i = 0; i < SEAT_COUNT; i++)
                sum += view->partners[i].matchIndex + view->partners[i].nextIndex;
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
    ringSay(view->props.ring, RING_NOTE, loopNowMs(view->loop), "leads view %" PRIu64 " with %d seats%s",
            epochCounter(epoch), granted, view->last.repair ? ", repairs" : "");
    signalRaise(view->loop, &view->news);
    return STATUS_OK;
}

/* --- giving up --------------------------------------------------------------------------- */

void leadDown(View *view, int64_t restMs)
{
    const int64_t nowMs = loopNowMs(view->loop);
    if (restMs > 0)
        view->restUntilMs = nowMs + restMs;
    view->leadTurn++;
    if (view->phase != VIEW_FOLLOWING || view->holding) {
        if (view->holding) {
            /* nothing is decided under this hold any more: the seats may forget it */
            lockRelease(&view->lock, view->epoch, view->disk, nowMs);
            grantsRelease(view, nextSeat(view));
            ringSay(view->props.ring, RING_NOTE, nowMs, "gives up view %" PRIu64, epochCounter(view->epoch));
        }
        view->phase = VIEW_FOLLOWING;
        view->holding = false;
        lockHoldClear(&view->hold);
    }
    viewWaitersEnd(view, STATUS_OUTCOME_UNKNOWN);
    signalRaise(view->loop, &view->news);
}

/* --- watching ---------------------------------------------------------------------------- */

/* All seats are in it: it can do without one. */
static bool viewWhole(const View *view)
{
    for (int i = 0; i < SEAT_COUNT; i++)
        if (!view->inView[i])
            return false;
    return true;
}

/* Decides whether the view must be opened anew; skip is filled in. */
static bool viewStale(View *view, bool skip[SEAT_COUNT])
{
    const int64_t nowMs = loopNowMs(view->loop);
    const bool whole = viewWhole(view);
    bool stale = false;
    for (int i = 0; i < SEAT_COUNT; i++) {
        const Partner *partner = &view->partners[i];
        skip[i] = false;
        if (view->seats[i] == view->disk)
            continue;
        const bool silent = nowMs - partner->answeredMs > LOCK_HOLD_MS;
        const bool slow = (partner->appendSinceMs != INT64_MAX && nowMs - partner->appendSinceMs > APPEND_EXPIRY_MS) ||
                          (whole && partner->slowTimes >= SEAT_SLOW_TIMES);
        if (view->inView[i]) {
            if (silent || slow) {
                skip[i] = stale = true;
                ringSay(view->props.ring, RING_ALERT, nowMs, "seat %016" PRIx64 " leaves the view: %s", view->seats[i],
                        silent ? "silent" : "does not sync in time");
            } else if ((partner->woke && nowMs - view->changedMs > 2 * LOCK_RENEW_MS) ||
                       partner->promised > view->epoch) {
                /* it restarted within the view; one just opened takes a renewal to be heard of */
                stale = true;
            }
            continue;
        }
        const bool near = partner->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log) && partner->matchIndex > 0;
        if (!silent && !slow && near && partner->appendTookMs < SEAT_SLOW_MS / 2 &&
            nowMs - view->changedMs > PROPOSE_MS)
            stale = true;
        else
            skip[i] = true;
    }
    return stale;
}

/* The best partition is the largest. All that hold a majority of the seats can
 * reach each other's seats, but a leader may be cut off from other members: when
 * a seat in the view sees many more of them, the lock is better there. */
static bool viewBlind(View *view)
{
    const int64_t nowMs = loopNowMs(view->loop);
    const uint64_t own = membersSight(view->props.members);
    bool blind = false;
    for (int i = 0; i < SEAT_COUNT; i++)
        if (view->inView[i] && view->seats[i] != view->disk && nowMs - view->partners[i].answeredMs < LOCK_HOLD_MS)
            blind |= view->partners[i].sight > own + SIGHT_MARGIN && view->partners[i].sight > own + own / 2;
    if (!blind || nowMs - view->wonMs < MEMBER_QUIET_MS)
        view->blindSinceMs = 0;
    else if (view->blindSinceMs == 0)
        view->blindSinceMs = nowMs;
    return view->blindSinceMs != 0 && nowMs - view->blindSinceMs > SIGHT_HAND_MS;
}

static void watchMain(void *arg)
{
    View *view = arg;
    while (!loopStopping(view->loop)) {
        const int64_t nowMs = loopNowMs(view->loop);
        if (view->phase == VIEW_LEADING) {
            bool skip[SEAT_COUNT];
            const int64_t sinceMs = journalSyncSince(view->journal);
            if (nowMs >= lockHoldUntil(&view->hold)) {
                ringSay(view->props.ring, RING_ALERT, nowMs, "the hold of the lock has lapsed");
                leadDown(view, 0);
            } else if ((sinceMs != INT64_MAX && nowMs - sinceMs > APPEND_EXPIRY_MS) ||
                       (view->slowTimes >= SEAT_SLOW_TIMES && viewWhole(view))) {
                view->slowTimes = 0;
                ringSay(view->props.ring, RING_ALERT, nowMs, "own disk is slow: hands the lock over");
                leadDown(view, SLOW_DISK_REST_MS);
            } else if (viewBlind(view)) {
                ringSay(view->props.ring, RING_ALERT, nowMs, "another seat sees many more members: hands the lock over");
                view->blindSinceMs = 0;
                leadDown(view, SLOW_DISK_REST_MS);
            } else if (viewStale(view, skip)) {
                viewOpen(view, skip);
            }
        } else if (view->phase == VIEW_FOLLOWING && viewFounded(view) && viewSeated(view) &&
                   nowMs >= view->restUntilMs && nowMs >= view->lock.notBeforeMs && !lockHeld(&view->lock, nowMs)) {
            if (!view->named) /* one that the last holder named goes first */
                loopSleep(view->loop, (int64_t)(loopRandom(view->loop) % PROPOSE_JITTER_MS));
            view->named = false;
            if (view->phase == VIEW_FOLLOWING && !lockHeld(&view->lock, loopNowMs(view->loop)) &&
                loopNowMs(view->loop) >= view->restUntilMs) {
                const bool skip[SEAT_COUNT] = {false};
                if (viewOpen(view, skip) != STATUS_OK)
                    loopSleep(view->loop, PROPOSE_MS / 2 + (int64_t)(loopRandom(view->loop) % PROPOSE_JITTER_MS));
            }
        }
        signalWait(view->loop, &view->released, loopNowMs(view->loop) + 100);
    }
}

void leadStart(View *view)
{
    loopSpawn(view->loop, "watch", watchMain, view);
}
