#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

View *viewNew(void *mem, const ViewProps *props)
{
    View *view = talloc_zero(mem, View);
    view->props = *props;
    view->loop = props->loop;
    view->log = logNew(view);
    seatsFirst(view);
    return view;
}

bool viewFounded(const View *view)
{
    return view->cluster != 0;
}

uint64_t viewCluster(const View *view)
{
    return view->cluster;
}

bool viewSeated(const View *view)
{
    return viewOwnSeat(view) >= 0;
}

uint64_t viewDisk(const View *view)
{
    return view->disk;
}

uint64_t viewEpoch(const View *view)
{
    return view->epoch;
}

int64_t viewWonMs(const View *view)
{
    return view->wonMs;
}

bool viewOrders(const View *view)
{
    return view->phase == VIEW_LEADING && loop_now_ms(view->loop) < lock_hold_until(&view->hold);
}

/* What is acknowledged outlives the losses that must be borne: it is on one disk more than
 * those, however many voters there are just now. */
static bool wideEnough(const View *view)
{
    size_t copies = 0;
    for (int i = 0; i < SEAT_MOST; i++)
        copies += view->inView[i];
    return copies >= lock_majority(votersWanted(view));
}

bool viewLeading(const View *view)
{
    return viewOrders(view) && wideEnough(view);
}

bool viewHolds(const View *view)
{
    return (view->phase == VIEW_LEADING || (view->phase == VIEW_OPENING && view->reopening)) &&
           loop_now_ms(view->loop) < lock_hold_until(&view->hold);
}

bool viewKnowsHolder(const View *view)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    /* a woken seat may have forgotten: it must not say that it knows none */
    return lock_held(&view->lock, now_ms) || now_ms < view->lock.not_before_ms || view->holding;
}

int64_t viewClockMs(const View *view)
{
    return view->clockRuns ? view->clockBaseMs + (loop_now_ms(view->loop) - view->clockAtMs) : view->clockBaseMs;
}

void viewClockTell(View *view, int64_t clock_ms)
{
    if (clock_ms > view->clockLogMs)
        view->clockLogMs = clock_ms;
    if (clock_ms > viewClockMs(view) || !view->clockRuns)
        viewClockSet(view, clock_ms);
}

void viewClockSet(View *view, int64_t clock_ms)
{
    view->clockBaseMs = clock_ms > view->clockLogMs ? clock_ms : view->clockLogMs;
    view->clockAtMs = loop_now_ms(view->loop);
    view->clockRuns = true;
}

int64_t viewWallMs(const View *view)
{
    return view->wallKnown ? loop_now_ms(view->loop) + view->wallOffsetMs : loop_wall_ms(view->loop);
}

Signal *viewNews(View *view)
{
    return &view->news;
}

void viewStepDown(View *view, int64_t restMs)
{
    leadDown(view, restMs);
}

/* --- seats and last view, from the log ------------------------------------ */

static void lastSet(View *view, const ViewRecord *record)
{
    talloc_free(view->lastMem);
    view->lastMem = talloc_new(view);
    shape_copy(&ViewRecordShape, record, view->lastMem, &view->last);
}

/* The list that a majority has committed may only be followed by later ones. */
static void listCheck(View *view, uint64_t index)
{
    if (view->listIndex <= view->commitIndex && view->listIndex > view->listCommitted)
        view->listCommitted = view->listIndex;
    if (!view->props.disksKeep || index >= view->listCommitted || view->listOld)
        return;
    view->listOld = true;
    ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop),
             "the list of voters went back from entry %" PRIu64 " to %" PRIu64 ": votes no more", view->listCommitted,
             index);
}

