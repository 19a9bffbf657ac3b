/* Commit and delivery: determines up to which index the log is committed, and delivers committed entries to the state
 * machine. */
#include "base/invariant.h"
#include "commit.h"
#include "snapshot.h"
#include "state.h"

/* The index up to which a majority of the voters has synced the log. */
static uint64_t majority_index(const Replication *replication)
{
    uint64_t matches[VOTERS_MAX];
    size_t count = 0;
    for (int i = 0; i < VOTERS_MAX; i++) {
        if (replication->voters[i] == 0)
            continue;
        const uint64_t match =
            replication->voters[i] == replication->disk ? replication->synced_index : replication->peers[i].match_index;
        size_t at = count++;
        for (; at > 0 && matches[at - 1] < match; at--)
            matches[at] = matches[at - 1];
        matches[at] = match;
    }
    return count > 0 ? matches[lock_majority(count) - 1] : 0;
}

void leader_commit_advance(Replication *replication)
{
    uint64_t least = replication->synced_index;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->in_view[i] && replication->voters[i] != replication->disk &&
            replication->peers[i].match_index < least)
            least = replication->peers[i].match_index;
    /* the view may briefly be smaller than a majority, after a voter was added */
    const uint64_t majority = majority_index(replication);
    if (majority < least)
        least = majority;
    if (least < replication->term_entry_index || least <= replication->commit_index)
        return;
    INVARIANT(COMMIT_IN_LOG, least <= log_last_index(replication->log));
    replication->commit_index = least;
    replication_deliver(replication);
    signal_raise(replication->loop, &replication->changed);
}

void follower_commit_advance(Replication *replication, uint64_t leader_commit)
{
    const uint64_t commit = leader_commit < replication->verified_index ? leader_commit : replication->verified_index;
    if (commit > replication->commit_index)
        replication->commit_index = commit;
    replication_deliver(replication);
}

/* Whether the disk is in the newest view in the log. */
static bool last_view_has(const Replication *replication, uint64_t disk)
{
    for (size_t i = 0; i < replication->last_view.members_count; i++)
        if (replication->last_view.members[i].disk == disk)
            return true;
    return false;
}

/* Completes the submissions that await this entry, or another entry at its index. */
static void waiters_notify(Replication *replication, const Record *entry, const ChangeResult *result)
{
    for (Waiter **at = &replication->waiters; *at != NULL;) {
        Waiter *waiter = *at;
        if (waiter->index != entry->index) {
            at = &waiter->next;
            continue;
        }
        *at = waiter->next;
        waiter->done = true;
        /* if another entry was committed at this index, the submitted one is permanently lost */
        waiter->status = waiter->term == entry->term ? STATUS_OK : STATUS_OUTCOME_UNKNOWN;
        waiter->result = *result;
        signal_raise(replication->loop, &waiter->ended);
    }
}

void replication_deliver(Replication *replication)
{
    INVARIANT(DELIVER_COMMITTED, replication->delivered_index <= replication->commit_index);
    INVARIANT(COMMIT_IN_LOG, replication->commit_index <= log_last_index(replication->log));
    bool any = false;
    while (replication->delivered_index < replication->commit_index) {
        const Record *entry = log_at(replication->log, replication->delivered_index + 1);
        if (entry == NULL)
            break;
        ChangeResult result = {STATUS_OK, 0, entry->index};
        if (entry->change >= REPLICATION_CHANGE_FIRST)
            replication->settings.state.deliver(replication->settings.state.arg, entry, &result);
        else if (entry->change == REPLICATION_CHANGE_TERM && entry->term == replication->lock.promised &&
                 last_view_has(replication, replication->disk))
            replication->restarted = false; /* this node has been in a view since it restarted */
        replication->delivered_index = entry->index;
        any = true;
        waiters_notify(replication, entry, &result);
    }
    if (any) {
        signal_raise(replication->loop, &replication->changed);
        replication_compact_if_due(replication, false);
    }
}

void replication_waiters_end(Replication *replication, Status status)
{
    while (replication->waiters != NULL) {
        Waiter *waiter = replication->waiters;
        replication->waiters = waiter->next;
        waiter->done = true;
        waiter->status = status;
        signal_raise(replication->loop, &waiter->ended);
    }
}
