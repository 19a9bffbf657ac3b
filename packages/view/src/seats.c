/* Who has the seats, and how the holder gives them. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

/* --- the list ------------------------------------------------------------------- */

size_t viewMajority(const View *view)
{
    return lockMajority(view->seatCount);
}

int viewSeatOf(const View *view, uint64_t disk)
{
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] == disk && disk != 0)
            return i;
    return -1;
}

int viewOwnSeat(const View *view)
{
    return viewSeatOf(view, view->disk);
}

size_t viewSeats(const View *view, uint64_t seats[SEAT_MOST])
{
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST && view->cluster != 0; i++)
        if (view->seats[i] != 0)
            seats[count++] = view->seats[i];
    return count;
}

uint64_t slotDisk(const View *view, int slot)
{
    return slot == GUEST ? view->guest : view->seats[slot];
}

void seatsFirst(View *view)
{
    view->founded = talloc_zero(view, SeatList);
    view->list = talloc_zero(view, SeatList);
    lockHoldClear(&view->hold);
}

void seatsFounded(View *view, const SeatList *list)
{
    talloc_free(view->founded);
    view->founded = talloc_zero(view, SeatList);
    shapeCopy(&SeatListShape, list, view->founded, view->founded);
}

void seatsTake(View *view, const SeatList *list, uint64_t index)
{
    SeatList *copy = talloc_zero(view, SeatList);
    shapeCopy(&SeatListShape, list, copy, copy);
    talloc_free(view->list);
    view->list = copy;
    view->listIndex = index;
    view->places = copy->seatsCount < SEAT_MOST ? copy->seatsCount : SEAT_MOST;
    view->seatCount = 0;
    for (size_t i = 0; i < SEAT_MOST; i++) {
        const uint64_t disk = i < view->places ? copy->seats[i].disk : 0;
        view->seatCount += disk != 0;
        if (view->seats[i] == disk)
            continue;
        view->seats[i] = disk;
        view->inView[i] = false;
        view->peers[i] = (Peer){.nextIndex = UINT64_MAX, .renewedMs = INT64_MIN, .appendSinceMs = INT64_MAX};
        view->hold.sentMs[i] = INT64_MIN;
    }
    view->hold.seats = view->seatCount;
}

static const SeatCore *coreOf(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < view->list->coresCount; i++)
        if (view->list->cores[i].disk == disk)
            return &view->list->cores[i];
    return NULL;
}

SeatList *seatsOf(const View *view, void *mem, const uint64_t disks[], size_t count)
{
    SeatList *list = talloc_zero(mem, SeatList);
    list->seats = talloc_zero_array(list, DiskId, (unsigned)count);
    list->cores = talloc_zero_array(list, SeatCore, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        list->seats[i].disk = disks[i];
        if (disks[i] == 0)
            continue;
        const Member *member = membersFindDisk(view->props.members, disks[i]);
        const SeatCore *core = coreOf(view, disks[i]);
        SeatCore *to = &list->cores[list->coresCount++];
        *to = (SeatCore){disks[i], "", "", ""};
        if (member != NULL)
            *to = (SeatCore){disks[i], member->record.name, member->record.zone, member->record.address};
        else if (core != NULL)
            *to = *core;
    }
    list->seatsCount = count;
    return list;
}

SeatList *seatsWith(const View *view, void *mem, int place, uint64_t disk)
{
    uint64_t disks[SEAT_MOST];
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        disks[i] = i == place ? disk : view->seats[i];
        if (disks[i] != 0)
            count = (size_t)i + 1;
    }
    return seatsOf(view, mem, disks, count);
}

bool seatAddress(const View *view, int place, char address[ADDRESS_MAX])
{
    const uint64_t disk = slotDisk(view, place);
    const Member *member = membersFindDisk(view->props.members, disk);
    const SeatCore *core = coreOf(view, disk);
    const char *found = member != NULL ? member->record.address : core != NULL ? core->address : "";
    strncpy(address, found, ADDRESS_MAX - 1);
    address[ADDRESS_MAX - 1] = '\0';
    return disk != 0 && address[0] != '\0';
}

bool seatDead(const View *view, uint64_t disk, bool sameAddress)
{
    const SeatCore *core = coreOf(view, disk);
    if (core == NULL || core->name[0] == '\0')
        return false;
    const Member *other = membersOtherDisk(view->props.members, core->name, disk);
    return other != NULL && (!sameAddress || strcmp(other->record.address, core->address) == 0);
}

