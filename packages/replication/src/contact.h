#ifndef REPLICATION_SRC_CONTACT_H
#define REPLICATION_SRC_CONTACT_H

#include "replication/replication.h"

/* Contact rounds: if a majority answers requests that were sent after a round began, this node is still the only leader
 * (Raft: ReadIndex). Rounds are numbered; the answer to a request counts for all rounds that were requested before the
 * request was sent. */

/* Records that the peer at the slot granted the lease in answer to a request sent when contact was the newest round. */
void contact_answered(Replication *replication, int slot, uint64_t contact);
/* Whether the peer at the slot has not answered the newest round that it must answer. */
bool contact_pending(const Replication *replication, int slot);
/* Starts a new round. Suspends the coroutine, for at most most_ms, until all voters and learners that are considered
 * alive have answered it. Returns its number. */
uint64_t contact_members(Replication *replication, int64_t most_ms);
/* Suspends the coroutine for rest_ms, or until a round is requested that the peer at the slot has not answered. */
void contact_wait(Replication *replication, int slot, int64_t rest_ms);

#endif
