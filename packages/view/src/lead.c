/* The holder's part: ordering changes, keeping the seats up to date. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* --- ordering ---------------------------------------------------------------------- */

bool leadOver(const View *view, uint64_t turn)
{
    return view->leadTurn != turn || loop_stopping(view->loop);
}

/* What a majority of the seats has synced. */
static uint64_t majorityIndex(const View *view)
{
    uint64_t matches[SEAT_MOST];
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        if (view->seats[i] == 0)
            continue;
        const uint64_t match = view->seats[i] == view->disk ? view->syncedIndex : view->peers[i].matchIndex;
        size_t at = count++;
        for (; at > 0 && matches[at - 1] < match; at--)
            matches[at] = matches[at - 1];
        matches[at] = match;
    }
    return count > 0 ? matches[lock_majority(count) - 1] : 0;
}

void leadCommit(View *view)
{
    uint64_t least = view->syncedIndex;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->inView[i] && view->seats[i] != view->disk && view->peers[i].matchIndex < least)
            least = view->peers[i].matchIndex;
    /* the view is a majority of the seats; only while a seat was just added it may not be */
    const uint64_t majority = majorityIndex(view);
    if (majority < least)
        least = majority;
    if (least < view->viewIndex || least <= view->commitIndex)
        return;
    view->commitIndex = least;
    viewDeliver(view);
    signal_raise(view->loop, &view->news);
}

static uint64_t learnerTurn(const View *view, int slot)
{
    return slot >= SEAT_MOST ? view->learners[slot - SEAT_MOST].turn : 0;
}

bool leadPeerOver(const Lead *lead)
{
    return leadOver(lead->view, lead->turn) || slotDisk(lead->view, lead->slot) != lead->disk ||
           learnerTurn(lead->view, lead->slot) != lead->learnerTurn;
}

/* Syncs the own journal: a seat as the others, but asked directly. */
static void localMain(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    while (!leadOver(view, lead.turn)) {
        uint64_t last_index = logLastIndex(view->log);
        if (view->syncedIndex >= last_index) {
            signal_wait(view->loop, &view->grew, loop_now_ms(view->loop) + LOCK_RENEW_MS);
            continue;
        }
        void *mem = talloc_new(view);
        const uint64_t from = view->syncedIndex > view->log->baseIndex ? view->syncedIndex : view->log->baseIndex;
        Record *records = talloc_array(mem, Record, (unsigned)(last_index - from));
        size_t count = 0, bytes = 0;
        for (uint64_t i = from + 1; i <= last_index && bytes < LOG_WRITE_BYTES; i++) {
            records[count] = *logAt(view->log, i);
            bytes += records[count++].payload.count;
        }
        last_index = from + count;
        view->queuedIndex = last_index;
        const int64_t start_ms = loop_now_ms(view->loop);
        const Status status = journal_write(view->journal, records, count);
        talloc_free(mem);
        if (leadOver(view, lead.turn))
            return;
        if (status != STATUS_OK) {
            ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop), "own disk failed: gives up the lock");
            leadDown(view, INT32_MAX);
            return;
        }
        view->slowTimes = loop_now_ms(view->loop) - start_ms > SEAT_SLOW_MS ? view->slowTimes + 1 : 0;
        view->syncedIndex = last_index;
        leadCommit(view);
    }
}

void leadAnswered(View *view, int slot, const SeatAnswer *answer)
{
    Peer *peer = &view->peers[slot];
    peer->answered_ms = loop_now_ms(view->loop);
    peer->woke = answer->woke;
    peer->promised = answer->promised;
    peer->wall_ms = answer->wall_ms;
    peer->wallAtMs = peer->answered_ms;
    peer->syncMs = answer->syncMs;
    peer->sight = answer->sight;
}

/* It grants the lock as of then, in answer to a question that was sent then. */
static void granted(View *view, int slot, int64_t sent_ms, uint64_t contact)
{
    view->peers[slot].renewedMs = sent_ms;
    if (slot < SEAT_MOST)
        lock_hold_answered(&view->hold, slot, sent_ms);
    contactGranted(view, slot, contact);
}

