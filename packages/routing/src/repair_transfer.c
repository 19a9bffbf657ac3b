/* Transfer of what is kept for repair, in messages that hold up no narrow link for long. */
#include "routing/repair_transfer.h"

#include <string.h>
#include <talloc.h>

#define TRANSFER_BYTES (32 * 1024) /* bytes; of one message: 130 ms at 2 Mbit/s */

/* Whether the member may be given what this process keeps. */
static bool may_take(const Members *members, const Member *row, int64_t now_ms)
{
    return row->record.role == ROLE_ENTRY_POINT && !row->record.leaving && !member_quiet(row, now_ms) &&
           strcmp(row->record.id, members_self(members)->id) != 0;
}

size_t repair_takers(void *mem, const Members *members, int64_t now_ms, RepairTaker **takers)
{
    const MemberTable *table = members_table(members);
    size_t count = 0;
    *takers = talloc_array(mem, RepairTaker, (unsigned)table->count + 1);
    for (size_t i = 0; i < table->count; i++) {
        const MemberRecord *record = &table->rows[i].record;
        if (may_take(members, &table->rows[i], now_ms))
            (*takers)[count++] = (RepairTaker){talloc_strdup(*takers, record->id), talloc_strdup(*takers, record->zone),
                                               talloc_strdup(*takers, record->address)};
    }
    return count;
}

/* How many of the items go in the next message; one at least. */
static size_t batch_count(const RepairItem *items, size_t count)
{
    size_t taken = 0, bytes = 0;
    while (taken < count && (taken == 0 || bytes + items[taken].payload.count <= TRANSFER_BYTES))
        bytes += items[taken++].payload.count;
    return taken;
}

/* A question's deadline, which may not outlast until_ms: the process ends then. */
static int64_t ask_wait_ms(const Loop *loop, int64_t until_ms)
{
    const int64_t left_ms = until_ms - loop_now_ms(loop);
    return left_ms < ASK_TIMEOUT_MS ? left_ms : ASK_TIMEOUT_MS;
}

/* Waits, until until_ms at the latest. Sends the items from the first on until one message is not taken; how many
 * were. */
static size_t items_send(Loop *loop, Rpc *rpc, const char *address, const RepairList *list, int64_t until_ms)
{
    size_t sent = 0;
    while (sent < list->items_count && loop_now_ms(loop) < until_ms) {
        const size_t count = batch_count(&list->items[sent], list->items_count - sent);
        const RepairList batch = {&list->items[sent], count};
        void *mem = talloc_new(NULL);
        Nothing answer = {0};
        const Status status = rpc_ask(rpc, mem, address, MESSAGE_KEEP, &RepairList_shape, &batch,
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
    RepairTaker *takers;
    const size_t count = repair_takers(mem, members, loop_now_ms(loop), &takers);
    size_t sent = 0;
    repair_buffer_list(repair_buffer, mem, 0, &list);
    for (int near = 0; near < 2; near++) /* other zones first */
        for (size_t i = 0; i < count && sent < list.items_count && loop_now_ms(loop) < until_ms; i++) {
            const RepairList left = {&list.items[sent], list.items_count - sent};
            if ((strcmp(takers[i].zone, own_zone) == 0) == (near == 1))
                sent += items_send(loop, rpc, takers[i].address, &left, until_ms);
        }
    talloc_free(mem);
    return sent;
}
