/* The leader keeps the number of voters wanted: one committed change of membership
 * after another, as membership.h chooses them. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"
#include "view/membership.h"

/* --- what is known ----------------------------------------------------------------- */

/* A voter silent for longer is replaced by any learner that is ready: a stated part of
 * the span in which a loss must be made good, but no less than its lease may run. */
static int64_t silentMostMs(const View *view, const Member *member)
{
    if (member != NULL && member->record.leaving)
        return 2 * LOCK_RENEW_MS;
    const int64_t partMs = viewBackMs(view) / VOTER_SILENT_PART;
    return partMs > LOCK_HOLD_MS + LOCK_RENEW_MS ? partMs : LOCK_HOLD_MS + LOCK_RENEW_MS;
}

bool voterLive(const View *view, int place)
{
    return view->seats[place] == view->disk ||
           (view->inView[place] && loopNowMs(view->loop) - view->peers[place].answeredMs < 2 * LOCK_RENEW_MS);
}

bool voterGone(const View *view, int place)
{
    const uint64_t disk = view->seats[place];
    if (disk == 0 || disk == view->disk || view->inView[place])
        return false;
    if (seatDead(view, disk, false))
        return true;
    const Member *member = membersFindDisk(view->props.members, disk);
    int64_t heardMs = member != NULL ? member->seenMs : view->wonMs;
    if (view->peers[place].answeredMs > heardMs)
        heardMs = view->peers[place].answeredMs;
    return loopNowMs(view->loop) - heardMs > silentMostMs(view, member);
}

/* The members of one look, and where each of them stands. */
typedef struct Look {
    MemberState voters[SEAT_MOST], learners[LEARNER_MOST];
    int places[SEAT_MOST]; /* of the voters */
    size_t slots[LEARNER_MOST];
    Membership now;
} Look;

static MemberState stateOf(const View *view, uint64_t disk)
{
    const Member *member = membersFindDisk(view->props.members, disk);
    return (MemberState){.disk = disk,
                         .zone = seatZone(view, disk),
                         .self = disk == view->disk,
                         .leaving = member != NULL && member->record.leaving};
}

static size_t votersWanted(const View *view)
{
    const size_t losses = view->props.losses > 0 ? (size_t)view->props.losses : 1;
    return 2 * losses + 1 < SEAT_MOST ? 2 * losses + 1 : SEAT_MOST;
}

static void lookTake(const View *view, Look *look)
{
    memset(look, 0, sizeof(*look));
    look->now = (Membership){look->voters, 0, look->learners, 0, votersWanted(view)};
    for (int i = 0; i < SEAT_MOST; i++) {
        if (view->seats[i] == 0)
            continue;
        MemberState *voter = &look->voters[look->now.voterCount];
        *voter = stateOf(view, view->seats[i]);
        voter->live = voterLive(view, i);
        voter->gone = voterGone(view, i);
        look->places[look->now.voterCount++] = i;
    }
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        if (view->learners[i].disk == 0)
            continue;
        MemberState *learner = &look->learners[look->now.learnerCount];
        *learner = stateOf(view, view->learners[i].disk);
        learner->ready = learnerReady(view, i);
        learner->steady = learnerSteady(view, i);
        look->slots[look->now.learnerCount++] = i;
    }
}

/* --- changing it -------------------------------------------------------------------- */

/* Waits until the list with the disk at the place, or the place vacated, is committed. */
static bool listCommitted(View *view, int place, uint64_t disk)
{
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shapePack(&SeatListShape, seatsWith(view, mem, place, disk), mem, &payload);
    ChangeResult result;
    const Status status = viewSubmit(view, VIEW_CHANGE_SEATS, payload, &result);
    talloc_free(mem);
    return status == STATUS_OK;
}

static void voterRemove(View *view, int place)
{
    const uint64_t disk = view->seats[place];
    ringSay(view->props.ring, RING_ALERT, loopNowMs(view->loop), "voter %016" PRIx64 " is removed", disk);
    listCommitted(view, place, 0);
}

/* A place that nobody has. */
static int placeFree(const View *view)
{
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] == 0)
            return i;
    return -1;
}

/* What the leader knows of the learner holds for the voter: it goes on from there. */
static void voterAdd(View *view, size_t learner)
{
    const int place = placeFree(view);
    const uint64_t disk = view->learners[learner].disk;
    const Peer peer = view->peers[SEAT_MOST + learner];
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shapePack(&SeatListShape, seatsWith(view, mem, place, disk), mem, &payload);
    const Status status = viewOffer(view, VIEW_CHANGE_SEATS, payload);
    talloc_free(mem);
    if (status != STATUS_OK || view->seats[place] != disk)
        return;
    learnerDone(view, learner);
    view->peers[place] = peer;
    lockHoldAnswered(&view->hold, place, peer.renewedMs);
    leadRenew(view, place);
    leadPeer(view, place);
    ringSay(view->props.ring, RING_ALERT, loopNowMs(view->loop), "seat %d of %zu is given to disk %016" PRIx64,
            place + 1, view->seatCount, disk);
    viewSettle(view);
}

/* Waits. Whether a majority answers now, and the same voter is to be removed even so: a list
 * counts as soon as it is ordered, so it must not rest on a voter that was lost a moment
 * ago, nor leave out one that has just come back. */
static bool removalStands(View *view, Look *look, MembershipChange *change)
{
    const uint64_t turn = view->leadTurn, disk = look->voters[change->index].disk;
    if (viewLeading(view) && viewContact(view, loopNowMs(view->loop) + ASK_EXPIRY_MS) != STATUS_OK)
        return false;
    if (leadOver(view, turn) || view->listIndex > view->commitIndex)
        return false;
    lookTake(view, look);
    *change = membershipNext(&look->now);
    return change->step == MEMBERSHIP_REMOVE && look->voters[change->index].disk == disk;
}

/* Whether a change was tried. A list must be committed before the next. */
static bool membershipTend(View *view)
{
    if (!viewOrders(view)) {
        learnersClear(view);
        return false;
    }
    learnersFollow(view);
    if (view->listIndex > view->commitIndex)
        return false;
    Look look;
    lookTake(view, &look);
    MembershipChange change = membershipNext(&look.now);
    if (change.step == MEMBERSHIP_REMOVE && !removalStands(view, &look, &change))
        return false;
    if (change.step == MEMBERSHIP_REMOVE)
        voterRemove(view, look.places[change.index]);
    else if (change.step == MEMBERSHIP_ADD)
        voterAdd(view, look.slots[change.index]);
    return change.step != MEMBERSHIP_KEEP;
}

static bool learnersPending(const View *view)
{
    bool pending = false;
    for (size_t i = 0; i < LEARNER_MOST; i++)
        pending |= view->learners[i].disk != 0 && view->learners[i].readySinceMs == INT64_MAX;
    return pending;
}

static void votersMain(void *arg)
{
    View *view = arg;
    while (!loopStopping(view->loop)) {
        const bool soon = membershipTend(view) || learnersPending(view);
        signalWait(view->loop, &view->membership,
                   loopNowMs(view->loop) + (soon ? MEMBERSHIP_SOON_MS : MEMBERSHIP_LOOK_MS));
    }
}

void votersStart(View *view)
{
    loopSpawn(view->loop, "voters", votersMain, view);
}
