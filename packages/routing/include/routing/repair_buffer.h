#ifndef ROUTING_REPAIR_BUFFER_H
#define ROUTING_REPAIR_BUFFER_H

#include "routing/messages.h"
#include "loop/loop.h"

/* Keeps committed changes for a while, so that they can be told again when the
 * disks have lost them.
 *
 * A change is at risk as long as the disks that acknowledged it may lose it, which
 * nobody here can know; so all are kept for a span that a deployment states, and for
 * which it trusts its disks no more. Memory is bounded beside: a crowd drops the
 * oldest first, which the disks have had the longest.
 * Invariants: items are in the order of their keeping and none is older than the span
 * by more than the time since the last keep; their bytes, with what each costs beside
 * its payload, are at most REPAIR_BUFFER_BYTES_MAX. */
typedef struct RepairBuffer RepairBuffer;

/* span_ms 0: nothing is kept. */
RepairBuffer *repair_buffer_new(void *mem, Loop *loop, int64_t span_ms);
void repair_buffer_keep(RepairBuffer *repair_buffer, const RepairItem *items, size_t count);
/* All that is kept, on mem. */
void repair_buffer_tell(RepairBuffer *repair_buffer, void *mem, uint64_t config_have, RepairList *list);
size_t repair_buffer_count(const RepairBuffer *repair_buffer);
size_t repair_buffer_bytes(const RepairBuffer *repair_buffer);

#endif
