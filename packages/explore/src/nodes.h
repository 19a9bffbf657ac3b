#ifndef EXPLORE_SRC_NODES_H
#define EXPLORE_SRC_NODES_H

/* Machines and their processes (nodes.c). */

#include "state.h"

/* A new machine, not started; null: there are NODES_MAX already. */
Node *node_add(Explore *explore);
/* No effect on one that runs or is gone for good; so for node_start_later. */
void node_start(Node *node);
void node_start_later(Node *node, int64_t after_ms);
/* ... at the moment, or after most_ms. */
void node_start_at(Node *node, Moment moment, int64_t most_ms);
/* power: the machine loses power. */
void node_kill(Node *node, bool power);
/* Power off, and an empty disk. */
void node_wipe(Node *node);
/* A graceful shutdown; then the machine is gone for good. */
void node_leave(Node *node);
/* The machine is gone for good at once. */
void node_vanish(Node *node);

bool node_leads(const Node *node);
/* Any node that leads; null: none. */
Node *node_leader(Explore *explore);
/* Whether its disk is in the newest committed configuration of voters. */
bool node_votes(const Explore *explore, const Node *node);
/* Whether its disk may be lost now: every configuration of voters keeps a majority without it, or the plan does not
 * ask for that. */
bool node_may_lose(const Explore *explore, const Node *node);
/* How many of the voters are there. */
size_t voters_left(const Explore *explore);
/* How many disks there are. */
size_t disks_left(const Explore *explore);
/* Whether a majority of the voters is there. */
bool voters_there(const Explore *explore);

#endif