static void appendOne(View *view, const Lead *lead, const char *address)
{
    Peer *peer = &view->peers[lead->slot];
    void *mem = talloc_new(view);
    AppendAsk ask = {.epoch = view->epoch, .holder = view->disk, .prevIndex = peer->nextIndex - 1, .to = lead->disk};
    logEpochAt(view->log, ask.prevIndex, &ask.prevEpoch);
    ask.commitIndex = view->commitIndex;
    ask.entries = talloc_array(mem, Record, LOG_BATCH_ENTRIES);
    size_t bytes = 0;
    for (uint64_t i = peer->nextIndex;
         i <= logLastIndex(view->log) && ask.entriesCount < LOG_BATCH_ENTRIES && bytes < LOG_BATCH_BYTES; i++) {
        bytes += logAt(view->log, i)->payload.count;
        shape_copy(&Record_shape, logAt(view->log, i), mem, &ask.entries[ask.entriesCount++]);
    }
    const uint64_t match = ask.prevIndex + ask.entriesCount, contact = view->contactAsked;
    SeatAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(view->loop);
    if (peer->appendSinceMs == INT64_MAX)
        peer->appendSinceMs = sent_ms;
    const Status status = courier_ask(view->props.courier, mem, address, MESSAGE_APPEND, &AppendAskShape, &ask,
                                      APPEND_EXPIRY_MS, &SeatAnswerShape, &answer);
    if (!leadPeerOver(lead)) {
        if (pollReached(status))
            leadAnswered(view, lead->slot, &answer);
        if (status == STATUS_OK || status == STATUS_LOG_GAP) {
            peer->appendSinceMs = INT64_MAX;
            peer->appendTookMs = loop_now_ms(view->loop) - sent_ms;
            peer->slowTimes = peer->appendTookMs > SEAT_SLOW_MS ? peer->slowTimes + 1 : 0;
        }
        if (status == STATUS_OK) {
            peer->matchIndex = match;
            peer->nextIndex = match + 1;
            /* a seat that takes an append lets the hold go on as well */
            granted(view, lead->slot, sent_ms, contact);
            leadCommit(view);
        } else if (status == STATUS_LOG_GAP) {
            peer->matchIndex = 0; /* a disk may have lost what it had synced */
            /* back to what it has, or a good step; before the beginning only a snapshot helps */
            uint64_t next = peer->nextIndex;
            if (next <= view->log->baseIndex + 1)
                peer->refill = true;
            else if (answer.logIndex + 1 < next)
                next = answer.logIndex + 1;
            else
                next =
                    next > view->log->baseIndex + 1 + LOG_BACK_STEP ? next - LOG_BACK_STEP : view->log->baseIndex + 1;
            peer->nextIndex = next;
        } else {
            loop_sleep(view->loop, 100);
        }
    }
    talloc_free(mem);
}

/* A learner whose last append took long is measured again, also when there is nothing new. */
static bool slowLearner(const Lead *lead)
{
    return lead->slot >= SEAT_MOST && lead->view->peers[lead->slot].appendTookMs >= SEAT_SLOW_MS;
}

/* One task for each other voter, in the view or not, and for each learner. */
static void peerMain(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    Peer *peer = &view->peers[lead.slot];
    bool told = false; /* it has taken an append under this epoch */
    while (!leadPeerOver(&lead)) {
        char address[ADDRESS_MAX];
        if (!seatAddress(view, lead.slot, address)) {
            loop_sleep(view->loop, 100);
            continue;
        }
        if (peer->refill || peer->nextIndex <= view->log->baseIndex) {
            fillOne(view, &lead, address);
        } else if (peer->nextIndex <= logLastIndex(view->log) || !told || slowLearner(&lead)) {
            appendOne(view, &lead, address);
            told |= peer->matchIndex + 1 == peer->nextIndex;
            /* nobody waits for a learner: it takes several changes in one append */
            if (lead.slot >= SEAT_MOST && peer->nextIndex > logLastIndex(view->log))
                loop_sleep(view->loop, LEARNER_APPEND_MS);
        } else {
            signal_wait(view->loop, &view->grew, loop_now_ms(view->loop) + LOCK_RENEW_MS);
        }
    }
}

