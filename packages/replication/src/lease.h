#ifndef REPLICATION_SRC_LEASE_H
#define REPLICATION_SRC_LEASE_H

#include "replication/replication.h"

/* The leader's lease (the paper's lock), see lock/lock.h for why at most one node has it. */

/* Whether this node leads by its own clock and may order entries. Unlike replication_leading it does not require
 * view_wide_enough. */
bool replication_may_order(const Replication *replication);
/* Whether the view has enough voters for an acknowledgement: one more than the losses to be
 * borne, however many voters there are at the moment. */
bool view_wide_enough(const Replication *replication);
/* The peer at the slot grants the lease, in answer to a request that was sent at sent_ms, when contact was the
 * newest contact round. */
void lease_granted(Replication *replication, int slot, int64_t sent_ms, int64_t grant_ms, uint64_t contact);
/* How long a grant this leader asks for: short, so that its death is noticed soon, but longer than what it has lately
 * seen a renewal take, or has stood still itself. */
int64_t lease_grant_ms(const Replication *replication);
/* A renewal by a majority took so long, or this process stood still for so long. */
void lease_pause_take(Replication *replication, int64_t pause_ms);
/* WATCH_MS have passed: what was seen before counts for less. */
void lease_pause_fade(Replication *replication);
/* Spawns the task that renews the lease at the peer at the slot; also for this node's own place. */
void lead_renew(Replication *replication, int slot);

#endif
