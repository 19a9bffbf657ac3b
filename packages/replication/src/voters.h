#ifndef REPLICATION_SRC_VOTERS_H
#define REPLICATION_SRC_VOTERS_H

#include "replication/membership.h"
#include "replication/replication.h"

/* What the leader knows about voters and learners. No function here suspends the coroutine. */

/* The voters and learners at one moment, as input of membership_next, with the position or slot of each. Zones are
 * owned by the tables that they come from, and are valid until the next call that suspends the coroutine. */
typedef struct MembershipInput {
    MemberState voters[VOTERS_MAX], learners[LEARNERS_MAX];
    int places[VOTERS_MAX];     /* of the voters */
    size_t slots[LEARNERS_MAX]; /* of the learners */
    Membership now;             /* refers to the arrays of this struct */
} MembershipInput;

/* Sets *input. contact: a peer that has not answered that contact round (contact.h) counts as not alive; 0: no round is
 * required. */
void membership_gather(const Replication *replication, uint64_t contact, MembershipInput *input);
/* Whether the voter at the position is in the view and answers. */
bool voter_live(const Replication *replication, int place);
/* Whether the disk at the position is known to be lost, or has been silent for so long that it must be replaced. */
bool voter_lost(const Replication *replication, int place);
/* The number of voters that the settings ask for: twice the number of losses to be tolerated, plus one. */
size_t voters_wanted(const Replication *replication);

#endif
