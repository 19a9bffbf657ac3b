#ifndef REPLICATION_MEMBERSHIP_H
#define REPLICATION_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "lock/lock.h"

/* Which change of the list of voters comes next: a pure function of what the leader knows. Used by the leader
 * (reconfigure.c) and by status. Nothing here waits or allocates.
 *
 * Each change adds or removes one voter, so that any majority of one list shares a voter with any majority
 * of the next (Raft: single-server changes); the next one is chosen only once the last is committed.
 * The losses that the voters bear are how many of those alive may still be lost before a majority is
 * missing. The disks that they bear are how many of those not known to be lost may be lost for good while all others
 * return. Invariant: no change makes the voters bear fewer losses, or fewer disks:
 *  - a learner that is ready may be added to any number of voters;
 *  - a voter whose disk is lost may be removed from any number;
 *  - a voter that is alive, or silent and may return, is removed from an even number only: for an even n, n and n - 1
 *    voters bear equally many. So its successor is added before it is removed. */

/* What is known of one voter or learner. The zone is owned by the caller. */
typedef struct MemberState {
    uint64_t disk;
    const char *zone;
    bool self;    /* the leader: never removed by itself */
    bool live;    /* a voter: in the view (replication.h), and it answers */
    bool lost;    /* a voter: silent for too long, or its disk is lost */
    bool dead;    /* a lost voter: its disk is lost for certain; it does not return */
    bool leaving; /* its process is shutting down */
    bool ready;   /* a learner: it has the log and answers */
    bool steady;  /* a learner: it has been ready for long */
} MemberState;

typedef enum MembershipStep { MEMBERSHIP_KEEP, MEMBERSHIP_ADD, MEMBERSHIP_REMOVE } MembershipStep;

/* index: of the learner to add, or of the voter to remove, in the arrays of Membership. */
typedef struct MembershipChange {
    MembershipStep step;
    size_t index;
} MembershipChange;

/* All that the choice depends on. */
typedef struct Membership {
    const MemberState *voters;
    size_t voter_count;
    const MemberState *learners;
    size_t learner_count;
    size_t wanted; /* voters, as the settings ask */
} Membership;

/* The next change; MEMBERSHIP_KEEP: none is due, or none can be committed. */
MembershipChange membership_next(const Membership *now);
/* How many more of these voters may be lost; negative: so many are missing for a majority. */
int membership_losses_borne(const MemberState *voters, size_t count);
/* How many more of these voters' disks may be lost for good when all other voters return. */
int membership_disks_borne(const MemberState *voters, size_t count);

#endif
