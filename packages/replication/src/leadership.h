#ifndef REPLICATION_SRC_LEADERSHIP_H
#define REPLICATION_SRC_LEADERSHIP_H

#include "replication/replication.h"

/* The leader's tasks for its peers, and giving up the leadership. A leadership generation lasts from the start of an
 * election of this node to its next election or to the loss of the leadership. */

/* The argument of a task for the peer at a slot, in one leadership generation.
 * Invariant: disk is not 0; the task is over once another disk has the slot, or the learner's slot has been freed. */
typedef struct PeerTask {
    Replication *replication;
    uint64_t generation; /* leadership_generation when the task was spawned */
    int slot;
    uint64_t disk;
    uint64_t learner_generation; /* Learner.generation when the task was spawned; 0: it is a voter's slot */
} PeerTask;

/* Spawns a task of the present leadership generation; fn gets a PeerTask, which it must copy and free. */
void peer_task_spawn(Replication *replication, const char *name, TaskFn fn, int slot);
/* Whether this leadership generation is over, or the process is stopping. */
bool leadership_over(const Replication *replication, uint64_t generation);
/* Whether the task must end, because its leadership generation is over or its peer has left the slot. */
bool peer_task_over(const PeerTask *task);
/* Records the state that the peer at the slot reports with its answer. */
void peer_answer_record(Replication *replication, int slot, const VoterAnswer *answer);

/* --- giving up the leadership (step_down.c) --- */

/* Ends the leadership or the election under way, if any; releases the lease; completes all waiting submissions with
 * OUTCOME_UNKNOWN. backoff_ms > 0: this node does not stand for election for so long. */
void leader_step_down(Replication *replication, int64_t backoff_ms);
/* Releases the lease of replication->term at all other voters, without awaiting their answers. next: the disk that
 * shall stand for election immediately; 0: none is preferred. */
void leader_release_lease(Replication *replication, uint64_t next);
/* The voters among which successor_choose selects. */
typedef enum SuccessorKind {
    SUCCESSOR_ANY,
    SUCCESSOR_FAST_DISK, /* voters whose disks have synced quickly of late */
} SuccessorKind;
/* Returns the disk of the voter in the view that should lead next, which is the one with the longest log; 0: none. */
uint64_t successor_choose(const Replication *replication, SuccessorKind which);

#endif
