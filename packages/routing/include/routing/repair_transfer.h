#ifndef ROUTING_REPAIR_TRANSFER_H
#define ROUTING_REPAIR_TRANSFER_H

#include "member/members.h"
#include "routing/repair_buffer.h"

/* Transfer of the repair buffer of a process that leaves: besides the disks, that process may be the only holder of a
 * change. */

/* An entry point that can hold changes for repair. */
typedef struct RepairTarget {
    const char *id, *zone, *address;
} RepairTarget;

/* Lists the entry points that are reachable and not leaving, except this process, in the order of the member table.
 * *targets and its texts are allocated on mem. Returns their number. now_ms: by the loop's clock. */
size_t repair_targets(void *mem, const Members *members, int64_t now_ms, RepairTarget **targets);

/* Suspends the coroutine until until_ms (the loop's clock) at the latest. Sends the buffer's items to one entry point,
 * preferably in another zone; if that does not answer, the rest goes to the next one. Returns the number of items that
 * were acknowledged. */
size_t repair_transfer(RepairBuffer *repair_buffer, Loop *loop, Rpc *rpc, const Members *members, int64_t until_ms);

#endif
