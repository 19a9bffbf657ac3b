/* Changes of the list of voters: the leader adds or removes one voter after another, each by a committed entry, as
 * membership_next chooses, until there are as many voters as the settings want. */
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
    /* where it fails, the next check chooses again */
    (void)replication_submit(replication, REPLICATION_CHANGE_VOTERS, list_pack(replication, mem, place, 0), &result);
    talloc_free(mem);
}

/* A vacant place; -1: none. */
static int place_free(const Replication *replication)
{
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] == 0)
            return i;
    return -1;
}

/* Waits until the list with the learner as a voter is committed. Replication and lease go on with what the leader knew
 * of the learner. */
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
    if (peer.renewed_ms != INT64_MIN)
        lock_lease_answered(&replication->lease, place, peer.renewed_ms, peer.grant_ms);
    lead_renew(replication, place);
    lead_peer(replication, place);
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "place %d of %zu", place + 1, replication->voter_count);
    log_event(replication->settings.recorder, LOG_VOTER_ADDED, loop_now_ms(replication->loop),
              &(LogFields){.peer_disk = disk, .text = text});
    (void)replication_barrier(replication); /* where it fails, the next check waits for the commit */
}

/* Waits. What is known of the others may be as old as a renewal of the lease. Before a change they are asked once more,
 * for a change that counts on a member that was just lost might never be committed. A contact round is short, so that
 * its answers are recent, and longer only where too few have answered the last one. */
static void membership_gather_fresh(Replication *replication, MembershipInput *input)
{
    const int64_t most_ms = replication->contact_most_ms > 0 ? replication->contact_most_ms : POLL_GRACE_MS;
    const uint64_t contact = contact_members(replication, most_ms);
    membership_gather(replication, contact, input);
    if (membership_next(&input->now).step != MEMBERSHIP_KEEP)
        replication->contact_most_ms = 0;
    else
        replication->contact_most_ms = 2 * most_ms < 2 * LOCK_RENEW_MS ? 2 * most_ms : 2 * LOCK_RENEW_MS;
}

/* Waits. Chooses the next change and makes it; a list must be committed before the next change is chosen. Returns
 * whether a change was tried. */
static bool membership_tend(Replication *replication)
{
    if (!replication_may_order(replication)) {
        learners_clear(replication);
        return false;
    }
    learners_follow(replication);
    if (replication->list_index > replication->commit_index)
        return false;
    MembershipInput input;
    membership_gather(replication, 0, &input);
    if (membership_next(&input.now).step == MEMBERSHIP_KEEP)
        return false;
    const uint64_t generation = replication->lead_generation;
    membership_gather_fresh(replication, &input);
    if (lead_over(replication, generation) || !replication_may_order(replication) ||
        replication->list_index > replication->commit_index)
        return false;
    const MembershipChange change = membership_next(&input.now);
    if (change.step == MEMBERSHIP_REMOVE)
        voter_remove(replication, input.places[change.index]);
    else if (change.step == MEMBERSHIP_ADD)
        voter_add(replication, input.slots[change.index]);
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
        /* the next change follows at once: there may be fewer voters than wanted in between */
        const int64_t rest_ms = membership_tend(replication)    ? 1
                                : learners_pending(replication) ? MEMBERSHIP_SOON_MS
                                                                : MEMBERSHIP_CHECK_MS;
        signal_wait(replication->loop, &replication->membership, loop_now_ms(replication->loop) + rest_ms);
    }
}

void voters_start(Replication *replication)
{
    loop_spawn(replication->loop, "voters", voters_main, replication);
}
