#ifndef REPLICATION_SRC_VOTERS_H
#define REPLICATION_SRC_VOTERS_H

#include "replication/membership.h"
#include "replication/replication.h"

/* What the leader knows of voters and learners. Nothing here waits. */

/* The voters and learners at one moment, as input of membership_next, and the place or slot of each. Zones are owned by
 * the tables that they come from: valid until the next wait. */
typedef struct MembershipInput {
    MemberState voters[VOTER_MOST], learners[LEARNER_MOST];
    int places[VOTER_MOST];     /* of the voters */
    size_t slots[LEARNER_MOST]; /* of the learners */
    Membership now;             /* points into this struct */
} MembershipInput;

/* Fills in input. contact: whoever has not answered that contact round (contact.h) counts as not alive; 0: no round is
 * required. */
void membership_gather(const Replication *replication, uint64_t contact, MembershipInput *input);
/* Whether the voter at the place is in the view and answers. */
bool voter_live(const Replication *replication, int place);
/* Whether the disk at the place is certainly lost, or silent for so long that it is to be replaced. */
bool voter_lost(const Replication *replication, int place);
/* How many voters the settings ask for: twice the losses to be borne, and one. */
size_t voters_wanted(const Replication *replication);

#endif
