#ifndef REPLICATION_MEMBERSHIP_H
#define REPLICATION_MEMBERSHIP_H

#include <stddef.h>
#include <stdint.h>

#include "lock/lock.h"

/* Which change of membership comes next, decided from what the leader knows alone.
 *
 * Each change adds or removes one voter, so that any majority of one list shares a
 * voter with any majority of the next; the next one is weighed only once the last is
 * committed. How many more losses the voters bear is how many of those that live may
 * go before a majority is missing. No change here makes that less than it was:
 *  - a learner that is ready may be added to any number of voters;
 *  - a voter that is gone may be removed from any number;
 *  - one that lives is removed from an even number alone: that of n and that of
 *    n - 1 voters bear as many losses. So a successor is added before it goes. */

/* What is known of one voter or learner. */
typedef struct MemberState {
    uint64_t disk;
    const char *zone;
    bool self;    /* the leader's own: never removed by itself */
    bool live;    /* a voter: in the view, and it answers */
    bool gone;    /* a voter: silent for too long, or its disk is lost */
    bool leaving; /* its process has been told to end */
    bool ready;   /* a learner: it has the log and answers */
    bool steady;  /* a learner: it has been ready for long */
} MemberState;

typedef enum MembershipStep { MEMBERSHIP_KEEP, MEMBERSHIP_ADD, MEMBERSHIP_REMOVE } MembershipStep;

/* index: of the learner to add, or of the voter to remove. */
typedef struct MembershipChange {
    MembershipStep step;
    size_t index;
} MembershipChange;

typedef struct Membership {
    const MemberState *voters;
    size_t voter_count;
    const MemberState *learners;
    size_t learner_count;
    size_t wanted; /* voters */
} Membership;

MembershipChange membership_next(const Membership *now);
/* How many more voters may be lost; negative: so many are missing for a majority. */
int membership_bears(const MemberState *voters, size_t count);

#endif
