#ifndef REPLICATION_SRC_POLL_H
#define REPLICATION_SRC_POLL_H

#include "replication/replication.h"

/* Asking all voters at once. */

/* The answers, by place. Freed by whichever of the asking task and the asked ones ends last. */
typedef struct Poll {
    Replication *replication;
    ProposeAsk ask;
    size_t users;               /* tasks that use it */
    int pending;                /* voters whose answer is missing */
    Signal ended;               /* one more answer, or none for good */
    uint64_t disks[VOTER_MOST]; /* asked; 0: none at that place */
    Status status[VOTER_MOST];
    VoterAnswer answers[VOTER_MOST];
    int64_t sent_ms[VOTER_MOST];
} Poll;

/* Waits until all have answered or can't be reached. Once a majority has answered, and none of them
 * has lost anything by a restart, it waits POLL_GRACE_MS more at most. term: the term to be promised; 0:
 * only a look. skip: places that are not asked. Ends with poll_leave. */
Poll *poll_voters(Replication *replication, uint64_t term, const bool skip[VOTER_MOST]);
/* The asking task is done with it. */
void poll_leave(Poll *poll);
/* Whether the status is the voter's own answer, a refusal included; not one of the transport. */
bool poll_reached(Status status);

#endif
