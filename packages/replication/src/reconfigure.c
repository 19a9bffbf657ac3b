/* Changes of membership: the leader adds or removes one voter after another, each by a committed entry,
 * as membership.h chooses, until there are as many voters as the settings want. */
#include <inttypes.h>
#include <talloc.h>

#include "contact.h"
#include "leading.h"
#include "learners.h"
#include "lease.h"
#include "reconfigure.h"
#include "replicate.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

/* The payload of the list with the disk at the place, or the place vacated (0); on mem. */
static Bytes list_pack(const Replication *replication, void *mem, int place, uint64_t disk)
{
    Bytes payload = {0};
    shape_pack(&VoterList_shape, voters_with(replication, mem, place, disk), mem, &payload);
    return payload;
}

/* Waits until the list without the voter at the place is committed. */
static void voter_remove(Replication *replication, int place)
{
    void *mem = talloc_new(replication);
    ChangeResult result;
    log_event(replication->settings.recorder, LOG_VOTER_REMOVED, loop_now_ms(replication->loop),
              &(LogFields){.peer_disk = replication->voters[place]});
    /* where it fails, the next look at the members chooses again */
    (void)replication_submit(replication, REPLICATION_CHANGE_VOTERS, list_pack(replication, mem, place, 0), &result);
    talloc_free(mem);
}

/* A place that nobody has; -1: none. */
static int place_free(const Replication *replication)
{
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] == 0)
            return i;
    return -1;
}

/* Waits until the list with the learner as a voter is committed. What the leader knows of the learner
 * holds for the voter: replication and lease go on from there. */
static void voter_add(Replication *replication, size_t learner)
{
    const int place = place_free(replication);
    const uint64_t disk = replication->learners[learner].disk;
    const Peer peer = replication->peers[VOTER_MOST + learner];
    void *mem = talloc_new(replication);
    const Status status =
        replication_offer(replication, REPLICATION_CHANGE_VOTERS, list_pack(replication, mem, place, disk));
    talloc_free(mem);
    if (status != STATUS_OK || replication->voters[place] != disk)
        return;
    learner_done(replication, learner);
    replication->peers[place] = peer;
    lock_lease_answered(&replication->lease, place, peer.renewed_ms);
    lead_renew(replication, place);
    lead_peer(replication, place);
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "place %d of %zu", place + 1, replication->voter_count);
    log_event(replication->settings.recorder, LOG_VOTER_ADDED, loop_now_ms(replication->loop),
              &(LogFields){.peer_disk = disk, .text = text});
    (void)replication_settle(replication); /* where it fails, the next look at the members waits for the commit */
}

/* Waits. What is known of the others may be as old as a renewal of the lease. Before a change they are
 * asked once more, for one that counts on a member that was just lost might never be committed.
 * Answers age too: a round of contact is short, and longer only where too few have answered in it. */
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

/* Waits. Weighs the next change and makes it. Whether one was tried. A list must be committed before the
 * next one is weighed. */
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

/* Whether a learner is still catching up. */
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
        /* one change follows another at once: between them there may be fewer voters than are wanted */
        const int64_t rest_ms = membership_tend(replication)    ? 1
                                : learners_pending(replication) ? MEMBERSHIP_SOON_MS
                                                                : MEMBERSHIP_LOOK_MS;
        signal_wait(replication->loop, &replication->membership, loop_now_ms(replication->loop) + rest_ms);
    }
}

void voters_start(Replication *replication)
{
    loop_spawn(replication->loop, "voters", voters_main, replication);
}
