#ifndef REPLICATION_SRC_LEARNERS_H
#define REPLICATION_SRC_LEARNERS_H

#include "replication/replication.h"

/* Learners: controllers without a vote that follow the log continuously, so that one of them can be made a voter by one
 * committed change, without a transfer of state. No function here suspends the coroutine. */

/* Assigns free slots to controllers without a vote, and frees the slots of those that may no longer follow. The leader
 * must call this periodically. */
void learners_follow(Replication *replication);
/* Frees all slots, because the leadership is over. */
void learners_clear(Replication *replication);
/* Whether the member is a running controller of this cluster without a vote. */
bool learner_may_follow(const Replication *replication, const Member *row);
/* Whether the learner in the slot has nearly all of the log and grants the lease. */
bool learner_ready(const Replication *replication, size_t learner);
/* Whether the learner in the slot has been ready for longer than voter_replace_ms. */
bool learner_steady(const Replication *replication, size_t learner);
/* Frees the slot, because its disk has become a voter or no longer follows. */
void learner_slot_free(Replication *replication, size_t learner);
/* Time within which a lost voter must be replaced, in ms. */
int64_t voter_replace_ms(const Replication *replication);

#endif
