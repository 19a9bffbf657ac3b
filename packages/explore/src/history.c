/* What is committed: one history, each new item of which is checked once. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "disks.h"
#include "history.h"
#include "items.h"
#include "report.h"

const Item *history_item(const History *history, uint64_t index)
{
    return index > 0 && index <= history->items.count ? &history->items.list[index - 1] : NULL;
}

static bool among(const uint64_t *disks, size_t count, uint64_t disk)
{
    for (size_t i = 0; i < count; i++)
        if (disks[i] == disk)
            return true;
    return false;
}

/* Configurations of voters that follow each other differ by one step (a disk more, a disk less, or one in another's
 * place), and any two majorities of them share a disk (Raft: changes of one server at a time). */
static void voters_next(Explore *explore, uint64_t index, const Item *item)
{
    History *history = &explore->history;
    size_t added = 0, gone = 0;
    for (size_t i = 0; i < item->voter_count; i++)
        added += !among(history->voters, history->voter_count, item->voters[i]);
    for (size_t i = 0; i < history->voter_count; i++)
        gone += !among(item->voters, item->voter_count, history->voters[i]);
    const size_t both = history->voter_count + added;
    const bool meet = lock_majority(history->voter_count) + lock_majority(item->voter_count) > both;
    if (history->voter_count > 0 && (added > 1 || gone > 1 || !meet))
        explore_break(explore, RULE_VOTERS_STEP, "at %" PRIu64 ", %zu voters, %zu added, %zu gone", index,
                      item->voter_count, added, gone);
    memcpy(history->voters, item->voters, item->voter_count * sizeof(*item->voters));
    history->voter_count = item->voter_count;
    history->list_index = index;
    explore->result->voter_changes++;
}

static void order_committed(Explore *explore, uint64_t index, uint64_t number)
{
    if (number == 0 || number > explore->order_count)
        return;
    Order *order = &explore->orders[number - 1];
    if (order->index != 0)
        explore_break(explore, RULE_TWICE, "change %" PRIu64 " at %" PRIu64 " and at %" PRIu64, number, order->index,
                      index);
    if (order->refused)
        explore_break(explore, RULE_REFUSED_TAKEN, "change %" PRIu64 " at %" PRIu64, number, index);
    order->index = index;
}

/* How many voters a commit is counted among at the least: those of the newest configuration in the leader's log. Where
 * this very step has appended that one, the commit came before it or after it; either way its disks meet each majority
 * of both configurations, which differ in one voter (seed 20847 of the plans at moments: counted among the three of the
 * new one, in the step that ordered it). */
static size_t voters_counted(const Node *node, const ReplicationInspection *window)
{
    const bool ordered = window->list_index > node->list_before && window->list_index > window->commit_index;
    return ordered && node->voters_before > 0 && node->voters_before < window->voter_count ? node->voters_before
                                                                                           : window->voter_count;
}

static void commit_one(Explore *explore, const Node *node, const ReplicationInspection *window, uint64_t index)
{
    History *history = &explore->history;
    const Item *held = node->model != NULL ? disk_item(node->model, index) : NULL;
    if (held == NULL) {
        explore_break(explore, RULE_COMMIT_DISKS, "%s commits %" PRIu64 ", which its own disk does not hold",
                      node->name, index);
        return;
    }
    const size_t holders = disk_holders(explore, index, held->term);
    const size_t voters = voters_counted(node, window);
    if (holders < lock_majority(voters))
        explore_break(explore, RULE_COMMIT_DISKS, "%s commits %" PRIu64 " on %zu disks of %zu voters", node->name,
                      index, holders, voters);
    Item item = *held;
    item.chain = chain_next(history->items.count > 0 ? history->items.list[history->items.count - 1].chain : 0, held);
    items_add(explore, &history->items, &item);
    if (history->voter_count == 0) {
        memcpy(history->voters, window->voters, sizeof(window->voters));
        history->voter_count = window->voter_count;
    }
    if (item.voters != NULL)
        voters_next(explore, index, &item);
    order_committed(explore, index, item.number);
    if (item.number != 0)
        explore->result->committed++;
}

void history_follow(Explore *explore, const Node *node, const ReplicationInspection *window)
{
    while (explore->history.items.count < window->commit_index && explore->result->rule == RULE_NONE)
        commit_one(explore, node, window, explore->history.items.count + 1);
}
