#ifndef REPLICATION_SRC_LEARNERS_H
#define REPLICATION_SRC_LEARNERS_H

#include "replication/replication.h"

/* Learners: controllers without a vote that follow the log all the time, so that a vote can be given
 * to one of them by one committed change, without a transfer. Nothing here waits. */

/* Gives free slots to controllers without a vote, and frees the slots of those that may no longer follow. To be
 * called again and again by the leader. */
void learners_follow(Replication *replication);
/* Frees all slots: the lead is over. */
void learners_clear(Replication *replication);
/* Whether the member is a controller of this cluster that runs and has no vote. */
bool learner_may_follow(const Replication *replication, const Member *row);
/* Whether the learner in the slot has nearly all of the log, and grants the lease. */
bool learner_ready(const Replication *replication, size_t learner);
/* Whether it has been ready for at least replication_back_ms. */
bool learner_steady(const Replication *replication, size_t learner);
/* Frees the slot: its disk has become a voter, or no longer follows. */
void learner_done(Replication *replication, size_t learner);
/* Within how many ms a lost voter is to be replaced. */
int64_t replication_back_ms(const Replication *replication);

#endif
