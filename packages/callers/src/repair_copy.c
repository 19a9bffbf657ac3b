/* A copy for repair: what came in at a controller's own address is known there and on the disks only, so before
 * it is answered one entry point, which has no disk, keeps it too. */
#include "repair_copy.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define ELSEWHERE_MOST 3 /* count; entry points tried, one after the other */

static bool ask_one(CallerService *callers, void *mem, const char *address, const RepairList *repair_items)
{
    Nothing answer = {0};
    return rpc_ask(callers->rpc, mem, address, MESSAGE_KEEP, &RepairList_shape, repair_items, KEEP_ASK_MS,
                   &Nothing_shape, &answer) == STATUS_OK;
}

static size_t bytes_of(const RepairList *repair_items)
{
    size_t bytes = 0;
    for (size_t i = 0; i < repair_items->items_count; i++)
        bytes += repair_items->items[i].payload.count;
    return bytes;
}

void elsewhere_keep(CallerService *callers, void *mem, const RepairList *repair_items)
{
    /* a large configuration would fill an entry point's link for seconds: it is on as many disks as the settings
     * ask for, and the feed brings it to the entry points */
    if (bytes_of(repair_items) > CONFIG_LARGE_BYTES)
        return;
    const MemberTable *table = members_table(callers->members);
    char addresses[ELSEWHERE_MOST][ADDRESS_MAX];
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.role != ROLE_ENTRY_POINT || row->record.leaving ||
            member_quiet(row, loop_now_ms(callers->loop)))
            continue;
        const bool last = strcmp(row->record.address, callers->kept_at) == 0;
        if (count == ELSEWHERE_MOST && !last)
            continue;
        /* the one that kept the last copy first: one that does not answer costs its wait once */
        if (last && count > 0)
            memcpy(addresses[count < ELSEWHERE_MOST ? count : ELSEWHERE_MOST - 1], addresses[0], ADDRESS_MAX);
        snprintf(addresses[last ? 0 : count], ADDRESS_MAX, "%s", row->record.address);
        count += count < ELSEWHERE_MOST;
    }
    for (size_t i = 0; i < count; i++)
        if (ask_one(callers, mem, addresses[i], repair_items)) {
            snprintf(callers->kept_at, ADDRESS_MAX, "%s", addresses[i]);
            return;
        }
}