void viewReread(View *view)
{
    void *mem = talloc_new(view);
    const SeatList *seats = NULL;
    const ViewRecord *last = NULL;
    uint64_t seatsIndex = 0;
    SeatList seatList;
    ViewRecord viewRecord;
    bool repaired = false;
    for (size_t i = view->log->count; i > 0 && (seats == NULL || last == NULL); i--) {
        const Record *entry = &view->log->entries[i - 1];
        if (entry->change == VIEW_CHANGE_SEATS && seats == NULL &&
            shape_unpack(&SeatListShape, entry->payload, mem, &seatList, NULL) == STATUS_OK) {
            seats = &seatList;
            seatsIndex = entry->index;
        }
        if (entry->change == VIEW_CHANGE_REPAIRED && last == NULL)
            repaired = true;
        if (entry->change == VIEW_CHANGE_VIEW && last == NULL &&
            shape_unpack(&ViewRecordShape, entry->payload, mem, &viewRecord, NULL) == STATUS_OK)
            last = &viewRecord;
    }
    Snapshot snapshot;
    if ((seats == NULL || last == NULL) && view->log->snapshot.kind == RECORD_SNAPSHOT &&
        shape_unpack(&SnapshotShape, view->log->snapshot.payload, mem, &snapshot, NULL) == STATUS_OK) {
        if (seats == NULL) {
            seatList = (SeatList){snapshot.seats, snapshot.seatsCount, snapshot.cores, snapshot.coresCount};
            seats = &seatList;
            seatsIndex = view->log->baseIndex;
        }
        if (last == NULL)
            last = &snapshot.last;
    }
    listCheck(view, seatsIndex);
    seatsTake(view, seats != NULL ? seats : view->founded, seatsIndex);
    if (last != NULL) {
        lastSet(view, last);
        view->last.repair &= !repaired;
    }
    talloc_free(mem);
}

/* --- delivery ---------------------------------------------------------------- */

static bool lastHas(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < view->last.members_count; i++)
        if (view->last.members[i].disk == disk)
            return true;
    return false;
}

void viewDeliver(View *view)
{
    bool any = false;
    while (view->deliveredIndex < view->commitIndex) {
        const Record *entry = logAt(view->log, view->deliveredIndex + 1);
        if (entry == NULL)
            break;
        ChangeResult result = {STATUS_OK, 0, entry->index};
        if (entry->change >= VIEW_CHANGE_FIRST)
            view->props.state.deliver(view->props.state.arg, entry, &result);
        else if (entry->change == VIEW_CHANGE_VIEW && entry->epoch == view->lock.promised && lastHas(view, view->disk))
            view->woke = false; /* a view has brought this seat up to date */
        view->deliveredIndex = entry->index;
        any = true;
        for (Waiter **at = &view->waiters; *at != NULL;) {
            Waiter *waiter = *at;
            if (waiter->index != entry->index) {
                at = &waiter->next;
                continue;
            }
            *at = waiter->next;
            waiter->done = true;
            /* another entry took the place: the submitted one is gone for good */
            waiter->status = waiter->epoch == entry->epoch ? STATUS_OK : STATUS_OUTCOME_UNKNOWN;
            waiter->result = result;
            signal_raise(view->loop, &waiter->ended);
        }
    }
    if (any) {
        signal_raise(view->loop, &view->news);
        viewCompactMaybe(view, false);
    }
}

void viewWaitersEnd(View *view, Status status)
{
    while (view->waiters != NULL) {
        Waiter *waiter = view->waiters;
        view->waiters = waiter->next;
        waiter->done = true;
        waiter->status = status;
        signal_raise(view->loop, &waiter->ended);
    }
}

/* --- start ---------------------------------------------------------------------------- */

void viewStart(View *view, Members *members)
{
    view->props.members = members;
    seatServe(view);
    /* a holder that starts anew holds nothing: the others need not wait it out, and it
     * is the first that they may promise anything to */
    if (view->lock.promised != 0 && view->lock.holder == view->disk && viewSeated(view)) {
        view->epoch = view->lock.promised;
        view->named = view->lock.sure;
        leadRelease(view, view->lock.sure ? view->disk : 0);
    }
    viewWatch(view);
    diskStart(view);
    votersStart(view);
}

Status viewFound(View *view, uint64_t cluster, const SeatList *seats)
{
    if (view->cluster != 0)
        return view->cluster == cluster ? STATUS_OK : STATUS_STRANGER;
    view->cluster = cluster;
    seatsFounded(view, seats);
    viewReread(view);
    courier_set_cluster(view->props.courier, cluster);
    members_set_empty(view->props.members, false);
    void *mem = talloc_new(view);
    size_t count;
    const Record *records = viewRecords(view, mem, &count);
    const Status status = journal_write(view->journal, records, 1);
    talloc_free(mem);
    return status;
}

/* --- submitting ------------------------------------------------------------------------- */

/* Waits while a view is opened anew by the same holder. The view's own changes
 * make it wide enough for those of others. */
static Status mayOrder(View *view, uint64_t change, int64_t until_ms)
{
    while (view->phase == VIEW_OPENING && view->holding)
        if (!signal_wait(view->loop, &view->news, until_ms))
            return STATUS_BUSY;
    return viewLeading(view) || (change < VIEW_CHANGE_FIRST && viewOrders(view)) ? STATUS_OK : STATUS_NOT_LEADER;
}

