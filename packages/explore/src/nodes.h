#ifndef EXPLORE_SRC_NODES_H
#define EXPLORE_SRC_NODES_H

/* Simulated machines and the processes on them (nodes.c). */

#include "state.h"

/* Adds a machine without starting it. Returns null if there are NODES_MAX machines already. */
Node *node_add(Explore *explore);
/* Starts the node's process. Has no effect on a node that is running or permanently removed; the same holds for
 * node_start_later and node_start_at. */
void node_start(Node *node);
/* Starts the node after after_ms. */
void node_start_later(Node *node, int64_t after_ms);
/* Starts the node at the moment, or after max_wait_ms if the moment has not come by then. */
void node_start_at(Node *node, Moment moment, int64_t max_wait_ms);
/* Stops the node's process. power: the machine loses power, so a write in progress may be torn; otherwise only the
 * process is killed. */
void node_kill(Node *node, bool power);
/* Powers the machine off and empties its disk. */
void node_wipe(Node *node);
/* Shuts the node down gracefully; afterwards the machine is permanently removed. A node that is not running is removed
 * immediately. */
void node_leave(Node *node);
/* Removes the machine permanently, without a shutdown. */
void node_vanish(Node *node);

/* Whether the node's process is running and leads the replicated log. */
bool node_leads(const Node *node);
/* Returns a node that leads, or null if there is none. */
Node *node_leader(Explore *explore);
/* Whether the node's disk is in the newest committed configuration of voters. */
bool node_votes(const Explore *explore, const Node *node);
/* Whether the node's disk may be lost now: every configuration of voters, committed or pending, keeps a majority
 * without it, or the plan does not require that. */
bool node_may_be_lost(const Explore *explore, const Node *node);
/* Number of voters in the newest committed configuration whose disks are neither lost nor leaving. */
size_t voters_left(const Explore *explore);
/* Number of disks that are neither lost nor leaving. */
size_t disks_left(const Explore *explore);
/* Whether the committed configuration and every pending one have a majority of their voters left. */
bool voters_have_majority(const Explore *explore);

#endif
