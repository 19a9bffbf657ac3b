#ifndef REPLICATION_SRC_VOTER_LIST_H
#define REPLICATION_SRC_VOTER_LIST_H

#include "replication/replication.h"

/* The list of voters (Raft: the cluster configuration). The newest list in the log is in effect as soon as it is in the
 * log, committed or not. Positions and slots are explained in state.h. No function here suspends the coroutine. */

/* The position of the disk in the list; -1: it is not a voter. */
int replication_voter_of(const Replication *replication, uint64_t disk);
/* The position of this node's disk; -1: it is not a voter. */
int replication_own_voter(const Replication *replication);
/* The number of voters that is a majority. */
size_t replication_majority(const Replication *replication);
/* The disk of the voter or learner at a slot; 0: the slot is vacant. */
uint64_t slot_disk(const Replication *replication, int slot);
/* Writes the address of the node that has the disk at a slot. Returns false if it is not known. */
bool voter_address(const Replication *replication, int slot, char address[ADDRESS_MAX]);
/* Where the controller with the new disk must be found, for voter_disk_replaced. */
typedef enum ReplacementAddress {
    REPLACEMENT_ANY_ADDRESS,
    REPLACEMENT_SAME_ADDRESS, /* at the address of the former disk's node when that disk became a voter */
} ReplacementAddress;
/* Whether the disk is known to be lost, because a controller of the same name runs with another disk. */
bool voter_disk_replaced(const Replication *replication, uint64_t disk, ReplacementAddress where);
/* The zone of the disk's controller; "" if not known. */
const char *voter_zone(const Replication *replication, uint64_t disk);

/* Reloads the list of voters and the last view from the log, after entries were added or dropped. */
void voters_reload(Replication *replication);
/* Initialises the lists of a new Replication as empty. */
void voter_list_init(Replication *replication);
/* Makes a copy of the list the newest one; index: that of its entry. Resets the leader's knowledge about each position
 * that another disk gets. */
void voter_list_set(Replication *replication, const VoterList *list, uint64_t index);
/* Makes a copy of the list the one that the cluster was founded with. */
void voter_list_set_initial(Replication *replication, const VoterList *list);
/* Returns a list of these disks with the known data of their controllers, allocated on mem. */
VoterList *voter_list_new(const Replication *replication, void *mem, const uint64_t disks[], size_t count);
/* Returns the present list with the disk set at the position (0: the position vacated), allocated on mem. */
VoterList *voter_list_with(const Replication *replication, void *mem, int place, uint64_t disk);

#endif
