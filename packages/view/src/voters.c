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
static int64_t silent_most_ms(const View *view, const Member *member)
{
    if (member != NULL && member->record.leaving)
        return 2 * LOCK_RENEW_MS;
    const int64_t part_ms = view_back_ms(view) / VOTER_SILENT_PART;
    return part_ms > LOCK_GRANT_MS + LOCK_RENEW_MS ? part_ms : LOCK_GRANT_MS + LOCK_RENEW_MS;
}

bool voter_live(const View *view, int place)
{
    return view->voters[place] == view->disk ||
           (view->in_view[place] && loop_now_ms(view->loop) - view->peers[place].answered_ms < 2 * LOCK_RENEW_MS);
}

bool voter_gone(const View *view, int place)
{
    const uint64_t disk = view->voters[place];
    if (disk == 0 || disk == view->disk || view->in_view[place])
        return false;
    if (voter_dead(view, disk, false))
        return true;
    const Member *member = members_find_disk(view->settings.members, disk);
    int64_t heard_ms = member != NULL ? member->seen_ms : view->won_ms;
    if (view->peers[place].answered_ms > heard_ms)
        heard_ms = view->peers[place].answered_ms;
    return loop_now_ms(view->loop) - heard_ms > silent_most_ms(view, member);
}

/* The members of one look, and where each of them stands. */
typedef struct Look {
    MemberState voters[VOTER_MOST], learners[LEARNER_MOST];
    int places[VOTER_MOST]; /* of the voters */
    size_t slots[LEARNER_MOST];
    Membership now;
} Look;

static MemberState state_of(const View *view, uint64_t disk)
{
    const Member *member = members_find_disk(view->settings.members, disk);
    const bool self = disk == view->disk;
    return (MemberState){.disk = disk,
                         .zone = voter_zone(view, disk),
                         .self = self,
                         .leaving = self ? members_self(view->settings.members)->leaving
                                         : member != NULL && member->record.leaving};
}

size_t voters_wanted(const View *view)
{
    const size_t losses = view->settings.losses > 0 ? (size_t)view->settings.losses : 1;
    return 2 * losses + 1 < VOTER_MOST ? 2 * losses + 1 : VOTER_MOST;
}

/* Who has not answered that round of contact counts as not alive; 0: as far as is known. */
static void look_take(const View *view, uint64_t contact, Look *look)
{
    memset(look, 0, sizeof(*look));
    look->now = (Membership){look->voters, 0, look->learners, 0, voters_wanted(view)};
    for (int i = 0; i < VOTER_MOST; i++) {
        if (view->voters[i] == 0)
            continue;
        MemberState *voter = &look->voters[look->now.voter_count];
        *voter = state_of(view, view->voters[i]);
        voter->live = voter_live(view, i) && (voter->self || view->peers[i].contact >= contact);
        voter->gone = voter_gone(view, i);
        look->places[look->now.voter_count++] = i;
    }
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        if (view->learners[i].disk == 0)
            continue;
        MemberState *learner = &look->learners[look->now.learner_count];
        *learner = state_of(view, view->learners[i].disk);
        learner->ready = learner_ready(view, i) && view->peers[VOTER_MOST + i].contact >= contact;
        learner->steady = learner_steady(view, i);
        look->slots[look->now.learner_count++] = i;
    }
}

void voters_sight(const View *view, ViewSight *sight)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    Look look;
    look_take(view, 0, &look);
    sight->losses_borne = membership_bears(look.voters, look.now.voter_count);
    sight->losses_asked = (int)(voters_wanted(view) / 2);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Peer *peer = &view->peers[VOTER_MOST + i];
        if (view->learners[i].disk == 0)
            continue;
        sight->learners[sight->learner_count++] =
            (ViewLearnerSight){.disk = view->learners[i].disk,
                               .answers = now_ms - peer->answered_ms < LOCK_GRANT_MS,
                               .ready = learner_ready(view, i),
                               .match_index = peer->match_index};
    }
}

/* --- changing it -------------------------------------------------------------------- */

/* Waits until the list with the disk at the place, or the place vacated, is committed. */
static bool list_committed(View *view, int place, uint64_t disk)
{
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shape_pack(&VoterList_shape, voters_with(view, mem, place, disk), mem, &payload);
    ChangeResult result;
    const Status status = view_submit(view, VIEW_CHANGE_VOTERS, payload, &result);
    talloc_free(mem);
    return status == STATUS_OK;
}

static void voter_remove(View *view, int place)
{
    const uint64_t disk = view->voters[place];
    recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop), "voter %016" PRIx64 " is removed",
                   disk);
    list_committed(view, place, 0);
}

/* A place that nobody has. */
static int place_free(const View *view)
{
    for (int i = 0; i < VOTER_MOST; i++)
        if (view->voters[i] == 0)
            return i;
    return -1;
}

