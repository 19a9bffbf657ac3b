/* The leader's tasks: each belongs to one leadership generation and to one peer, and ends with either. */
#include <talloc.h>

#include "leadership.h"
#include "state.h"
#include "voter_list.h"

bool leadership_over(const Replication *replication, uint64_t generation)
{
    return replication->leadership_generation != generation || loop_stopping(replication->loop);
}

/* The generation of a learner's slot; 0 for a voter's slot. */
static uint64_t learner_generation(const Replication *replication, int slot)
{
    return slot >= VOTERS_MAX ? replication->learners[slot - VOTERS_MAX].generation : 0;
}

bool peer_task_over(const PeerTask *task)
{
    return leadership_over(task->replication, task->generation) ||
           slot_disk(task->replication, task->slot) != task->disk ||
           learner_generation(task->replication, task->slot) != task->learner_generation;
}

void peer_task_spawn(Replication *replication, const char *name, TaskFn fn, int slot)
{
    PeerTask *task = talloc_zero(replication, PeerTask);
    *task = (PeerTask){replication, replication->leadership_generation, slot, slot_disk(replication, slot),
                       learner_generation(replication, slot)};
    loop_spawn(replication->loop, name, fn, task);
}

void peer_answer_record(Replication *replication, int slot, const VoterAnswer *answer)
{
    Peer *peer = &replication->peers[slot];
    peer->answered_ms = loop_now_ms(replication->loop);
    peer->restarted = answer->restarted;
    peer->promised = answer->promised;
    if (answer->promised > replication->promised_highest)
        replication->promised_highest = answer->promised;
    peer->wall_ms = answer->wall_ms;
    peer->wall_at_ms = peer->answered_ms;
    peer->sync_ms = answer->sync_ms;
    peer->reach = answer->reach;
}
