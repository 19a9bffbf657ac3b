#ifndef REPLICATION_SRC_LEADING_H
#define REPLICATION_SRC_LEADING_H

#include "replication/replication.h"

/* One lead: from the start of an election to the next one, or to the loss of the lead. */

/* A task of one lead for the peer at a slot.
 * Invariant: disk is not 0; the task is over once another disk has the slot, or a learner's
 * slot was given anew. */
typedef struct Lead {
    Replication *replication;
    uint64_t turn; /* view->lead_turn at its start */
    int slot;
    uint64_t disk;
    uint64_t learner_turn; /* 0: a voter's slot */
} Lead;

/* Spawns a task of the present lead; fn is given a Lead that it copies and frees. */
void lead_spawn(Replication *replication, const char *name, TaskFn fn, int slot);
/* Whether the lead of this turn is over, or the process ends. */
bool lead_over(const Replication *replication, uint64_t turn);
/* Whether the task is over: its lead is, or its peer has left the slot. */
bool lead_peer_over(const Lead *lead);
/* The peer at the slot has answered: takes what it says of itself. */
void lead_answered(Replication *replication, int slot, const VoterAnswer *answer);

/* --- giving up the lead (stepdown.c) --- */

/* Ends the lead or the election under way, if any; releases the lease; ends all waiting
 * submissions with OUTCOME_UNKNOWN. rest_ms > 0: this node does not stand for so long. */
void lead_down(Replication *replication, int64_t rest_ms);
/* Tells all other voters that what they granted in view->term is not used. Does not wait for
 * their answers. next: the disk that is to take over at once; 0: whoever comes first. */
void lead_release(Replication *replication, uint64_t next);
/* The disk of the voter of the view that is to lead next, the least behind; 0: none. */
typedef enum NextVoter {
    NEXT_ANY,
    NEXT_QUICK, /* its disk has synced quickly of late */
} NextVoter;
uint64_t lead_next(const Replication *replication, NextVoter which);

#endif
