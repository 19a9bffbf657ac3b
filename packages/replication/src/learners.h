#ifndef REPLICATION_SRC_LEARNERS_H
#define REPLICATION_SRC_LEARNERS_H

#include "replication/replication.h"

/* Learners: controllers without a vote that follow the log all the time, so that a vote can be given
 * to one of them by one committed change, without a transfer. Nothing here waits. */

/* The leader has each controller without a vote follow the log, in as many slots as there are. */
void learners_follow(Replication *replication);
/* A lead that is over has no learners. */
void learners_clear(Replication *replication);
/* Whether the member is a controller that runs, is of this cluster and has no vote. */
bool learner_may_follow(const Replication *replication, const Member *row);
/* Whether the learner in the slot has nearly all of the log, and grants the lease. */
bool learner_ready(const Replication *replication, size_t learner);
/* Whether it has been ready for at least replication_back_ms. */
bool learner_steady(const Replication *replication, size_t learner);
/* The slot is free again: its disk has a vote now, or no longer follows. */
void learner_done(Replication *replication, size_t learner);
/* The span in which a loss is to be made good, in ms. */
int64_t replication_back_ms(const Replication *replication);

#endif
