#ifndef REPLICATION_SRC_ELECTION_H
#define REPLICATION_SRC_ELECTION_H

#include "replication/replication.h"

/* An election, and the opening of the term that was won. Raft's election with a lease, and
 * with a look before it (Raft: pre-vote) so that one who cannot win disturbs nobody. Unlike in
 * Raft a node with a shorter log may win: it takes the best log of its majority over before it
 * orders anything (as in Paxos, or Viewstamped Replication's view change). */

/* One opening, from the first question to the first entry. */
typedef struct Opening {
    Replication *replication;
    uint64_t turn;
    const bool *skip; /* voters that are to stay out, by place */
    bool new_holder;  /* this node has no lease that it goes on with */
    bool repair;
    uint64_t highest;                  /* term that anybody has heard of */
    uint64_t term;                     /* the term to be promised */
    int best;                          /* place of the best log; -1: nobody promised */
    bool in_configuration[VOTER_MOST]; /* who promised, and is near enough */
    uint64_t promised[VOTER_MOST];     /* the disks, by their places before a log is taken over */
} Opening;

/* Waits. Whether this node may stand at all: asks the voters for nothing but answers. OK: it
 * may. NO_VOTER, OTHER_HOLDER, UNREACHABLE, RESTARTED, NOT_LEADER: why not; the lead is given up. */
Status election_hear(Opening *opening);
/* Waits. Asks for promises of the next term; renewals of the former term have ended with
 * lead_turn. OTHER_HOLDER: not won; the lead is given up. */
Status election_promises(Opening *opening);
/* How many voters, as the newest list has them, are among these. */
size_t promised_count(const Replication *replication, const bool in_configuration[VOTER_MOST]);

/* Waits. Holds an election: stops taking changes, asks for the promises and logs of a majority,
 * takes the best log, brings the others to it, and leads the next term. skip: places that are
 * to stay out. Any status but OK: this node does not lead. */
Status replication_open(Replication *replication, const bool skip[VOTER_MOST]);

#endif
