/* Transfers the contents of a repair buffer in messages that are small enough not to block a narrow link for long. */
#include "routing/repair_transfer.h"

#include <string.h>
#include <talloc.h>

#define TRANSFER_BYTES (32 * 1024) /* payload of one message, in bytes: it takes 130 ms at 2 Mbit/s */

/* Whether the member can receive the buffer of this process. */
static bool is_target(const Members *members, const Member *row, int64_t now_ms)
{
    return row->record.role == ROLE_ENTRY_POINT && !row->record.leaving && !member_quiet(row, now_ms) &&
           strcmp(row->record.id, members_self(members)->id) != 0;
}

size_t repair_targets(void *mem, const Members *members, int64_t now_ms, RepairTarget **targets)
{
    const MemberTable *table = members_table(members);
    size_t count = 0;
    *targets = talloc_array(mem, RepairTarget, (unsigned)table->count + 1);
    for (size_t i = 0; i < table->count; i++) {
        const MemberRecord *record = &table->rows[i].record;
        if (is_target(members, &table->rows[i], now_ms))
            (*targets)[count++] =
                (RepairTarget){talloc_strdup(*targets, record->id), talloc_strdup(*targets, record->zone),
                               talloc_strdup(*targets, record->address)};
    }
    return count;
}

/* Number of items in the next message; at least one unless count is 0. */
static size_t batch_count(const RepairItem *items, size_t count)
{
    size_t batched = 0, bytes = 0;
    while (batched < count && (batched == 0 || bytes + items[batched].payload.count <= TRANSFER_BYTES))
        bytes += items[batched++].payload.count;
    return batched;
}

/* Timeout of one request, in ms. It must not extend past until_ms, because the process ends then. */
static int64_t ask_wait_ms(const Loop *loop, int64_t until_ms)
{
    const int64_t left_ms = until_ms - loop_now_ms(loop);
    return left_ms < REQUEST_TIMEOUT_MS ? left_ms : REQUEST_TIMEOUT_MS;
}

/* Suspends the coroutine until until_ms at the latest. Sends the items in order until one message is not acknowledged.
 * Returns the number of items that were. */
static size_t items_send(Loop *loop, Rpc *rpc, const char *address, const RepairList *list, int64_t until_ms)
{
    size_t sent = 0;
    while (sent < list->items_count && loop_now_ms(loop) < until_ms) {
        const size_t count = batch_count(&list->items[sent], list->items_count - sent);
        const RepairList batch = {&list->items[sent], count};
        void *mem = talloc_new(NULL);
        Nothing answer = {0};
        const Status status = rpc_call(rpc, mem, address, MESSAGE_KEEP, &RepairList_shape, &batch,
                                       ask_wait_ms(loop, until_ms), &Nothing_shape, &answer);
        talloc_free(mem);
        if (status != STATUS_OK)
            break;
        sent += count;
    }
    return sent;
}

size_t repair_transfer(RepairBuffer *repair_buffer, Loop *loop, Rpc *rpc, const Members *members, int64_t until_ms)
{
    void *mem = talloc_new(repair_buffer);
    const char *own_zone = members_self(members)->zone;
    RepairList list = {0};
    RepairTarget *targets;
    const size_t count = repair_targets(mem, members, loop_now_ms(loop), &targets);
    size_t sent = 0;
    repair_buffer_list(repair_buffer, mem, 0, &list);
    for (int same_zone = 0; same_zone < 2; same_zone++) /* other zones first */
        for (size_t i = 0; i < count && sent < list.items_count && loop_now_ms(loop) < until_ms; i++) {
            const RepairList left = {&list.items[sent], list.items_count - sent};
            if ((strcmp(targets[i].zone, own_zone) == 0) == (same_zone == 1))
                sent += items_send(loop, rpc, targets[i].address, &left, until_ms);
        }
    talloc_free(mem);
    return sent;
}
