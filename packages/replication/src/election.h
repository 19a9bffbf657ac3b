#ifndef REPLICATION_SRC_ELECTION_H
#define REPLICATION_SRC_ELECTION_H

#include "replication/replication.h"

/* An election, from the pre-vote to the first committed entry of the new term. It is Raft's election with a lease, and
 * with a pre-vote so that a node that cannot win does not disturb the others. Unlike in Raft, a node with a shorter log
 * may win: it copies the best log of its majority before it appends anything (as in Paxos, or in the view change of
 * Viewstamped Replication). The steps are in election.c (pre-vote, promises) and then in new_term.c. */

/* The state of one election. */
typedef struct Election {
    Replication *replication;
    uint64_t generation;           /* the leadership generation of the election */
    const bool *skip;              /* voters that are not polled, by position */
    bool new_holder;               /* this node has no lease that is carried over into the new term */
    bool repair;                   /* committed changes may have been lost (see TermRecord) */
    uint64_t highest_term;         /* the highest term that any voter or member knows */
    uint64_t term;                 /* the new term */
    int best;                      /* position of the voter with the best log; -1: no voter promised */
    bool in_view[VOTERS_MAX];      /* by position: the voters that promised and are not far behind */
    uint64_t promised[VOTERS_MAX]; /* the disks that promised, by position in the list at the time of the promises */
} Election;

/* Suspends the coroutine. Holds the pre-vote: whether this node may stand for election at all. Any status but OK
 * (NO_VOTER, OTHER_HOLDER, UNREACHABLE, RESTARTED, NOT_LEADER) gives the reason against it, and the leadership has been
 * given up. */
Status election_prevote(Election *election);
/* Suspends the coroutine. Requests promises of the next term. Renewals in the former term have ended, because
 * leadership_generation has changed. OTHER_HOLDER: the election was lost, and the leadership has been given up. */
Status election_promises(Election *election);
/* The number of these positions that are not vacant in the newest list. */
size_t promised_count(const Replication *replication, const bool in_view[VOTERS_MAX]);

/* Suspends the coroutine. Runs an election: stops accepting changes, requests the promises of a majority, copies the
 * best log among them, replicates it to the others, and leads the next term. skip: positions that are not polled. Any
 * status but OK: this node does not lead. */
Status election_run(Replication *replication, const bool skip[VOTERS_MAX]);

#endif
