/* Commit and delivery: up to which index the log is committed, and the state machine that takes what
 * is. */
#include "commit.h"
#include "snapshot.h"
#include "state.h"

/* What a majority of the voters has synced. */
static uint64_t majority_index(const Replication *replication)
{
    uint64_t matches[VOTER_MOST];
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
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

void lead_commit(Replication *replication)
{
    uint64_t least = replication->synced_index;
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->in_configuration[i] && replication->voters[i] != replication->disk &&
            replication->peers[i].match_index < least)
            least = replication->peers[i].match_index;
    /* the view is a majority of the voters; only while a voter was just added it may not be */
    const uint64_t majority = majority_index(replication);
    if (majority < least)
        least = majority;
    if (least < replication->replication_index || least <= replication->commit_index)
        return;
    replication->commit_index = least;
    replication_deliver(replication);
    signal_raise(replication->loop, &replication->news);
}

static bool last_has(const Replication *replication, uint64_t disk)
{
    for (size_t i = 0; i < replication->last.members_count; i++)
        if (replication->last.members[i].disk == disk)
            return true;
    return false;
}

void replication_deliver(Replication *replication)
{
    bool any = false;
    while (replication->delivered_index < replication->commit_index) {
        const Record *entry = log_at(replication->log, replication->delivered_index + 1);
        if (entry == NULL)
            break;
        ChangeResult result = {STATUS_OK, 0, entry->index};
        if (entry->change >= REPLICATION_CHANGE_FIRST)
            replication->settings.state.deliver(replication->settings.state.arg, entry, &result);
        else if (entry->change == REPLICATION_CHANGE_TERM && entry->term == replication->lock.promised &&
                 last_has(replication, replication->disk))
            replication->woke = false; /* a view has brought this voter up to date */
        replication->delivered_index = entry->index;
        any = true;
        for (Waiter **at = &replication->waiters; *at != NULL;) {
            Waiter *waiter = *at;
            if (waiter->index != entry->index) {
                at = &waiter->next;
                continue;
            }
            *at = waiter->next;
            waiter->done = true;
            /* another entry took the place: the submitted one is gone for good */
            waiter->status = waiter->term == entry->term ? STATUS_OK : STATUS_OUTCOME_UNKNOWN;
            waiter->result = result;
            signal_raise(replication->loop, &waiter->ended);
        }
    }
    if (any) {
        signal_raise(replication->loop, &replication->news);
        replication_compact_maybe(replication, false);
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