/* The median of the seats' wall clocks as an offset to the own clock; of two
 * the lower, so that nothing due comes early. */
static void wallTake(View *view)
{
    int64_t offsets[SEAT_MOST];
    int count = 0;
    const int64_t now_ms = loop_now_ms(view->loop);
    offsets[count++] = loop_wall_ms(view->loop) - now_ms;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0 && view->seats[i] != view->disk && view->peers[i].wallAtMs != 0 &&
            now_ms - view->peers[i].wallAtMs < LOCK_HOLD_MS)
            offsets[count++] = view->peers[i].wall_ms - view->peers[i].wallAtMs;
    for (int i = 1; i < count; i++)
        for (int k = i; k > 0 && offsets[k] < offsets[k - 1]; k--) {
            const int64_t swap = offsets[k];
            offsets[k] = offsets[k - 1];
            offsets[k - 1] = swap;
        }
    if ((size_t)count == view->seatCount || !view->wallKnown) {
        view->wallOffsetMs = offsets[(count - 1) / 2];
        view->wallKnown = true;
    }
}

/* Asks the seat for nothing but an answer. */
static bool heard(View *view, const Lead *lead, const char *address)
{
    void *mem = talloc_new(view);
    const ProposeAsk ask = {0, view->disk, lead->disk, logLastEpoch(view->log), logLastIndex(view->log)};
    SeatAnswer answer = {0};
    const Status status = courier_ask(view->props.courier, mem, address, MESSAGE_PROPOSE, &ProposeAskShape, &ask,
                                      ASK_EXPIRY_MS, &SeatAnswerShape, &answer);
    const bool reached = pollReached(status);
    if (reached && !leadPeerOver(lead))
        leadAnswered(view, lead->slot, &answer);
    talloc_free(mem);
    return reached;
}

static Status renewOne(View *view, const Lead *lead, const char *address, int64_t sent_ms)
{
    void *mem = talloc_new(view);
    const RenewAsk ask = {
        view->epoch, view->disk, view->commitIndex, viewClockMs(view), members_self(view->props.members)->id,
        lead->disk,  0};
    const uint64_t contact = view->contactAsked;
    SeatAnswer answer = {0};
    const Status status = courier_ask(view->props.courier, mem, address, MESSAGE_RENEW, &RenewAskShape, &ask,
                                      ASK_EXPIRY_MS, &SeatAnswerShape, &answer);
    if (!leadPeerOver(lead)) {
        if (pollReached(status))
            leadAnswered(view, lead->slot, &answer);
        if (status == STATUS_OK)
            granted(view, lead->slot, sent_ms, contact);
    }
    talloc_free(mem);
    return status;
}

/* A seat that hears us while we do not hear it must not go on granting: one that
 * left a renewal unanswered is first asked for an answer alone. */
