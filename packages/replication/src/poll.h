#ifndef REPLICATION_SRC_POLL_H
#define REPLICATION_SRC_POLL_H

#include "replication/replication.h"

/* Polling all voters concurrently, for the pre-vote and the promises of an election. */

/* The answers, by position. Reference-counted: freed by the last of the polling task and the tasks for the single
 * voters. */
typedef struct Poll {
    Replication *replication;
    ProposeAsk ask;
    size_t references;          /* number of tasks that use the poll */
    int pending;                /* number of voters whose answer is missing */
    Signal ended;               /* raised when another voter has answered or failed to */
    uint64_t disks[VOTERS_MAX]; /* the disks that are polled; 0: none at that position */
    Status status[VOTERS_MAX];
    VoterAnswer answers[VOTERS_MAX];
    int64_t sent_ms[VOTERS_MAX];
} Poll;

/* Polls the voters. Suspends the coroutine until all have answered or failed to; once a majority has answered, and none
 * of them has lost data in a restart, for at most another POLL_GRACE_MS. term: the term to be promised; 0: a pre-vote.
 * skip: positions that are not polled. The caller must release the result with poll_unref. */
Poll *poll_voters(Replication *replication, uint64_t term, const bool skip[VOTERS_MAX]);
/* Drops one reference to the poll. */
void poll_unref(Poll *poll);
/* Whether the status is an answer of the voter, which may be a refusal, rather than a transport error. */
bool poll_reached(Status status);

#endif
