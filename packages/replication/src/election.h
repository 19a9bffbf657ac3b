#ifndef REPLICATION_SRC_ELECTION_H
#define REPLICATION_SRC_ELECTION_H

#include "replication/replication.h"

/* An election, from the pre-vote to the first committed entry of the new term. Raft's election with a lease, and with
 * a pre-vote, so that a node that cannot win does not disturb the others. Unlike in Raft a node with a shorter log may
 * win: it copies the best log of its majority before it orders anything (as in Paxos, or in the view change of
 * Viewstamped Replication). Steps: election.c (pre-vote, promises), then new_term.c. */

/* One election. */
typedef struct Election {
    Replication *replication;
    uint64_t generation;
    const bool *skip;              /* voters that are not asked, by place */
    bool new_holder;               /* this node has no lease that runs on into the new term */
    bool repair;                   /* committed changes may have been lost, see TermRecord */
    uint64_t highest;              /* the highest term that any voter or member has heard of */
    uint64_t term;                 /* the term to be promised */
    int best;                      /* place of the best log; -1: nobody promised */
    bool in_view[VOTER_MOST];      /* by place: those who promised and are not far behind */
    uint64_t promised[VOTER_MOST]; /* the disks that promised, by their places in the list as of the promises */
} Election;

/* Waits. The pre-vote: whether this node may stand for election at all. OK: it may. NO_VOTER, OTHER_HOLDER,
 * UNREACHABLE, RESTARTED, NOT_LEADER: why not; the lead is given up. */
Status election_prevote(Election *election);
/* Waits. Asks for promises of the next term; the renewals of the former term ended when lead_generation grew.
 * OTHER_HOLDER: not won; the lead is given up. */
Status election_promises(Election *election);
/* How many of these places are not vacant in the newest list. */
size_t promised_count(const Replication *replication, const bool in_view[VOTER_MOST]);

/* Waits. Runs an election: stops taking changes, asks for the promises of a majority, copies the best log among them,
 * brings the others to it, and leads the next term. skip: places that are not asked. Any status but OK: this node does
 * not lead. */
Status election_run(Replication *replication, const bool skip[VOTER_MOST]);

#endif
