/* Contact rounds (Raft: ReadIndex): this node is still the only leader when a majority answers requests that were sent
 * after the round began. No clock is relied on. */
#include "contact.h"
#include "leading.h"
#include "learners.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

/* How many voters are known to have granted the lease to this node since the round was requested. */
static size_t contact_count(const Replication *replication, uint64_t wanted)
{
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        if (replication->voters[i] == 0)
            continue;
        if (replication->voters[i] == replication->disk)
            count += replication->lock.promised == replication->term && replication->lock.released != replication->term;
        else
            count += replication->peers[i].contact >= wanted;
    }
    return count;
}

void contact_granted(Replication *replication, int slot, uint64_t contact)
{
    Peer *peer = &replication->peers[slot];
    if (contact <= peer->contact)
        return;
    peer->contact = contact;
    signal_raise(replication->loop, &replication->contact_made);
}

bool contact_owed(const Replication *replication, int slot)
{
    const uint64_t wanted = slot < VOTER_MOST ? replication->contact_asked : replication->contact_learners;
    return slot_disk(replication, slot) != replication->disk && replication->peers[slot].contact < wanted;
}

void contact_rest(Replication *replication, int slot, int64_t rest_ms)
{
    const int64_t until_ms = loop_now_ms(replication->loop) + rest_ms;
    while (signal_wait(replication->loop, &replication->contact_update, until_ms))
        if (contact_owed(replication, slot))
            return;
}

/* Whether all voters and learners that are taken for alive have answered the round. */
static bool contact_whole(const Replication *replication, uint64_t wanted)
{
    bool whole = true;
    for (int i = 0; i < SLOT_MOST; i++) {
        if (slot_disk(replication, i) == 0 || slot_disk(replication, i) == replication->disk)
            continue;
        const bool lives =
            i < VOTER_MOST ? voter_live(replication, i) : learner_ready(replication, (size_t)(i - VOTER_MOST));
        whole &= !lives || replication->peers[i].contact >= wanted;
    }
    return whole;
}

uint64_t contact_members(Replication *replication, int64_t most_ms)
{
    const uint64_t generation = replication->lead_generation, wanted = ++replication->contact_asked;
    const int64_t until_ms = loop_now_ms(replication->loop) + most_ms;
    replication->contact_learners = wanted;
    signal_raise(replication->loop, &replication->contact_update);
    while (!lead_over(replication, generation) && !contact_whole(replication, wanted))
        if (!signal_wait(replication->loop, &replication->contact_made, until_ms))
            break;
    return wanted;
}

Status replication_confirm_leader(Replication *replication, int64_t until_ms)
{
    if (!replication_leading(replication))
        return STATUS_NOT_LEADER;
    const uint64_t term = replication->term, wanted = ++replication->contact_asked;
    signal_raise(replication->loop, &replication->contact_update);
    while (contact_count(replication, wanted) < replication_majority(replication)) {
        if (!signal_wait(replication->loop, &replication->contact_made, until_ms))
            return STATUS_EXPIRED;
        if (replication->term != term || !replication_leading(replication))
            return STATUS_NOT_LEADER;
    }
    return replication->term == term && replication_leading(replication) ? STATUS_OK : STATUS_NOT_LEADER;
}
