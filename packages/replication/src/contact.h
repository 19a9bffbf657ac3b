#ifndef REPLICATION_SRC_CONTACT_H
#define REPLICATION_SRC_CONTACT_H

#include "replication/replication.h"

/* Rounds of contact: that this node is still the only leader, shown by answers to questions
 * that were sent after the round began (Raft: ReadIndex). */

/* The peer at the slot has granted the lease in answer to a question that was sent when the
 * rounds up to this one had been asked for. */
void contact_granted(Replication *replication, int slot, uint64_t contact);
/* Whether a round of contact waits for the peer at the slot. */
bool contact_owed(const Replication *replication, int slot);
/* Waits, at most most_ms, until all voters and learners that are taken for alive have answered a
 * question that was sent since. Returns the number of the round. */
uint64_t contact_members(Replication *replication, int64_t most_ms);
/* Waits for rest_ms, or until a round is asked for that the slot owes. */
void contact_rest(Replication *replication, int slot, int64_t rest_ms);

#endif
