/* The rules, checked after each step of the world: at most one leader in each term, no committed entry that changes
 * or is lost, no promise that falls, each acknowledged change on losses + 1 disks. */
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

/* Checks that committed entries never change, and that the node's state is the one that the history gives. */
static void check_committed(Explore *explore, Node *node, const ReplicationInspection *inspection)
{
    if (inspection->commit_index < node->commit_seen)
        explore_report_break(explore, RULE_COMMITTED_CHANGED, "%s had committed %" PRIu64 ", now %" PRIu64, node->name,
                             node->commit_seen, inspection->commit_index);
    node->commit_seen = inspection->commit_index;
    history_update(explore, node, inspection);
    uint64_t term;
    const Item *item = history_item(&explore->history, inspection->commit_index);
    if (item != NULL && log_term_at(inspection->log, inspection->commit_index, &term) && term != item->term)
        explore_report_break(explore, RULE_COMMITTED_CHANGED, "%s holds another entry at %" PRIu64, node->name,
                             inspection->commit_index);
    const Item *delivered = history_item(&explore->history, inspection->delivered_index);
    if (inspection->delivered_index > 0 && (delivered == NULL || delivered->state_hash != node->state_hash.hash))
        explore_report_break(explore, RULE_STATE_OTHER, "of %s after %" PRIu64, node->name,
                             inspection->delivered_index);
}

/* Checks that the node's promise never falls, and that a new lease rests on synced promises of a majority of the
 * voters. */
static void check_promise(Explore *explore, Node *node, const ReplicationInspection *inspection)
{
    if (inspection->promised < node->promised_seen)
        explore_report_break(explore, RULE_PROMISE_FELL, "of %s", node->name);
    node->promised_seen = inspection->promised;
    if (!inspection->has_lease || inspection->term == node->last_lease_term)
        return;
    /* The node has just won the lease: the promises of a majority must be on disks. */
    node->last_lease_term = inspection->term;
    size_t synced = 0;
    for (size_t i = 0; i < inspection->voter_count; i++) {
        const DiskModel *model = disk_model_find(explore, inspection->voters[i]);
        synced += model != NULL && model->promised >= inspection->term;
    }
    if (synced < lock_majority(inspection->voter_count))
        explore_report_break(explore, RULE_PROMISE_UNSYNCED, "%s won view %" PRIu64 " with %zu of %zu", node->name,
                             term_counter(inspection->term), synced, inspection->voter_count);
}

/* Checks that only one disk leads in a term. */
static void check_term_owner(Explore *explore, const Node *node, uint64_t term)
{
    const uint64_t disk = replication_disk(node->replication);
    for (size_t i = 0; i < explore->term_leader_count; i++)
        if (explore->term_leaders[i].term == term) {
            if (explore->term_leaders[i].disk != disk)
                explore_report_break(explore, RULE_TWO_LEADERS, "%s leads view %" PRIu64 " of another disk", node->name,
                                     term_counter(term));
            return;
        }
    explore->term_leaders = array_grow(explore, explore->term_leaders, sizeof(*explore->term_leaders),
                                       explore->term_leader_count, &explore->term_leader_capacity);
    explore->term_leaders[explore->term_leader_count++] = (TermLeader){term, disk};
    explore->result->terms_led++;
    explore_log(explore, "%s leads view %" PRIu64, node->name, term_counter(term));
}

/* Whether the voters in force at the node are those of the newest committed configuration. */
static bool same_voters(const History *history, const ReplicationInspection *inspection)
{
    size_t same = 0;
    for (size_t i = 0; i < inspection->voter_count; i++)
        for (size_t k = 0; k < history->voter_count; k++)
            same += inspection->voters[i] == history->voters[k];
    return same == history->voter_count && same == inspection->voter_count;
}

/* Number of configurations of voters in the log that are not committed. */
static size_t pending_voter_changes(const ReplicationInspection *inspection)
{
    size_t count = 0;
    for (uint64_t i = inspection->commit_index + 1; i <= log_last_index(inspection->log); i++) {
        const Record *entry = log_at(inspection->log, i);
        uint64_t voters[REPLICATION_VOTERS_MAX];
        size_t voter_count;
        count += entry != NULL && replication_entry_voters(entry, voters, &voter_count);
    }
    return count;
}

/* Checks that a leader has all committed entries and the newest committed configuration of voters, and that it does
 * not order a change of voters while another is pending. */
static void check_leader(Explore *explore, Node *node, const ReplicationInspection *inspection)
{
    const History *history = &explore->history;
    if (inspection->term != node->last_led_term)
        check_term_owner(explore, node, inspection->term);
    node->last_led_term = inspection->term;
    uint64_t term;
    const uint64_t newest = history->items.count;
    if (newest > inspection->log->base_index &&
        (!log_term_at(inspection->log, newest, &term) || term != history_item(history, newest)->term))
        explore_report_break(explore, RULE_COMMITTED_LOST, "%s leads view %" PRIu64 " without %" PRIu64, node->name,
                             term_counter(inspection->term), newest);
    if (inspection->list_index <= inspection->commit_index && !same_voters(history, inspection))
        explore_report_break(explore, RULE_OLD_VOTERS, "%s leads view %" PRIu64, node->name,
                             term_counter(inspection->term));
    if (inspection->list_index != node->voters_index_seen && pending_voter_changes(inspection) > 1)
        explore_report_break(explore, RULE_TWO_CHANGES, "%s at %" PRIu64, node->name, inspection->list_index);
    node->voters_index_seen = inspection->list_index;
}

/* Checks that each change acknowledged in this step is committed, and is on losses + 1 disks. */
static void check_acks(Explore *explore)
{
    for (size_t i = 0; i < explore->ack_count; i++) {
        const uint64_t number = explore->acks[i];
        const uint64_t index = explore->client_changes[number - 1].index;
        const Item *item = history_item(&explore->history, index);
        if (item == NULL) {
            explore_report_break(explore, RULE_ACK_LOST, "change %" PRIu64, number);
            continue;
        }
        const size_t holders = disk_holders(explore, index, item->term);
        if (holders < (size_t)explore->plan->losses + 1)
            explore_report_break(explore, RULE_ACK_DISKS, "change %" PRIu64 " at %" PRIu64 " on %zu", number, index,
                                 holders);
    }
    explore->ack_count = 0;
}

void check_step(void *arg)
{
    Explore *explore = arg;
    const Node *claimant = NULL;
    if (explore->result->rule != RULE_NONE)
        return;
    for (int i = 0; i < explore->node_count; i++) {
        Node *node = &explore->nodes[i];
        if (!node->up || !sim_running(explore->world, node->machine))
            continue;
        ReplicationInspection inspection;
        replication_inspect(node->replication, &inspection);
        check_promise(explore, node, &inspection);
        check_committed(explore, node, &inspection);
        moment_observe(explore, node, &inspection);
        node->voter_count_before = inspection.voter_count;
        node->voters_index_before = inspection.list_index;
        if (inspection.phase == REPLICATION_LEADING && node_leads(node)) {
            check_leader(explore, node, &inspection);
            if (claimant != NULL)
                explore_report_break(explore, RULE_TWO_CLAIMS, "%s and %s", claimant->name, node->name);
            claimant = node;
        }
    }
    check_acks(explore);
}
