/* Changes of the list of voters: the leader adds or removes one voter at a time, each by a committed entry, as chosen
 * by membership_next, until there are as many voters as the settings ask for. */
#include <inttypes.h>
#include <talloc.h>

#include "contact.h"
#include "leadership.h"
#include "learners.h"
#include "lease.h"
#include "reconfigure.h"
#include "replicate.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

/* Returns the packed list with the disk set at the position (0: the position vacated), allocated on mem. */
static Bytes list_pack(const Replication *replication, void *mem, int place, uint64_t disk)
{
    Bytes payload = {0};
    shape_pack(&VoterList_shape, voter_list_with(replication, mem, place, disk), mem, &payload);
    return payload;
}

/* Removes the voter at the position. Suspends the coroutine until the new list is committed. */
static void voter_remove(Replication *replication, int place)
{
    void *mem = talloc_new(replication);
    ChangeResult result;
    log_event(replication->settings.recorder, LOG_VOTER_REMOVED, loop_now_ms(replication->loop),
              &(LogFields){.peer_disk = replication->voters[place]});
    /* after a failure, the next check chooses again */
    (void)replication_submit(replication, REPLICATION_CHANGE_VOTERS, list_pack(replication, mem, place, 0), &result);
    talloc_free(mem);
}

/* Returns a vacant position; -1: none. */
static int place_free(const Replication *replication)
{
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->voters[i] == 0)
            return i;
    return -1;
}

/* Makes the learner a voter. Suspends the coroutine until the new list is committed. Replication and the lease continue
 * with what the leader already knows about the learner. */
static void voter_add(Replication *replication, size_t learner)
{
    const int place = place_free(replication);
    const uint64_t disk = replication->learners[learner].disk;
    const Peer peer = replication->peers[VOTERS_MAX + learner];
    void *mem = talloc_new(replication);
    const Status status =
        replication_submit_async(replication, REPLICATION_CHANGE_VOTERS, list_pack(replication, mem, place, disk));
    talloc_free(mem);
    if (status != STATUS_OK || replication->voters[place] != disk)
        return;
    learner_slot_free(replication, learner);
    replication->peers[place] = peer;
    if (peer.renewed_ms != INT64_MIN)
        lock_lease_granted(&replication->lease, place, peer.renewed_ms, peer.grant_ms);
    renewal_start(replication, place);
    peer_replication_start(replication, place);
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "place %d of %zu", place + 1, replication->voter_count);
    log_event(replication->settings.recorder, LOG_VOTER_ADDED, loop_now_ms(replication->loop),
              &(LogFields){.peer_disk = disk, .text = text});
    (void)replication_barrier(replication,
                              SUBMIT_TIMEOUT_MS); /* after a failure, the next check waits for the commit */
}

/* Suspends the coroutine. Gathers the input of a change after another contact round. The leader's knowledge may be as
 * old as a renewal of the lease, and a change that depends on a member that was just lost might never be committed. A
 * contact round is short, so that its answers are recent; it is longer only if too few peers answered the previous
 * one. */
static void membership_gather_fresh(Replication *replication, MembershipInput *input)
{
    const int64_t most_ms = replication->contact_timeout_ms > 0 ? replication->contact_timeout_ms : POLL_GRACE_MS;
    const uint64_t contact = contact_members(replication, most_ms);
    membership_gather(replication, contact, input);
    if (membership_next(&input->now).step != MEMBERSHIP_KEEP)
        replication->contact_timeout_ms = 0;
    else
        replication->contact_timeout_ms = 2 * most_ms < 2 * LOCK_RENEW_MS ? 2 * most_ms : 2 * LOCK_RENEW_MS;
}

/* Suspends the coroutine. Chooses the next change and makes it; a list must be committed before the next change is
 * chosen. Returns whether a change was attempted. */
static bool membership_update(Replication *replication)
{
    if (!replication_may_append(replication)) {
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
    const uint64_t generation = replication->leadership_generation;
    membership_gather_fresh(replication, &input);
    if (leadership_over(replication, generation) || !replication_may_append(replication) ||
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
    for (size_t i = 0; i < LEARNERS_MAX; i++)
        pending |= replication->learners[i].disk != 0 && replication->learners[i].ready_since_ms == INT64_MAX;
    return pending;
}

static void reconfigure_main(void *arg)
{
    Replication *replication = arg;
    while (!loop_stopping(replication->loop)) {
        /* the next change follows immediately: between two changes there may be fewer voters than wanted */
        const int64_t rest_ms = membership_update(replication)  ? 1
                                : learners_pending(replication) ? MEMBERSHIP_CHECK_SHORT_MS
                                                                : MEMBERSHIP_CHECK_MS;
        signal_wait(replication->loop, &replication->membership_check, loop_now_ms(replication->loop) + rest_ms);
    }
}

void reconfiguration_start(Replication *replication)
{
    loop_spawn(replication->loop, "voters", reconfigure_main, replication);
}
