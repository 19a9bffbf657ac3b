/* The leader keeps the number of voters wanted: one committed change of membership
 * after another, as membership.h chooses them. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"
#include "replication/membership.h"

/* --- what is known ----------------------------------------------------------------- */

/* A voter silent for longer is replaced by any learner that is ready: a stated part of
 * the span in which a loss must be made good, but no less than its lease may run. */
static int64_t silent_most_ms(const Replication *replication, const Member *member)
{
    if (member != NULL && member->record.leaving)
        return 2 * LOCK_RENEW_MS;
    const int64_t part_ms = replication_back_ms(replication) / VOTER_SILENT_PART;
    return part_ms > LOCK_GRANT_MS + LOCK_RENEW_MS ? part_ms : LOCK_GRANT_MS + LOCK_RENEW_MS;
}

bool voter_live(const Replication *replication, int place)
{
    return replication->voters[place] == replication->disk ||
           (replication->in_configuration[place] &&
            loop_now_ms(replication->loop) - replication->peers[place].answered_ms < 2 * LOCK_RENEW_MS);
}

bool voter_gone(const Replication *replication, int place)
{
    const uint64_t disk = replication->voters[place];
    if (disk == 0 || disk == replication->disk || replication->in_configuration[place])
        return false;
    if (voter_dead(replication, disk, false))
        return true;
    const Member *member = members_find_disk(replication->settings.members, disk);
    int64_t heard_ms = member != NULL ? member->seen_ms : replication->won_ms;
    if (replication->peers[place].answered_ms > heard_ms)
        heard_ms = replication->peers[place].answered_ms;
    return loop_now_ms(replication->loop) - heard_ms > silent_most_ms(replication, member);
}

/* The members of one look, and where each of them stands. */
typedef struct Look {
    MemberState voters[VOTER_MOST], learners[LEARNER_MOST];
    int places[VOTER_MOST]; /* of the voters */
    size_t slots[LEARNER_MOST];
    Membership now;
} Look;

static MemberState state_of(const Replication *replication, uint64_t disk)
{
    const Member *member = members_find_disk(replication->settings.members, disk);
    const bool self = disk == replication->disk;
    return (MemberState){.disk = disk,
                         .zone = voter_zone(replication, disk),
                         .self = self,
                         .leaving = self ? members_self(replication->settings.members)->leaving
                                         : member != NULL && member->record.leaving};
}

size_t voters_wanted(const Replication *replication)
{
    const size_t losses = replication->settings.losses > 0 ? (size_t)replication->settings.losses : 1;
    return 2 * losses + 1 < VOTER_MOST ? 2 * losses + 1 : VOTER_MOST;
}

/* Who has not answered that round of contact counts as not alive; 0: as far as is known. */
static void look_take(const Replication *replication, uint64_t contact, Look *look)
{
    memset(look, 0, sizeof(*look));
    look->now = (Membership){look->voters, 0, look->learners, 0, voters_wanted(replication)};
    for (int i = 0; i < VOTER_MOST; i++) {
        if (replication->voters[i] == 0)
            continue;
        MemberState *voter = &look->voters[look->now.voter_count];
        *voter = state_of(replication, replication->voters[i]);
        voter->live = voter_live(replication, i) && (voter->self || replication->peers[i].contact >= contact);
        voter->gone = voter_gone(replication, i);
        look->places[look->now.voter_count++] = i;
    }
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        if (replication->learners[i].disk == 0)
            continue;
        MemberState *learner = &look->learners[look->now.learner_count];
        *learner = state_of(replication, replication->learners[i].disk);
        learner->ready = learner_ready(replication, i) && replication->peers[VOTER_MOST + i].contact >= contact;
        learner->steady = learner_steady(replication, i);
        look->slots[look->now.learner_count++] = i;
    }
}

void voters_sight(const Replication *replication, ReplicationStatus *sight)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    Look look;
    look_take(replication, 0, &look);
    sight->losses_borne = membership_bears(look.voters, look.now.voter_count);
    sight->losses_asked = (int)(voters_wanted(replication) / 2);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Peer *peer = &replication->peers[VOTER_MOST + i];
        if (replication->learners[i].disk == 0)
            continue;
        sight->learners[sight->learner_count++] =
            (ReplicationLearnerStatus){.disk = replication->learners[i].disk,
                                       .answers = now_ms - peer->answered_ms < LOCK_GRANT_MS,
                                       .ready = learner_ready(replication, i),
                                       .match_index = peer->match_index};
    }
}

/* --- changing it -------------------------------------------------------------------- */

/* Waits until the list with the disk at the place, or the place vacated, is committed. */
static bool list_committed(Replication *replication, int place, uint64_t disk)
{
    void *mem = talloc_new(replication);
    Bytes payload = {0};
    shape_pack(&VoterList_shape, voters_with(replication, mem, place, disk), mem, &payload);
    ChangeResult result;
    const Status status = replication_submit(replication, REPLICATION_CHANGE_VOTERS, payload, &result);
    talloc_free(mem);
    return status == STATUS_OK;
}

static void voter_remove(Replication *replication, int place)
{
    const uint64_t disk = replication->voters[place];
    recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                   "voter %016" PRIx64 " is removed", disk);
    list_committed(replication, place, 0);
}

