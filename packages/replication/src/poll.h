#ifndef REPLICATION_SRC_POLL_H
#define REPLICATION_SRC_POLL_H

#include "replication/replication.h"

/* Asking all voters at once: the pre-vote and the promises of an election. */

/* The answers, by place. Freed by whichever ends last: the asking task, or the tasks for the single voters. */
typedef struct Poll {
    Replication *replication;
    ProposeAsk ask;
    size_t users;               /* tasks that use it */
    int pending;                /* voters whose answer is missing */
    Signal ended;               /* raised when one more voter has answered or failed to */
    uint64_t disks[VOTER_MOST]; /* who is asked; 0: nobody at that place */
    Status status[VOTER_MOST];
    VoterAnswer answers[VOTER_MOST];
    int64_t sent_ms[VOTER_MOST];
} Poll;

/* Waits until all have answered or failed to. Once a majority has answered, and none of them has lost anything by a
 * restart, it waits POLL_GRACE_MS more at most. term: the term to be promised; 0: a pre-vote. skip: places that are not
 * asked. The caller ends its use by poll_leave. */
Poll *poll_voters(Replication *replication, uint64_t term, const bool skip[VOTER_MOST]);
/* Ends the use of the poll by the asking task. */
void poll_leave(Poll *poll);
/* Whether the status is the voter's own answer, a refusal included, and not an error of the transport. */
bool poll_reached(Status status);

#endif
