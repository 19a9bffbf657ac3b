/* The tasks of one lead: each belongs to one term of this leader and to one peer, and ends with either. */
#include <talloc.h>

#include "leading.h"
#include "state.h"
#include "voter_list.h"

bool lead_over(const Replication *replication, uint64_t turn)
{
    return replication->lead_turn != turn || loop_stopping(replication->loop);
}

/* The turn of a learner's slot; 0 for a voter's. */
static uint64_t learner_turn(const Replication *replication, int slot)
{
    return slot >= VOTER_MOST ? replication->learners[slot - VOTER_MOST].turn : 0;
}

bool lead_peer_over(const Lead *lead)
{
    return lead_over(lead->replication, lead->turn) || slot_disk(lead->replication, lead->slot) != lead->disk ||
           learner_turn(lead->replication, lead->slot) != lead->learner_turn;
}

void lead_spawn(Replication *replication, const char *name, TaskFn fn, int slot)
{
    Lead *lead = talloc_zero(replication, Lead);
    *lead = (Lead){replication, replication->lead_turn, slot, slot_disk(replication, slot),
                   learner_turn(replication, slot)};
    loop_spawn(replication->loop, name, fn, lead);
}

void lead_answered(Replication *replication, int slot, const VoterAnswer *answer)
{
    Peer *peer = &replication->peers[slot];
    peer->answered_ms = loop_now_ms(replication->loop);
    peer->restarted = answer->restarted;
    peer->promised = answer->promised;
    peer->wall_ms = answer->wall_ms;
    peer->wall_at_ms = peer->answered_ms;
    peer->sync_ms = answer->sync_ms;
    peer->reach = answer->reach;
}
