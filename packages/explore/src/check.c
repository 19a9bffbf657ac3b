/* The rules, checked after each step of the world: no two leaders of a term, nothing committed that changes or is
 * lost, no promise that falls, each acknowledged change on losses + 1 disks. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/array.h"
#include "base/term.h"
#include "check.h"
#include "disks.h"
#include "history.h"
#include "moment.h"
#include "nodes.h"
#include "report.h"

/* What is committed never changes, and every state is that of the one history. */
static void check_committed(Explore *explore, Node *node, const ReplicationInspection *window)
{
    if (window->commit_index < node->commit_seen)
        explore_break(explore, RULE_COMMITTED_CHANGED, "%s had committed %" PRIu64 ", now %" PRIu64, node->name,
                      node->commit_seen, window->commit_index);
    node->commit_seen = window->commit_index;
    history_follow(explore, node, window);
    uint64_t term;
    const Item *item = history_item(&explore->history, window->commit_index);
    if (item != NULL && log_term_at(window->log, window->commit_index, &term) && term != item->term)
        explore_break(explore, RULE_COMMITTED_CHANGED, "%s holds another entry at %" PRIu64, node->name,
                      window->commit_index);
    const Item *delivered = history_item(&explore->history, window->delivered_index);
    if (window->delivered_index > 0 && (delivered == NULL || delivered->chain != node->chain.hash))
        explore_break(explore, RULE_STATE_OTHER, "of %s after %" PRIu64, node->name, window->delivered_index);
}

static void check_promise(Explore *explore, Node *node, const ReplicationInspection *window)
{
    if (window->promised < node->promised_seen)
        explore_break(explore, RULE_PROMISE_FELL, "of %s", node->name);
    node->promised_seen = window->promised;
    if (!window->has_lease || window->term == node->held_term)
        return;
    /* it has just won: the promises of a majority must be on disks */
    node->held_term = window->term;
    size_t synced = 0;
    for (size_t i = 0; i < window->voter_count; i++) {
        const DiskModel *model = disk_of(explore, window->voters[i]);
        synced += model != NULL && model->promised >= window->term;
    }
    if (synced < lock_majority(window->voter_count))
        explore_break(explore, RULE_PROMISE_UNSYNCED, "%s won view %" PRIu64 " with %zu of %zu", node->name,
                      term_counter(window->term), synced, window->voter_count);
}

/* One disk alone leads in a term. */
static void check_term_owner(Explore *explore, const Node *node, uint64_t term)
{
    const uint64_t disk = replication_disk(node->replication);
    for (size_t i = 0; i < explore->lead_count; i++)
        if (explore->leads[i].term == term) {
            if (explore->leads[i].disk != disk)
                explore_break(explore, RULE_TWO_LEADERS, "%s leads view %" PRIu64 " of another disk", node->name,
                              term_counter(term));
            return;
        }
    explore->leads =
        array_grow(explore, explore->leads, sizeof(*explore->leads), explore->lead_count, &explore->lead_capacity);
    explore->leads[explore->lead_count++] = (Lead){term, disk};
    explore->result->leads++;
    explore_say(explore, "%s leads view %" PRIu64, node->name, term_counter(term));
}

static bool same_voters(const History *history, const ReplicationInspection *window)
{
    size_t same = 0;
    for (size_t i = 0; i < window->voter_count; i++)
        for (size_t k = 0; k < history->voter_count; k++)
            same += window->voters[i] == history->voters[k];
    return same == history->voter_count && same == window->voter_count;
}

/* Configurations of voters in the log that are not committed. */
static size_t lists_pending(const ReplicationInspection *window)
{
    size_t count = 0;
    for (uint64_t i = window->commit_index + 1; i <= log_last_index(window->log); i++) {
        const Record *entry = log_at(window->log, i);
        uint64_t voters[REPLICATION_VOTERS_MAX];
        size_t voter_count;
        count += entry != NULL && replication_entry_voters(entry, voters, &voter_count);
    }
    return count;
}

/* A leader has all that was committed, and the newest configuration of voters. */
static void check_leader(Explore *explore, Node *node, const ReplicationInspection *window)
{
    const History *history = &explore->history;
    if (window->term != node->led_term)
        check_term_owner(explore, node, window->term);
    node->led_term = window->term;
    uint64_t term;
    const uint64_t newest = history->items.count;
    if (newest > window->log->base_index &&
        (!log_term_at(window->log, newest, &term) || term != history_item(history, newest)->term))
        explore_break(explore, RULE_COMMITTED_LOST, "%s leads view %" PRIu64 " without %" PRIu64, node->name,
                      term_counter(window->term), newest);
    if (window->list_index <= window->commit_index && !same_voters(history, window))
        explore_break(explore, RULE_OLD_VOTERS, "%s leads view %" PRIu64, node->name, term_counter(window->term));
    if (window->list_index != node->list_seen && lists_pending(window) > 1)
        explore_break(explore, RULE_TWO_CHANGES, "%s at %" PRIu64, node->name, window->list_index);
    node->list_seen = window->list_index;
}

/* Each change that was acknowledged in this step is committed, and on as many disks as the losses that the log
 * tolerates, and one. */
static void check_acks(Explore *explore)
{
    for (size_t i = 0; i < explore->ack_count; i++) {
        const uint64_t number = explore->acks[i];
        const uint64_t index = explore->orders[number - 1].index;
        const Item *item = history_item(&explore->history, index);
        if (item == NULL) {
            explore_break(explore, RULE_ACK_LOST, "change %" PRIu64, number);
            continue;
        }
        const size_t holders = disk_holders(explore, index, item->term);
        if (holders < (size_t)explore->plan->losses + 1)
            explore_break(explore, RULE_ACK_DISKS, "change %" PRIu64 " at %" PRIu64 " on %zu", number, index, holders);
    }
    explore->ack_count = 0;
}

void check_step(void *arg)
{
    Explore *explore = arg;
    const Node *claims = NULL;
    if (explore->result->rule != RULE_NONE)
        return;
    for (int i = 0; i < explore->node_count; i++) {
        Node *node = &explore->nodes[i];
        if (!node->up || !sim_running(explore->world, node->machine))
            continue;
        ReplicationInspection window;
        replication_inspect(node->replication, &window);
        check_promise(explore, node, &window);
        check_committed(explore, node, &window);
        moment_observe(explore, node, &window);
        node->voters_before = window.voter_count;
        node->list_before = window.list_index;
        if (window.phase == REPLICATION_LEADING && node_leads(node)) {
            check_leader(explore, node, &window);
            if (claims != NULL)
                explore_break(explore, RULE_TWO_CLAIMS, "%s and %s", claims->name, node->name);
            claims = node;
        }
    }
    check_acks(explore);
}
