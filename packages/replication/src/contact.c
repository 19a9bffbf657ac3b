/* Contact rounds (Raft: ReadIndex): if a majority answers requests that were sent after a round began, this node is
 * still the only leader. This does not rely on any clock. */
#include "contact.h"
#include "leadership.h"
#include "learners.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

/* The number of voters known to have granted the lease to this node since the round was requested. */
static size_t contact_count(const Replication *replication, uint64_t wanted)
{
    size_t count = 0;
    for (int i = 0; i < VOTERS_MAX; i++) {
        if (replication->voters[i] == 0)
            continue;
        if (replication->voters[i] == replication->disk)
            count += replication->lock.promised == replication->term && replication->lock.released != replication->term;
        else
            count += replication->peers[i].contact >= wanted;
    }
    return count;
}

void contact_answered(Replication *replication, int slot, uint64_t contact)
{
    Peer *peer = &replication->peers[slot];
    if (contact <= peer->contact)
        return;
    peer->contact = contact;
    signal_raise(replication->loop, &replication->contact_answer_arrived);
}

bool contact_pending(const Replication *replication, int slot)
{
    const uint64_t wanted = slot < VOTERS_MAX ? replication->contact_requested : replication->contact_learners;
    return slot_disk(replication, slot) != replication->disk && replication->peers[slot].contact < wanted;
}

void contact_wait(Replication *replication, int slot, int64_t rest_ms)
{
    const int64_t until_ms = loop_now_ms(replication->loop) + rest_ms;
    while (signal_wait(replication->loop, &replication->contact_request_raised, until_ms))
        if (contact_pending(replication, slot))
            return;
}

/* Whether all voters and learners that are considered alive have answered the round. */
static bool contact_complete(const Replication *replication, uint64_t wanted)
{
    bool whole = true;
    for (int i = 0; i < SLOTS_MAX; i++) {
        if (slot_disk(replication, i) == 0 || slot_disk(replication, i) == replication->disk)
            continue;
        const bool lives =
            i < VOTERS_MAX ? voter_live(replication, i) : learner_ready(replication, (size_t)(i - VOTERS_MAX));
        whole &= !lives || replication->peers[i].contact >= wanted;
    }
    return whole;
}

uint64_t contact_members(Replication *replication, int64_t most_ms)
{
    const uint64_t generation = replication->leadership_generation, wanted = ++replication->contact_requested;
    const int64_t until_ms = loop_now_ms(replication->loop) + most_ms;
    replication->contact_learners = wanted;
    signal_raise(replication->loop, &replication->contact_request_raised);
    while (!leadership_over(replication, generation) && !contact_complete(replication, wanted))
        if (!signal_wait(replication->loop, &replication->contact_answer_arrived, until_ms))
            break;
    return wanted;
}

Status replication_confirm_leader(Replication *replication, int64_t until_ms)
{
    if (!replication_leading(replication))
        return STATUS_NOT_LEADER;
    const uint64_t term = replication->term, wanted = ++replication->contact_requested;
    signal_raise(replication->loop, &replication->contact_request_raised);
    while (contact_count(replication, wanted) < replication_majority(replication)) {
        if (!signal_wait(replication->loop, &replication->contact_answer_arrived, until_ms))
            return STATUS_EXPIRED;
        if (replication->term != term || !replication_leading(replication))
            return STATUS_NOT_LEADER;
    }
    return replication->term == term && replication_leading(replication) ? STATUS_OK : STATUS_NOT_LEADER;
}
