/* The history: the single sequence of committed entries; each new entry is checked once. */
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

static bool contains(const uint64_t *disks, size_t count, uint64_t disk)
{
    for (size_t i = 0; i < count; i++)
        if (disks[i] == disk)
            return true;
    return false;
}

/* Checks and applies a committed configuration of voters. Consecutive configurations differ by one step (a disk
 * added, removed or replaced), and any two majorities of them share a disk (as Raft's single-server changes
 * require). */
static void apply_voters(Explore *explore, uint64_t index, const Item *item)
{
    History *history = &explore->history;
    size_t added = 0, removed = 0;
    for (size_t i = 0; i < item->voter_count; i++)
        added += !contains(history->voters, history->voter_count, item->voters[i]);
    for (size_t i = 0; i < history->voter_count; i++)
        removed += !contains(item->voters, item->voter_count, history->voters[i]);
    const size_t union_count = history->voter_count + added;
    const bool majorities_overlap =
        lock_majority(history->voter_count) + lock_majority(item->voter_count) > union_count;
    if (history->voter_count > 0 && (added > 1 || removed > 1 || !majorities_overlap))
        explore_report_break(explore, RULE_VOTERS_STEP, "at %" PRIu64 ", %zu voters, %zu added, %zu gone", index,
                             item->voter_count, added, removed);
    memcpy(history->voters, item->voters, item->voter_count * sizeof(*item->voters));
    history->voter_count = item->voter_count;
    history->list_index = index;
    explore->result->voter_changes++;
}

/* Records that a client's change is committed, and checks that this happens once and only if it was not refused. */
static void client_change_committed(Explore *explore, uint64_t index, uint64_t number)
{
    if (number == 0 || number > explore->client_change_count)
        return;
    ClientChange *change = &explore->client_changes[number - 1];
    if (change->index != 0)
        explore_report_break(explore, RULE_TWICE, "change %" PRIu64 " at %" PRIu64 " and at %" PRIu64, number,
                             change->index, index);
    if (change->refused)
        explore_report_break(explore, RULE_REFUSED_TAKEN, "change %" PRIu64 " at %" PRIu64, number, index);
    change->index = index;
}

/* Returns the smallest number of voters among which the leader may have counted a commit: those of the newest
 * configuration in its log. If the leader appended that configuration in this very step, the commit may precede or
 * follow it; either way its disks meet each majority of both configurations, which differ in one voter (seed 20847
 * of the precise plans: a commit was counted among the three voters of the new configuration in the step that
 * ordered it). */
static size_t voters_counted(const Node *node, const ReplicationInspection *inspection)
{
    const bool ordered =
        inspection->list_index > node->voters_index_before && inspection->list_index > inspection->commit_index;
    return ordered && node->voter_count_before > 0 && node->voter_count_before < inspection->voter_count
               ? node->voter_count_before
               : inspection->voter_count;
}

/* Adds the entry at the index, which the node has committed, to the history and checks it. */
static void add_committed(Explore *explore, const Node *node, const ReplicationInspection *inspection, uint64_t index)
{
    History *history = &explore->history;
    const Item *on_disk = node->model != NULL ? disk_item(node->model, index) : NULL;
    if (on_disk == NULL) {
        explore_report_break(explore, RULE_COMMIT_DISKS, "%s commits %" PRIu64 ", which its own disk does not hold",
                             node->name, index);
        return;
    }
    const size_t holders = disk_holders(explore, index, on_disk->term);
    const size_t voters = voters_counted(node, inspection);
    if (holders < lock_majority(voters))
        explore_report_break(explore, RULE_COMMIT_DISKS, "%s commits %" PRIu64 " on %zu disks of %zu voters",
                             node->name, index, holders, voters);
    Item item = *on_disk;
    item.state_hash = state_hash_next(
        history->items.count > 0 ? history->items.list[history->items.count - 1].state_hash : 0, on_disk);
    items_add(explore, &history->items, &item);
    if (history->voter_count == 0) {
        memcpy(history->voters, inspection->voters, sizeof(inspection->voters));
        history->voter_count = inspection->voter_count;
    }
    if (item.voters != NULL)
        apply_voters(explore, index, &item);
    client_change_committed(explore, index, item.number);
    if (item.number != 0)
        explore->result->committed++;
}

void history_update(Explore *explore, const Node *node, const ReplicationInspection *inspection)
{
    while (explore->history.items.count < inspection->commit_index && explore->result->rule == RULE_NONE)
        add_committed(explore, node, inspection, explore->history.items.count + 1);
}
