#ifndef ROUTING_REPAIR_BUFFER_H
#define ROUTING_REPAIR_BUFFER_H

#include "loop/loop.h"
#include "routing/messages.h"

/* The repair buffer: committed changes that went through this process are kept for a
 * while, so that they can be sent again to a leader whose disks have lost them. Used by
 * entry points, agents and controllers.
 *
 * A change is at risk as long as the disks that acknowledged it may lose it, which is not known
 * here; so all are kept for a time that the settings state (retell_ms). Memory is bounded,
 * too: above REPAIR_BUFFER_BYTES_MAX the oldest go first, which the disks have had the longest.
 * Invariants: items are in the order of their arrival, none is older than the span by more
 * than the time since the last call, and their bytes, with what each costs beside its
 * payload, are at most REPAIR_BUFFER_BYTES_MAX. */
typedef struct RepairBuffer RepairBuffer;

/* Lives on mem; the loop outlives it. span_ms 0: nothing is kept. */
RepairBuffer *repair_buffer_new(void *mem, Loop *loop, int64_t span_ms);
/* Copies the items in; one that is there already is left where it is. */
void repair_buffer_keep(RepairBuffer *repair_buffer, const RepairItem *items, size_t count);
/* Fills in list with all kept changes, on mem, without configurations up to version config_have. */
void repair_buffer_list(RepairBuffer *repair_buffer, void *mem, uint64_t config_have, RepairList *list);
size_t repair_buffer_count(const RepairBuffer *repair_buffer);
/* Bytes that the items cost, payloads and what is beside them. */
size_t repair_buffer_bytes(const RepairBuffer *repair_buffer);

#endif