/* What the leader knows of the learner holds for the voter: it goes on from there. */
static void voter_add(View *view, size_t learner)
{
    const int place = place_free(view);
    const uint64_t disk = view->learners[learner].disk;
    const Peer peer = view->peers[VOTER_MOST + learner];
    void *mem = talloc_new(view);
    Bytes payload = {0};
    shape_pack(&VoterList_shape, voters_with(view, mem, place, disk), mem, &payload);
    const Status status = view_offer(view, VIEW_CHANGE_VOTERS, payload);
    talloc_free(mem);
    if (status != STATUS_OK || view->voters[place] != disk)
        return;
    learner_done(view, learner);
    view->peers[place] = peer;
    lock_lease_answered(&view->lease, place, peer.renewed_ms);
    lead_renew(view, place);
    lead_peer(view, place);
    recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                   "seat %d of %zu is given to disk %016" PRIx64, place + 1, view->voter_count, disk);
    view_settle(view);
}

/* What is known of the others may be as old as a renewal. Before a change they are asked
 * once more, for one that counts on a member which has just gone might never be committed.
 * Answers age too: a round is short, and longer only where too few have answered in it. */
static void look_fresh(View *view, Look *look)
{
    const int64_t most_ms = view->ask_ms > 0 ? view->ask_ms : POLL_GRACE_MS;
    const uint64_t contact = contact_members(view, most_ms);
    look_take(view, contact, look);
    if (membership_next(&look->now).step != MEMBERSHIP_KEEP)
        view->ask_ms = 0;
    else
        view->ask_ms = 2 * most_ms < 2 * LOCK_RENEW_MS ? 2 * most_ms : 2 * LOCK_RENEW_MS;
}

/* Whether a change was tried. A list must be committed before the next. */
static bool membership_tend(View *view)
{
    if (!view_orders(view)) {
        learners_clear(view);
        return false;
    }
    learners_follow(view);
    if (view->list_index > view->commit_index)
        return false;
    Look look;
    look_take(view, 0, &look);
    if (membership_next(&look.now).step == MEMBERSHIP_KEEP)
        return false;
    const uint64_t turn = view->lead_turn;
    look_fresh(view, &look);
    if (lead_over(view, turn) || !view_orders(view) || view->list_index > view->commit_index)
        return false;
    const MembershipChange change = membership_next(&look.now);
    if (change.step == MEMBERSHIP_REMOVE)
        voter_remove(view, look.places[change.index]);
    else if (change.step == MEMBERSHIP_ADD)
        voter_add(view, look.slots[change.index]);
    return change.step != MEMBERSHIP_KEEP;
}

static bool learners_pending(const View *view)
{
    bool pending = false;
    for (size_t i = 0; i < LEARNER_MOST; i++)
        pending |= view->learners[i].disk != 0 && view->learners[i].ready_since_ms == INT64_MAX;
    return pending;
}

static void voters_main(void *arg)
{
    View *view = arg;
    while (!loop_stopping(view->loop)) {
        /* one change follows another at once: between them fewer voters may stand than are wanted */
        const int64_t rest_ms = membership_tend(view)    ? 1
                                : learners_pending(view) ? MEMBERSHIP_SOON_MS
                                                         : MEMBERSHIP_LOOK_MS;
        signal_wait(view->loop, &view->membership, loop_now_ms(view->loop) + rest_ms);
    }
}

/* --- leaving ------------------------------------------------------------------------- */

/* Whether a core without a vote runs that could take one over; whether it has the log
 * is known to the leader alone. */
static bool successor_runs(const View *view)
{
    const MemberTable *table = members_table(view->settings.members);
    bool runs = false;
    for (size_t i = 0; i < table->count; i++)
        runs |= !table->rows[i].record.leaving && learner_may_follow(view, &table->rows[i]);
    return runs;
}

/* Waits until one more than the voters wanted stand, by a committed list. */
static void successor_wait(View *view, int64_t until_ms)
{
    while (view_orders(view) && view_seated(view) && successor_runs(view) && loop_now_ms(view->loop) < until_ms &&
           (view->voter_count <= voters_wanted(view) || view->list_index > view->commit_index)) {
        signal_raise(view->loop, &view->membership);
        loop_sleep(view->loop, MEMBERSHIP_SOON_MS);
    }
}

void view_leave(View *view, int64_t until_ms)
{
    const bool votes = view_seated(view), given = votes && successor_runs(view);
    if (given)
        successor_wait(view, until_ms);
    lead_down(view, INT32_MAX);
    while (given && view_seated(view) && loop_now_ms(view->loop) < until_ms)
        loop_sleep(view->loop, MEMBERSHIP_SOON_MS);
    if (votes && view_seated(view))
        recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                       "leaves and keeps its vote: %s", given ? "no learner took it in time" : "there is no learner");
    else if (votes)
        recorder_write(view->settings.recorder, RECORDER_NOTE, loop_now_ms(view->loop),
                       "leaves, and its vote is another's");
}

void voters_start(View *view)
{
    loop_spawn(view->loop, "voters", voters_main, view);
}
