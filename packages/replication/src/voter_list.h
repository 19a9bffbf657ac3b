#ifndef REPLICATION_SRC_VOTER_LIST_H
#define REPLICATION_SRC_VOTER_LIST_H

#include "replication/replication.h"

/* The list of voters (Raft: the cluster configuration). The newest one in the log counts from
 * the moment it is there, committed or not. A place is an index into view->voters, a slot one
 * into view->peers. Nothing here waits. */

/* The place of the disk; -1: it is no voter. */
int replication_voter_of(const Replication *replication, uint64_t disk);
/* The own place; -1: this node is no voter. */
int replication_own_voter(const Replication *replication);
/* How many voters are a majority. */
size_t replication_majority(const Replication *replication);
/* The disk at a slot, a voter's or a learner's; 0: nobody has it. */
uint64_t slot_disk(const Replication *replication, int slot);
/* Where the disk at a slot is asked; false when nobody knows. */
bool voter_address(const Replication *replication, int slot, char address[ADDRESS_MAX]);
/* Whether the disk is gone for certain: a controller of the same name has come back with another one. */
typedef enum DeadWhere {
    DEAD_ANYWHERE,
    DEAD_SAME_ADDRESS, /* at the address where the disk was given its vote */
} DeadWhere;
bool voter_dead(const Replication *replication, uint64_t disk, DeadWhere where);
/* The zone of the disk's controller; empty when nobody knows. */
const char *voter_zone(const Replication *replication, uint64_t disk);

/* Reads the list of voters and the last view out of the log again, after entries came or went. */
void replication_reread(Replication *replication);
/* Begins with no voters at all. */
void voters_first(Replication *replication);
/* Takes a copy as the newest list; index: of its entry. What the leader knew of a place counts
 * for nothing once another has it. */
void voters_take(Replication *replication, const VoterList *list, uint64_t index);
/* Takes a copy as the list that the cluster was founded with. */
void voters_founded(Replication *replication, const VoterList *list);
/* The list of these disks, with what is known of their controllers; on mem. */
VoterList *voters_of(const Replication *replication, void *mem, const uint64_t disks[], size_t count);
/* The present list with the disk at the place, or the place vacated (0); on mem. */
VoterList *voters_with(const Replication *replication, void *mem, int place, uint64_t disk);

#endif