/* --- giving them ----------------------------------------------------------------- */

static int64_t backMs(const View *view)
{
    return view->props.seatBackMs > 0 ? view->props.seatBackMs : SEAT_GONE_MS;
}

static size_t wanted(const View *view)
{
    const size_t losses = view->props.losses > 0 ? (size_t)view->props.losses : 1;
    return 2 * losses + 1 < SEAT_MOST ? 2 * losses + 1 : SEAT_MOST;
}

static const char *zoneOf(const View *view, uint64_t disk)
{
    const Member *member = membersFindDisk(view->props.members, disk);
    const SeatCore *core = coreOf(view, disk);
    return member != NULL ? member->record.zone : core != NULL ? core->zone : "";
}

/* A core that runs, is of this cluster and has no seat. */
static bool mayBeGuest(const View *view, const Member *row)
{
    const int64_t nowMs = loopNowMs(view->loop);
    return row->record.role == ROLE_CORE && row->record.disk != 0 && !row->record.leaving && !memberQuiet(row, nowMs) &&
           viewSeatOf(view, row->record.disk) < 0 && row->record.cluster == view->cluster;
}

/* How many cores could be given a seat; best: the one in the zone with the fewest seats
 * beside the place. */
static size_t guests(const View *view, int place, uint64_t *best)
{
    const MemberTable *table = membersTable(view->props.members);
    size_t count = 0, fewest = SIZE_MAX;
    *best = 0;
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!mayBeGuest(view, row))
            continue;
        count++;
        size_t beside = row->record.disk == view->guestPassed ? SEAT_MOST : 0; /* it was not ready in time */
        for (int s = 0; s < SEAT_MOST; s++)
            beside += s != place && view->seats[s] != 0 && strcmp(zoneOf(view, view->seats[s]), row->record.zone) == 0;
        if (beside < fewest || (beside == fewest && row->record.disk < *best)) {
            fewest = beside;
            *best = row->record.disk;
        }
    }
    return count;
}

/* A voter silent for longer is replaced by any learner that is ready: a stated part of
 * the span in which a loss must be made good, but no less than its lease may run. */
static int64_t silentMostMs(const View *view, const Member *member)
{
    if (member != NULL && member->record.leaving)
        return 2 * LOCK_RENEW_MS;
    const int64_t partMs = backMs(view) / VOTER_SILENT_PART;
    return partMs > LOCK_HOLD_MS + LOCK_RENEW_MS ? partMs : LOCK_HOLD_MS + LOCK_RENEW_MS;
}

/* Whether the vote of a disk that is gone is to be given to another, and to whom. What
 * is committed is on a majority of the other voters, so that is safe at any time; how
 * soon is a matter of cost. One known to be gone is replaced at once. It makes no
 * difference whether the learner came before the silence or after it: a machine that
 * is replaced with notice has its successor first. */
static bool replaces(const View *view, int place, uint64_t *guest)
{
    const uint64_t disk = view->seats[place];
    if (disk == 0 || disk == view->disk || view->inView[place])
        return false;
    if (seatDead(view, disk, false))
        return guests(view, place, guest) > 0;
    const Member *member = membersFindDisk(view->props.members, disk);
    int64_t heardMs = member != NULL ? member->seenMs : view->wonMs;
    if (view->peers[place].answeredMs > heardMs)
        heardMs = view->peers[place].answeredMs;
    return loopNowMs(view->loop) - heardMs > silentMostMs(view, member) && guests(view, place, guest) > 0;
}

/* The place that is to be given next, and to whom; -1: none. */
static int placeNext(const View *view, uint64_t *guest)
{
    for (size_t i = 0; i < view->places; i++)
        if (view->seats[i] == 0 && guests(view, (int)i, guest) > 0)
            return (int)i;
    /* an even number of seats bears no more losses than one less */
    if (view->seatCount < wanted(view)) {
        const size_t more = guests(view, (int)view->places, guest);
        if (more >= (view->seatCount < SEAT_FIRST || view->seatCount % 2 == 0 ? 1 : 2) && view->places < SEAT_MOST)
            return (int)view->places;
    }
    for (size_t i = 0; i < view->places; i++)
        if (replaces(view, (int)i, guest))
            return (int)i;
    return -1;
}

