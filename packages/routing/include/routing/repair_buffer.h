#ifndef ROUTING_REPAIR_BUFFER_H
#define ROUTING_REPAIR_BUFFER_H

#include "loop/loop.h"
#include "routing/messages.h"

/* The repair buffer: holds the committed changes that passed through this process for a limited time, so that they can
 * be sent again to a leader whose disks have lost them. Used by entry points, agents and controllers.
 *
 * A change is at risk for as long as the disks that acknowledged it may lose it. That time is not known here, so every
 * change is held for the time that the settings give (retell_ms). Memory is bounded too: above REPAIR_BUFFER_BYTES_MAX
 * the oldest changes are evicted first, since the disks have had them the longest.
 * Invariants: items are in order of arrival; no item is older than the retention time by more than the time since the
 * last call; payloads and overhead together take at most REPAIR_BUFFER_BYTES_MAX. */
typedef struct RepairBuffer RepairBuffer;

/* Allocated on mem; the loop must outlive it. retention_ms: how long an item is held; 0: nothing is held. */
RepairBuffer *repair_buffer_new(void *mem, Loop *loop, int64_t retention_ms);
/* Adds copies of the items. An item that the buffer holds already keeps its position and its age. */
void repair_buffer_add(RepairBuffer *repair_buffer, const RepairItem *items, size_t count);
/* Fills in list with copies of all held changes, allocated on mem, except configurations up to version config_have. */
void repair_buffer_list(RepairBuffer *repair_buffer, void *mem, uint64_t config_have, RepairList *list);
/* Number of items held. */
size_t repair_buffer_count(const RepairBuffer *repair_buffer);
/* Memory that the items take, in bytes, with the overhead of each. */
size_t repair_buffer_bytes(const RepairBuffer *repair_buffer);

#endif
