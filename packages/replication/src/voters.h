#ifndef REPLICATION_SRC_VOTERS_H
#define REPLICATION_SRC_VOTERS_H

#include "replication/membership.h"
#include "replication/replication.h"

/* What the leader knows of voters and learners. Nothing here waits. */

/* The members at one moment, as membership.h wants them, and the place or slot of each. Zones
 * are owned by the tables that they come from: valid until the next wait. */
typedef struct Look {
    MemberState voters[VOTER_MOST], learners[LEARNER_MOST];
    int places[VOTER_MOST];     /* of the voters */
    size_t slots[LEARNER_MOST]; /* of the learners */
    Membership now;             /* points into this */
} Look;

/* Takes a look. contact: who has not answered that round of contact counts as not alive; 0: as
 * far as is known. */
void look_take(const Replication *replication, uint64_t contact, Look *look);
/* Whether the voter at the place is in the view and answers. */
bool voter_live(const Replication *replication, int place);
/* Whether the disk at the place is gone for so long, or for certain, that it is to be replaced. */
bool voter_gone(const Replication *replication, int place);
/* How many voters the settings ask for: twice the losses to be borne, and one. */
size_t voters_wanted(const Replication *replication);

#endif
