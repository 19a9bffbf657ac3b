#ifndef REPLICATION_SRC_LEASE_H
#define REPLICATION_SRC_LEASE_H

#include "replication/replication.h"

/* The leader's lease (the master lock of XenServer's HA design). lock/lock.h explains why at most one node has it. */

/* Whether this node leads, by its own clock, and may append entries. Unlike replication_leading, this does not require
 * view_wide_enough. */
bool replication_may_append(const Replication *replication);
/* Whether the view has enough voters for an acknowledgement: one more than the number of losses to be tolerated,
 * regardless of the present number of voters. */
bool view_wide_enough(const Replication *replication);
/* Records that the peer at the slot granted the lease for grant_ms, in answer to a request that was sent at sent_ms
 * when contact was the newest contact round. */
void lease_granted(Replication *replication, int slot, int64_t sent_ms, int64_t grant_ms, uint64_t contact);
/* The duration of the grants that this leader requests, in ms: short, so that its failure is noticed soon, but longer
 * than the renewals and the pauses of its own process took recently. */
int64_t lease_grant_ms(const Replication *replication);
/* Records how long a renewal by a majority took, or how long this process was paused. */
void lease_pause_record(Replication *replication, int64_t pause_ms);
/* Decays the recorded pause; to be called every LEADER_CHECK_MS. */
void lease_pause_decay(Replication *replication);
/* Spawns the task that renews the lease at the peer at the slot; needed for this node's own position too. */
void renewal_start(Replication *replication, int slot);

#endif
