#ifndef REPLICATION_SRC_LEADING_H
#define REPLICATION_SRC_LEADING_H

#include "replication/replication.h"

/* One lead: from the start of an election to the next one, or to the loss of the lead. */

/* A task of one lead for the peer at a slot.
 * Invariant: disk is not 0; the task is over once another disk has the slot, or the learner's
 * slot has been freed. */
typedef struct Lead {
    Replication *replication;
    uint64_t generation; /* lead_generation at its start */
    int slot;
    uint64_t disk;
    uint64_t learner_generation; /* 0: a voter's slot */
} Lead;

/* Spawns a task of the present lead; fn is given a Lead that it copies and frees. */
void lead_spawn(Replication *replication, const char *name, TaskFn fn, int slot);
/* Whether the lead of this generation is over, or the process ends. */
bool lead_over(const Replication *replication, uint64_t generation);
/* Whether the task is over: its lead is, or its peer has left the slot. */
bool lead_peer_over(const Lead *lead);
/* The peer at the slot has answered: takes what it says of itself. */
void lead_answered(Replication *replication, int slot, const VoterAnswer *answer);

/* --- giving up the lead (step_down.c) --- */

/* Ends the lead or the election under way, if any; releases the lease; ends all waiting
 * submissions with OUTCOME_UNKNOWN. rest_ms > 0: this node does not stand for so long. */
void lead_down(Replication *replication, int64_t rest_ms);
/* Releases at all other voters the lease that they granted in replication->term. Does not wait for
 * their answers. next: the disk that is to take over at once; 0: whoever comes first. */
void lead_release(Replication *replication, uint64_t next);
/* Which voters may be the next leader, for lead_next. */
typedef enum NextVoter {
    NEXT_ANY,
    NEXT_QUICK, /* those whose disks have synced quickly lately */
} NextVoter;
/* The disk of the voter in the view that should lead next, the one with the longest log; 0: none. */
uint64_t lead_next(const Replication *replication, NextVoter which);

#endif
