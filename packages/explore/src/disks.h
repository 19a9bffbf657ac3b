#ifndef EXPLORE_SRC_DISKS_H
#define EXPLORE_SRC_DISKS_H

/* Models of the disks' contents (disks.c). */

#include "state.h"

/* Updates the model of a machine's disk. The world calls it after each sync; explore is the Explore. bytes: the bytes
 * that were added; complete: they are the complete journal instead. */
void disk_changed(void *explore, int machine, const char *path, Bytes bytes, bool complete);
/* Marks the node's disk as lost; the node has no disk model until it syncs to a new disk. */
void disk_lost(Explore *explore, Node *node);
/* Finds the model by the id of the disk. Returns null if no disk with this id has been seen. */
DiskModel *disk_model_find(const Explore *explore, uint64_t disk);
/* Returns the entry at the index, or null if the disk does not hold it. */
const Item *disk_item(const DiskModel *model, uint64_t index);
/* Returns the newest entry after the index that holds a configuration of voters, or null if there is none. */
const Item *disk_voters_after(const DiskModel *model, uint64_t index);
/* Number of disks, lost ones included, that hold the entry of this term at the index; an index covered by the disk's
 * snapshot counts as held. */
size_t disk_holders(const Explore *explore, uint64_t index, uint64_t term);

#endif