static void renewMain(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    int64_t askedMs = INT64_MIN;
    bool doubt = false;
    while (!leadPeerOver(&lead)) {
        const int64_t sent_ms = loop_now_ms(view->loop);
        char address[ADDRESS_MAX];
        /* appends renew as well; only the rest is told by renewals alone */
        const int64_t lastMs = view->peers[lead.slot].renewedMs;
        if (lead.disk != view->disk && lastMs != INT64_MIN && askedMs != INT64_MIN &&
            sent_ms - lastMs < LOCK_RENEW_MS && sent_ms - askedMs < LOCK_TELL_MS && !contactOwed(view, lead.slot)) {
            contactRest(view, lead.slot, LOCK_RENEW_MS - (sent_ms - lastMs));
            continue;
        }
        if (lead.disk == view->disk) {
            if (lock_renew(&view->lock, view->epoch, view->disk, sent_ms) == STATUS_OK)
                lock_hold_answered(&view->hold, lead.slot, sent_ms);
            wallTake(view);
        } else if (seatAddress(view, lead.slot, address)) {
            Status status = STATUS_EXPIRED;
            if (doubt) {
                doubt = !heard(view, &lead, address);
            } else {
                askedMs = sent_ms;
                status = renewOne(view, &lead, address, sent_ms);
                doubt = !pollReached(status);
            }
            if (askedMs != sent_ms && !doubt)
                continue; /* it answers again: now the renewal */
            if (status == STATUS_OK && !leadPeerOver(&lead) && contactOwed(view, lead.slot))
                continue; /* another round of contact was asked for meanwhile */
        }
        const int64_t tookMs = loop_now_ms(view->loop) - sent_ms;
        contactRest(view, lead.slot, tookMs < LOCK_RENEW_MS ? LOCK_RENEW_MS - tookMs : 1);
    }
}

static void leadSpawn(View *view, const char *name, TaskFn fn, int slot)
{
    Lead *lead = talloc_zero(view, Lead);
    *lead = (Lead){view, view->leadTurn, slot, slotDisk(view, slot), learnerTurn(view, slot)};
    loop_spawn(view->loop, name, fn, lead);
}

void leadRenew(View *view, int slot)
{
    leadSpawn(view, "renew", renewMain, slot);
}

void leadPeer(View *view, int slot)
{
    if (slotDisk(view, slot) != view->disk)
        leadSpawn(view, "peer", peerMain, slot);
}

void leadLocal(View *view)
{
    leadSpawn(view, "local", localMain, viewOwnSeat(view));
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
    courier_ask(giving->view->props.courier, giving, giving->address, MESSAGE_RELEASE, &RenewAskShape, &giving->ask,
                ASK_EXPIRY_MS, &SeatAnswerShape, &answer);
    talloc_free(giving);
}

void leadRelease(View *view, uint64_t next)
{
    for (int i = 0; i < SEAT_MOST; i++) {
        Giving *giving = talloc_zero(view, Giving);
        if (view->seats[i] == 0 || view->seats[i] == view->disk || !seatAddress(view, i, giving->address)) {
            talloc_free(giving);
            continue;
        }
        giving->view = view;
        giving->ask = (RenewAsk){view->epoch, view->disk, 0, 0, "", view->seats[i], next};
        loop_spawn(view->loop, "release", releaseMain, giving);
    }
}

uint64_t leadNext(const View *view, bool quick)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    const Peer *best = NULL;
    uint64_t disk = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        const Peer *peer = &view->peers[i];
        if (view->seats[i] == view->disk || !view->inView[i] || now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS)
            continue;
        if (quick && (peer->syncMs > SEAT_SLOW_MS / 2 || peer->appendTookMs > SEAT_SLOW_MS / 2 ||
                      (peer->appendSinceMs != INT64_MAX && now_ms - peer->appendSinceMs > SEAT_LATE_MS / 2)))
            continue;
        if (best == NULL || peer->matchIndex > best->matchIndex) {
            best = peer;
            disk = view->seats[i];
        }
    }
    return disk;
}

void leadDown(View *view, int64_t restMs)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    if (restMs > 0)
        view->rest_until_ms = now_ms + restMs;
    view->leadTurn++;
    if (view->phase != VIEW_FOLLOWING || view->holding) {
        if (view->holding) {
            /* nothing is decided under this hold any more: the seats may forget it */
            lock_release(&view->lock, view->epoch, view->disk, now_ms);
            leadRelease(view, leadNext(view, false));
            ring_say(view->props.ring, RING_NOTE, now_ms, "gives up view %" PRIu64, epoch_counter(view->epoch));
        }
        view->phase = VIEW_FOLLOWING;
        view->holding = false;
        lock_hold_clear(&view->hold);
    }
    viewWaitersEnd(view, STATUS_OUTCOME_UNKNOWN);
    signal_raise(view->loop, &view->news);
}
