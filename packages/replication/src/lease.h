#ifndef REPLICATION_SRC_LEASE_H
#define REPLICATION_SRC_LEASE_H

#include "replication/replication.h"

/* The leader's lease (the paper's lock), see lock/lock.h for why at most one node has it. */

/* Whether this node leads by its own clock and may order entries. The outside may still be
 * told that it does not, see wide_enough. */
bool replication_orders(const Replication *replication);
/* Whether the view has enough voters for an acknowledgement: one more than the losses to be
 * borne, however many voters there are just now. */
bool wide_enough(const Replication *replication);
/* The peer at the slot grants the lease, in answer to a question that was sent at sent_ms,
 * when the rounds of contact up to this one had been asked for. */
void lease_granted(Replication *replication, int slot, int64_t sent_ms, uint64_t contact);
/* Spawns the task that renews the lease at the peer at the slot, the own voter included. */
void lead_renew(Replication *replication, int slot);

#endif