static Status listSubmit(View *view, int place, uint64_t disk)
{
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shapePack(&SeatListShape, seatsWith(view, mem, place, disk), mem, &payload);
    ChangeResult result;
    const Status status = viewSubmit(view, VIEW_CHANGE_SEATS, payload, &result);
    talloc_free(mem);
    return status;
}

/* Whether the guest has nearly all of the log and grants the lock. */
static bool guestReady(const View *view)
{
    const Peer *peer = &view->peers[GUEST];
    const int64_t nowMs = loopNowMs(view->loop);
    return peer->matchIndex > 0 && peer->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log) &&
           peer->renewedMs != INT64_MIN && nowMs - peer->renewedMs < 2 * LOCK_RENEW_MS &&
           peer->appendTookMs < SEAT_SLOW_MS;
}

/* Whether a majority of the seats, with the place vacated or given to the guest, is
 * there to commit the list: one that can't be committed may not even be ordered,
 * for from then on it is the one that counts, also for those who come back. */
static bool majorityLives(const View *view, int place, bool given)
{
    const int64_t nowMs = loopNowMs(view->loop);
    size_t seats = given, live = given;
    for (int i = 0; i < SEAT_MOST; i++) {
        if (i == place || view->seats[i] == 0)
            continue;
        seats++;
        live +=
            view->seats[i] == view->disk || (view->inView[i] && nowMs - view->peers[i].answeredMs < 2 * LOCK_RENEW_MS);
    }
    return live >= lockMajority(seats);
}

/* Waits. Gives the place to the guest: first it is vacated, then given, each by a
 * change that a majority commits, so that no two majorities miss each other. */
static void give(View *view, int place)
{
    const uint64_t turn = view->leadTurn, guest = view->guest;
    if (view->seats[place] != 0) {
        if (view->inView[place] || !majorityLives(view, place, false) || listSubmit(view, place, 0) != STATUS_OK)
            return;
    }
    /* a list must be committed before the next */
    if (leadOver(view, turn) || view->listIndex > view->commitIndex || view->seats[place] != 0 ||
        view->guest != guest || !majorityLives(view, place, true))
        return;
    const Peer peer = view->peers[GUEST];
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shapePack(&SeatListShape, seatsWith(view, mem, place, guest), mem, &payload);
    const Status status = viewOffer(view, VIEW_CHANGE_SEATS, payload);
    talloc_free(mem);
    if (status != STATUS_OK || view->seats[place] != guest)
        return;
    view->guest = 0;
    view->peers[place] = peer;
    lockHoldAnswered(&view->hold, place, peer.renewedMs);
    leadRenew(view, place);
    leadPeer(view, place);
    ringSay(view->props.ring, RING_ALERT, loopNowMs(view->loop), "seat %d of %zu is given to disk %016" PRIx64,
            place + 1, view->seatCount, guest);
    viewSettle(view);
}

static void seatsMain(void *arg)
{
    View *view = arg;
    while (!loopStopping(view->loop)) {
        loopSleep(view->loop, view->guest != 0 ? SEAT_GIVE_MS : SEAT_LOOK_MS);
        uint64_t guest = 0;
        const int place = viewOrders(view) && view->listIndex <= view->commitIndex ? placeNext(view, &guest) : -1;
        if (place < 0) {
            view->guest = 0;
            continue;
        }
        const Member *member = membersFindDisk(view->props.members, view->guest);
        if (view->guest != 0 && loopNowMs(view->loop) - view->guestSinceMs > SEAT_GUEST_MS) {
            view->guestPassed = view->guest;
            view->guest = 0;
            continue;
        }
        if (view->guest == 0 || member == NULL || !mayBeGuest(view, member) || view->guestTurn != view->leadTurn) {
            view->guest = guest;
            view->guestSinceMs = loopNowMs(view->loop);
            view->guestTurn = view->leadTurn;
            view->peers[GUEST] =
                (Peer){.nextIndex = logLastIndex(view->log) + 1, .renewedMs = INT64_MIN, .appendSinceMs = INT64_MAX};
            leadRenew(view, GUEST);
            leadPeer(view, GUEST);
        } else if (guestReady(view)) {
            give(view, place);
        }
    }
}

void seatsStart(View *view)
{
    loopSpawn(view->loop, "seats", seatsMain, view);
}
