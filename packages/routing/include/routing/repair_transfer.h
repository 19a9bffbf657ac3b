#ifndef ROUTING_REPAIR_TRANSFER_H
#define ROUTING_REPAIR_TRANSFER_H

#include "member/members.h"
#include "routing/repair_buffer.h"

/* An entry point that may keep changes for repair. */
typedef struct RepairTaker {
    const char *id, *zone, *address;
} RepairTaker;

/* The entry points that are there and stay, without this process, in the order of the members' table. All on mem. */
size_t repair_takers(void *mem, const Members *members, int64_t now_ms, RepairTaker **takers);

/* What a process keeps for repair goes to another when it leaves: it may be the only one beside the disks that has it.
 */

/* Waits, until until_ms at the most. Sends all that is kept to one entry point that stays, of another zone if there is
 * one; where that does not answer, to the next. How many items were taken. */
size_t repair_transfer(RepairBuffer *repair_buffer, Loop *loop, Rpc *rpc, const Members *members, int64_t until_ms);

#endif
