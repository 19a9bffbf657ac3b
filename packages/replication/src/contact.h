#ifndef REPLICATION_SRC_CONTACT_H
#define REPLICATION_SRC_CONTACT_H

#include "replication/replication.h"

/* Contact rounds: this node is still the only leader when a majority answers requests that were sent after the round
 * began (Raft: ReadIndex). Rounds are numbered; a peer that answers a request has answered all rounds that were
 * requested before the request was sent. */

/* The peer at the slot has granted the lease in answer to a request that was sent when contact was the newest round. */
void contact_granted(Replication *replication, int slot, uint64_t contact);
/* Whether the peer at the slot has yet to answer a round. */
bool contact_owed(const Replication *replication, int slot);
/* Waits, at most most_ms, until all voters and learners that are taken for alive have answered a new round. Returns its
 * number. */
uint64_t contact_members(Replication *replication, int64_t most_ms);
/* Waits for rest_ms, or until a round is requested that the peer at the slot has yet to answer. */
void contact_rest(Replication *replication, int slot, int64_t rest_ms);

#endif
