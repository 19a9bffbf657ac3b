#ifndef EXPLORE_SRC_DISKS_H
#define EXPLORE_SRC_DISKS_H

/* What the disks hold (disks.c). */

#include "state.h"

/* Called by the world after each sync: explore is the Explore. */
void disk_changed(void *explore, int machine, const char *path, Bytes bytes, bool whole);
/* The disk of the node is gone. */
void disk_lost(Explore *explore, Node *node);
/* By the id of the disk; null: none was ever seen. */
DiskModel *disk_of(const Explore *explore, uint64_t disk);
/* The entry at the index; null: it holds none. */
const Item *disk_item(const DiskModel *model, uint64_t index);
/* The newest list of voters after the index; null: it holds none. */
const Item *disk_list_after(const DiskModel *model, uint64_t index);
/* How many disks, lost ones included, hold the item of this term at the index. */
size_t disk_holders(const Explore *explore, uint64_t index, uint64_t term);

#endif