static Record orderAdd(View *view, uint64_t change, Bytes payload)
{
    const Record entry = {.kind = RECORD_ENTRY,
                          .epoch = view->epoch,
                          .index = logLastIndex(view->log) + 1,
                          .at_ms = viewClockMs(view),
                          .change = change,
                          .name = "",
                          .payload = payload};
    logAdd(view->log, &entry);
    if (change < VIEW_CHANGE_FIRST)
        viewReread(view);
    signal_raise(view->loop, &view->grew);
    return entry;
}

Status viewOffer(View *view, uint64_t change, Bytes payload)
{
    const Status status = mayOrder(view, change, loop_now_ms(view->loop) + SUBMIT_EXPIRY_MS);
    if (status == STATUS_OK)
        orderAdd(view, change, payload);
    return status;
}

Status viewSettle(View *view)
{
    const uint64_t last_index = logLastIndex(view->log);
    const int64_t until_ms = loop_now_ms(view->loop) + SUBMIT_EXPIRY_MS;
    while (view->deliveredIndex < last_index)
        if (!view->holding || !signal_wait(view->loop, &view->news, until_ms))
            return STATUS_NOT_LEADER;
    return STATUS_OK;
}

Status viewSubmit(View *view, uint64_t change, Bytes payload, ChangeResult *result)
{
    const int64_t until_ms = loop_now_ms(view->loop) + SUBMIT_EXPIRY_MS;
    Status status = mayOrder(view, change, until_ms);
    if (status != STATUS_OK)
        return status;
    const Record entry = orderAdd(view, change, payload);
    Waiter *waiter = talloc_zero(view, Waiter);
    waiter->epoch = entry.epoch;
    waiter->index = entry.index;
    waiter->next = view->waiters;
    view->waiters = waiter;
    while (!waiter->done)
        if (!signal_wait(view->loop, &waiter->ended, until_ms))
            break;
    status = waiter->status;
    if (!waiter->done) {
        for (Waiter **at = &view->waiters; *at != NULL; at = &(*at)->next)
            if (*at == waiter) {
                *at = waiter->next;
                break;
            }
        status = STATUS_OUTCOME_UNKNOWN;
    }
    /* the view may have got narrower while the change waited */
    if (status == STATUS_OK && change >= VIEW_CHANGE_FIRST && !wideEnough(view))
        status = STATUS_OUTCOME_UNKNOWN;
    *result = waiter->result;
    talloc_free(waiter);
    return status;
}

Status viewRepaired(View *view)
{
    ChangeResult result;
    return viewSubmit(view, VIEW_CHANGE_REPAIRED, (Bytes){0}, &result);
}

void viewPlace(const View *view, uint64_t *epoch, uint64_t *commitIndex)
{
    *epoch = view->phase == VIEW_FOLLOWING ? view->lock.promised : view->epoch;
    *commitIndex = view->commitIndex;
}

void viewSight(const View *view, ViewSight *sight)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    const int64_t until_ms = lock_hold_until(&view->hold);
    memset(sight, 0, sizeof(*sight));
    sight->phase = view->phase;
    viewPlace(view, &sight->epoch, &sight->commitIndex);
    sight->holder = view->lock.holder;
    sight->woke = view->woke;
    sight->last_index = logLastIndex(view->log);
    sight->deliveredIndex = view->deliveredIndex;
    sight->baseIndex = view->log->baseIndex;
    sight->holdLeftMs = view->holding && until_ms > now_ms ? until_ms - now_ms : 0;
    sight->viewChanges = view->viewChanges;
    sight->otherHistories = view->otherHistories;
    sight->journal = *journal_counts(view->journal);
    for (int i = 0; i < SEAT_MOST; i++) {
        const Peer *peer = &view->peers[i];
        const bool self = view->seats[i] == view->disk;
        if (view->seats[i] == 0)
            continue;
        sight->seats[sight->seatCount++] = (ViewSeatSight){
            .disk = view->seats[i],
            .inView = view->inView[i],
            .answers = self || now_ms - peer->answered_ms < LOCK_HOLD_MS,
            .woke = self ? view->woke : peer->woke,
            .syncMs = self ? sight->journal.last_sync_ms : peer->syncMs,
            .matchIndex = self ? view->syncedIndex : peer->matchIndex,
            .sight = self ? members_sight(view->props.members) : peer->sight,
        };
    }
    votersSight(view, sight);
}