/* A place that nobody has. */
static int place_free(const Replication *replication)
{
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] == 0)
            return i;
    return -1;
}

/* What the leader knows of the learner holds for the voter: it goes on from there. */
static void voter_add(Replication *replication, size_t learner)
{
    const int place = place_free(replication);
    const uint64_t disk = replication->learners[learner].disk;
    const Peer peer = replication->peers[VOTER_MOST + learner];
    void *mem = talloc_new(replication);
    Bytes payload = {0};
    shape_pack(&VoterList_shape, voters_with(replication, mem, place, disk), mem, &payload);
    const Status status = replication_offer(replication, REPLICATION_CHANGE_VOTERS, payload);
    talloc_free(mem);
    if (status != STATUS_OK || replication->voters[place] != disk)
        return;
    learner_done(replication, learner);
    replication->peers[place] = peer;
    lock_lease_answered(&replication->lease, place, peer.renewed_ms);
    lead_renew(replication, place);
    lead_peer(replication, place);
    recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                   "seat %d of %zu is given to disk %016" PRIx64, place + 1, replication->voter_count, disk);
    replication_settle(replication);
}

/* What is known of the others may be as old as a renewal. Before a change they are asked
 * once more, for one that counts on a member which has just gone might never be committed.
 * Answers age too: a round is short, and longer only where too few have answered in it. */
static void look_fresh(Replication *replication, Look *look)
{
    const int64_t most_ms = replication->ask_ms > 0 ? replication->ask_ms : POLL_GRACE_MS;
    const uint64_t contact = contact_members(replication, most_ms);
    look_take(replication, contact, look);
    if (membership_next(&look->now).step != MEMBERSHIP_KEEP)
        replication->ask_ms = 0;
    else
        replication->ask_ms = 2 * most_ms < 2 * LOCK_RENEW_MS ? 2 * most_ms : 2 * LOCK_RENEW_MS;
}

/* Whether a change was tried. A list must be committed before the next. */
static bool membership_tend(Replication *replication)
{
    if (!replication_orders(replication)) {
        learners_clear(replication);
        return false;
    }
    learners_follow(replication);
    if (replication->list_index > replication->commit_index)
        return false;
    Look look;
    look_take(replication, 0, &look);
    if (membership_next(&look.now).step == MEMBERSHIP_KEEP)
        return false;
    const uint64_t turn = replication->lead_turn;
    look_fresh(replication, &look);
    if (lead_over(replication, turn) || !replication_orders(replication) ||
        replication->list_index > replication->commit_index)
        return false;
    const MembershipChange change = membership_next(&look.now);
    if (change.step == MEMBERSHIP_REMOVE)
        voter_remove(replication, look.places[change.index]);
    else if (change.step == MEMBERSHIP_ADD)
        voter_add(replication, look.slots[change.index]);
    return change.step != MEMBERSHIP_KEEP;
}

static bool learners_pending(const Replication *replication)
{
    bool pending = false;
    for (size_t i = 0; i < LEARNER_MOST; i++)
        pending |= replication->learners[i].disk != 0 && replication->learners[i].ready_since_ms == INT64_MAX;
    return pending;
}

static void voters_main(void *arg)
{
    Replication *replication = arg;
    while (!loop_stopping(replication->loop)) {
        /* one change follows another at once: between them fewer voters may stand than are wanted */
        const int64_t rest_ms = membership_tend(replication)    ? 1
                                : learners_pending(replication) ? MEMBERSHIP_SOON_MS
                                                                : MEMBERSHIP_LOOK_MS;
        signal_wait(replication->loop, &replication->membership, loop_now_ms(replication->loop) + rest_ms);
    }
}

/* --- leaving ------------------------------------------------------------------------- */

/* Whether a controller without a vote runs that could take one over; whether it has the log
 * is known to the leader alone. */
static bool successor_runs(const Replication *replication)
{
    const MemberTable *table = members_table(replication->settings.members);
    bool runs = false;
    for (size_t i = 0; i < table->count; i++)
        runs |= !table->rows[i].record.leaving && learner_may_follow(replication, &table->rows[i]);
    return runs;
}

/* Waits until one more than the voters wanted stand, by a committed list. */
static void successor_wait(Replication *replication, int64_t until_ms)
{
    while (replication_orders(replication) && replication_seated(replication) && successor_runs(replication) &&
           loop_now_ms(replication->loop) < until_ms &&
           (replication->voter_count <= voters_wanted(replication) ||
            replication->list_index > replication->commit_index)) {
        signal_raise(replication->loop, &replication->membership);
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
    }
}

void replication_leave(Replication *replication, int64_t until_ms)
{
    const bool votes = replication_seated(replication), given = votes && successor_runs(replication);
    if (given)
        successor_wait(replication, until_ms);
    lead_down(replication, INT32_MAX);
    while (given && replication_seated(replication) && loop_now_ms(replication->loop) < until_ms)
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
    if (votes && replication_seated(replication))
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "leaves and keeps its vote: %s", given ? "no learner took it in time" : "there is no learner");
    else if (votes)
        recorder_write(replication->settings.recorder, RECORDER_NOTE, loop_now_ms(replication->loop),
                       "leaves, and its vote is another's");
}

void voters_start(Replication *replication)
{
    loop_spawn(replication->loop, "voters", voters_main, replication);
}
