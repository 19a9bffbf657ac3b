#ifndef REPLICATION_MEMBERSHIP_H
#define REPLICATION_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "lock/lock.h"

/* The choice of the next change of the list of voters: a pure function of what the leader knows. Used by the leader
 * (reconfigure.c) and by the status page. No function here suspends the coroutine or allocates.
 *
 * Each change adds or removes one voter, so that any majority of one list shares a voter with any majority of the next
 * (Raft: single-server membership changes). The next change is chosen only after the previous one is committed.
 *
 * Two tolerances are kept. Loss tolerance is how many of the live voters may still be lost before there is no majority.
 * Disk loss tolerance is how many of the disks not known to be lost may be lost permanently while all other voters
 * return. Invariant: no change lowers either of them:
 *  - a ready learner may be added to any number of voters;
 *  - a voter whose disk is lost may be removed from any number of voters;
 *  - a voter that is live, or silent but able to return, is removed from an even number of voters only: for an even n,
 *    n and n - 1 voters tolerate equally many losses. Its successor is therefore added before it is removed. */

/* What the leader knows about one voter or learner. The zone is owned by the caller. */
typedef struct MemberState {
    uint64_t disk;
    const char *zone;
    bool self;      /* the leader, which never removes itself */
    bool live;      /* for a voter: it is in the view (replication.h) and answers */
    bool lost;      /* for a voter: it was silent for too long, or its disk is lost */
    bool disk_lost; /* for a lost voter: its disk is known to be lost, so it cannot return */
    bool leaving;   /* its process is shutting down */
    bool ready;     /* for a learner: it has nearly all of the log and answers */
    bool steady;    /* for a learner: it has been ready for long */
} MemberState;

/* The kind of a change; MEMBERSHIP_KEEP: no change. */
typedef enum MembershipStep { MEMBERSHIP_KEEP, MEMBERSHIP_ADD, MEMBERSHIP_REMOVE } MembershipStep;

/* A change. index: of the learner to add or the voter to remove, in the arrays of Membership. */
typedef struct MembershipChange {
    MembershipStep step;
    size_t index;
} MembershipChange;

/* All inputs of the choice. The arrays are owned by the caller. */
typedef struct Membership {
    const MemberState *voters;
    size_t voter_count;
    const MemberState *learners;
    size_t learner_count;
    size_t wanted; /* the number of voters that the settings ask for */
} Membership;

/* The next change; MEMBERSHIP_KEEP if none is due or none can be committed. */
MembershipChange membership_next(const Membership *now);
/* The loss tolerance of these voters; if negative, how many live voters are missing for a majority. */
int membership_losses_tolerated(const MemberState *voters, size_t count);
/* The disk loss tolerance of these voters; if negative, how many disks are missing for a majority. */
int membership_disk_losses_tolerated(const MemberState *voters, size_t count);

#endif
