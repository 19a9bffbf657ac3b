/* The tasks of one lead: each belongs to one lead and to one peer, and ends with either. */
#include <talloc.h>

#include "leading.h"
#include "state.h"
#include "voter_list.h"

bool lead_over(const Replication *replication, uint64_t generation)
{
    return replication->lead_generation != generation || loop_stopping(replication->loop);
}

/* The generation of a learner's slot; 0 for a voter's. */
static uint64_t learner_generation(const Replication *replication, int slot)
{
    return slot >= VOTER_MOST ? replication->learners[slot - VOTER_MOST].generation : 0;
}

bool lead_peer_over(const Lead *lead)
{
    return lead_over(lead->replication, lead->generation) || slot_disk(lead->replication, lead->slot) != lead->disk ||
           learner_generation(lead->replication, lead->slot) != lead->learner_generation;
}

void lead_spawn(Replication *replication, const char *name, TaskFn fn, int slot)
{
    Lead *lead = talloc_zero(replication, Lead);
    *lead = (Lead){replication, replication->lead_generation, slot, slot_disk(replication, slot),
                   learner_generation(replication, slot)};
    loop_spawn(replication->loop, name, fn, lead);
}

void lead_answered(Replication *replication, int slot, const VoterAnswer *answer)
{
    Peer *peer = &replication->peers[slot];
    peer->answered_ms = loop_now_ms(replication->loop);
    peer->restarted = answer->restarted;
    peer->promised = answer->promised;
    if (answer->promised > replication->promised_most)
        replication->promised_most = answer->promised;
    peer->wall_ms = answer->wall_ms;
    peer->wall_at_ms = peer->answered_ms;
    peer->sync_ms = answer->sync_ms;
    peer->reach = answer->reach;
}
