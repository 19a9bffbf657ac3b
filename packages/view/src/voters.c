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
           (view->inView[place] && loop_now_ms(view->loop) - view->peers[place].answered_ms < 2 * LOCK_RENEW_MS);
}

bool voterGone(const View *view, int place)
{
    const uint64_t disk = view->seats[place];
    if (disk == 0 || disk == view->disk || view->inView[place])
        return false;
    if (seatDead(view, disk, false))
        return true;
    const Member *member = members_find_disk(view->props.members, disk);
    int64_t heardMs = member != NULL ? member->seen_ms : view->wonMs;
    if (view->peers[place].answered_ms > heardMs)
        heardMs = view->peers[place].answered_ms;
    return loop_now_ms(view->loop) - heardMs > silentMostMs(view, member);
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
    const Member *member = members_find_disk(view->props.members, disk);
    const bool self = disk == view->disk;
    return (MemberState){.disk = disk,
                         .zone = seatZone(view, disk),
                         .self = self,
                         .leaving = self ? members_self(view->props.members)->leaving
                                         : member != NULL && member->record.leaving};
}

size_t votersWanted(const View *view)
{
    const size_t losses = view->props.losses > 0 ? (size_t)view->props.losses : 1;
    return 2 * losses + 1 < SEAT_MOST ? 2 * losses + 1 : SEAT_MOST;
}

/* Who has not answered that round of contact counts as not alive; 0: as far as is known. */
static void lookTake(const View *view, uint64_t contact, Look *look)
{
    memset(look, 0, sizeof(*look));
    look->now = (Membership){look->voters, 0, look->learners, 0, votersWanted(view)};
    for (int i = 0; i < SEAT_MOST; i++) {
        if (view->seats[i] == 0)
            continue;
        MemberState *voter = &look->voters[look->now.voterCount];
        *voter = stateOf(view, view->seats[i]);
        voter->live = voterLive(view, i) && (voter->self || view->peers[i].contact >= contact);
        voter->gone = voterGone(view, i);
        look->places[look->now.voterCount++] = i;
    }
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        if (view->learners[i].disk == 0)
            continue;
        MemberState *learner = &look->learners[look->now.learnerCount];
        *learner = stateOf(view, view->learners[i].disk);
        learner->ready = learnerReady(view, i) && view->peers[SEAT_MOST + i].contact >= contact;
        learner->steady = learnerSteady(view, i);
        look->slots[look->now.learnerCount++] = i;
    }
}

void votersSight(const View *view, ViewSight *sight)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    Look look;
    lookTake(view, 0, &look);
    sight->lossesBorne = membershipBears(look.voters, look.now.voterCount);
    sight->lossesAsked = (int)(votersWanted(view) / 2);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Peer *peer = &view->peers[SEAT_MOST + i];
        if (view->learners[i].disk == 0)
            continue;
        sight->learners[sight->learnerCount++] =
            (ViewLearnerSight){.disk = view->learners[i].disk,
                               .answers = now_ms - peer->answered_ms < LOCK_HOLD_MS,
                               .ready = learnerReady(view, i),
                               .matchIndex = peer->matchIndex};
    }
}

/* --- changing it -------------------------------------------------------------------- */

/* Waits until the list with the disk at the place, or the place vacated, is committed. */
static bool listCommitted(View *view, int place, uint64_t disk)
{
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shape_pack(&SeatListShape, seatsWith(view, mem, place, disk), mem, &payload);
    ChangeResult result;
    const Status status = viewSubmit(view, VIEW_CHANGE_SEATS, payload, &result);
    talloc_free(mem);
    return status == STATUS_OK;
}

static void voterRemove(View *view, int place)
{
    const uint64_t disk = view->seats[place];
    ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop), "voter %016" PRIx64 " is removed", disk);
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
    shape_pack(&SeatListShape, seatsWith(view, mem, place, disk), mem, &payload);
    const Status status = viewOffer(view, VIEW_CHANGE_SEATS, payload);
    talloc_free(mem);
    if (status != STATUS_OK || view->seats[place] != disk)
        return;
    learnerDone(view, learner);
    view->peers[place] = peer;
    lock_hold_answered(&view->hold, place, peer.renewedMs);
    leadRenew(view, place);
    leadPeer(view, place);
    ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop), "seat %d of %zu is given to disk %016" PRIx64,
             place + 1, view->seatCount, disk);
    viewSettle(view);
}

/* What is known of the others may be as old as a renewal. Before a change they are asked
 * once more, for one that counts on a member which has just gone might never be committed.
 * Answers age too: a round is short, and longer only where too few have answered in it. */
static void lookFresh(View *view, Look *look)
{
    const int64_t mostMs = view->askMs > 0 ? view->askMs : POLL_GRACE_MS;
    const uint64_t contact = contactMembers(view, mostMs);
    lookTake(view, contact, look);
    if (membershipNext(&look->now).step != MEMBERSHIP_KEEP)
        view->askMs = 0;
    else
        view->askMs = 2 * mostMs < 2 * LOCK_RENEW_MS ? 2 * mostMs : 2 * LOCK_RENEW_MS;
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
    lookTake(view, 0, &look);
    if (membershipNext(&look.now).step == MEMBERSHIP_KEEP)
        return false;
    const uint64_t turn = view->leadTurn;
    lookFresh(view, &look);
    if (leadOver(view, turn) || !viewOrders(view) || view->listIndex > view->commitIndex)
        return false;
    const MembershipChange change = membershipNext(&look.now);
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
    while (!loop_stopping(view->loop)) {
        /* one change follows another at once: between them fewer voters may stand than are wanted */
        const int64_t restMs = membershipTend(view)    ? 1
                               : learnersPending(view) ? MEMBERSHIP_SOON_MS
                                                       : MEMBERSHIP_LOOK_MS;
        signal_wait(view->loop, &view->membership, loop_now_ms(view->loop) + restMs);
    }
}

/* --- leaving ------------------------------------------------------------------------- */

/* Whether a core without a vote runs that could take one over; whether it has the log
 * is known to the leader alone. */
static bool successorRuns(const View *view)
{
    const MemberTable *table = members_table(view->props.members);
    bool runs = false;
    for (size_t i = 0; i < table->count; i++)
        runs |= !table->rows[i].record.leaving && learnerMayFollow(view, &table->rows[i]);
    return runs;
}

/* Waits until one more than the voters wanted stand, by a committed list. */
static void successorWait(View *view, int64_t until_ms)
{
    while (viewOrders(view) && viewSeated(view) && successorRuns(view) && loop_now_ms(view->loop) < until_ms &&
           (view->seatCount <= votersWanted(view) || view->listIndex > view->commitIndex)) {
        signal_raise(view->loop, &view->membership);
        loop_sleep(view->loop, MEMBERSHIP_SOON_MS);
    }
}

void viewLeave(View *view, int64_t until_ms)
{
    const bool votes = viewSeated(view), given = votes && successorRuns(view);
    if (given)
        successorWait(view, until_ms);
    leadDown(view, INT32_MAX);
    while (given && viewSeated(view) && loop_now_ms(view->loop) < until_ms)
        loop_sleep(view->loop, MEMBERSHIP_SOON_MS);
    if (votes && viewSeated(view))
        ring_say(view->props.ring, RING_ALERT, loop_now_ms(view->loop), "leaves and keeps its vote: %s",
                 given ? "no learner took it in time" : "there is no learner");
    else if (votes)
        ring_say(view->props.ring, RING_NOTE, loop_now_ms(view->loop), "leaves, and its vote is another's");
}

void votersStart(View *view)
{
    loop_spawn(view->loop, "voters", votersMain, view);
}
