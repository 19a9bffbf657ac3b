#ifndef REPLICATION_SRC_VOTER_LIST_H
#define REPLICATION_SRC_VOTER_LIST_H

#include "replication/replication.h"

/* The list of voters (Raft: the cluster configuration). The newest one in the log counts from
 * the moment it is there, committed or not. Places and slots: see state.h. Nothing here waits. */

/* The place of the disk in the list; -1: it is no voter. */
int replication_voter_of(const Replication *replication, uint64_t disk);
/* The place of this node's disk; -1: it is no voter. */
int replication_own_voter(const Replication *replication);
/* How many voters are a majority. */
size_t replication_majority(const Replication *replication);
/* The disk at a slot, a voter's or a learner's; 0: the slot is vacant. */
uint64_t slot_disk(const Replication *replication, int slot);
/* The address of the node with the disk at a slot; false: not known. */
bool voter_address(const Replication *replication, int slot, char address[ADDRESS_MAX]);
/* Where the controller with the new disk has to be, for voter_dead. */
typedef enum DeadWhere {
    DEAD_ANYWHERE,
    DEAD_SAME_ADDRESS, /* at the address that the node had when its disk became a voter */
} DeadWhere;
/* Whether the disk is certainly lost: a controller of the same name runs with another disk. */
bool voter_dead(const Replication *replication, uint64_t disk, DeadWhere where);
/* The zone of the disk's controller; "": not known. */
const char *voter_zone(const Replication *replication, uint64_t disk);

/* Reads the list of voters and the last view out of the log again, after entries came or went. */
void replication_reread(Replication *replication);
/* Makes the lists empty, for a new Replication. */
void voters_first(Replication *replication);
/* Takes a copy as the newest list; index: of its entry. What the leader knew of a place is dropped when another disk
 * gets the place. */
void voters_take(Replication *replication, const VoterList *list, uint64_t index);
/* Takes a copy as the list that the cluster was founded with. */
void voters_founded(Replication *replication, const VoterList *list);
/* The list of these disks, with what is known of their controllers; on mem. */
VoterList *voters_of(const Replication *replication, void *mem, const uint64_t disks[], size_t count);
/* The present list with the disk at the place, or the place vacated (0); on mem. */
VoterList *voters_with(const Replication *replication, void *mem, int place, uint64_t disk);

#endif
