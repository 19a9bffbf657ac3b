/* The voter's promise: it takes part in no lower term. It is synced before it is answered. */
#include "disk.h"
#include "lead.h"
#include "state.h"
#include "voter.h"
#include "voterlist.h"

/* Takes a higher term as promised. The record must be synced before anything
 * is answered under it. */
static Record promise_take(Replication *replication, uint64_t term, uint64_t holder)
{
    lock_promise(&replication->lock, term, holder);
    replication->verified_index = 0;
    if ((replication->holding || replication->phase != REPLICATION_FOLLOWING) && holder != replication->disk)
        lead_down(replication, 0);
    return (Record){.kind = RECORD_PROMISE, .term = term, .index = holder, .name = ""};
}

Status voter_propose(Replication *replication, const ProposeAsk *ask)
{
    /* one that our list of voters does not have was given a voter later than our log
     * goes, or has lost the one it had */
    const bool later =
        ask->log_term > log_last_term(replication->log) ||
        (ask->log_term == log_last_term(replication->log) && ask->log_index > log_last_index(replication->log));
    const bool stranger = replication_voter_of(replication, ask->holder) < 0 && !later;
    if (ask->term == 0) /* only a look */
        return stranger && replication->cluster != 0 && replication->list_index <= replication->commit_index
                   ? STATUS_NO_VOTER
                   : STATUS_OK;
    /* a learner may have been made a voter by an entry that it has not been told yet: without
     * its promise, one that nobody leads to commit would stand for good */
    if (stranger || (replication_own_voter(replication) < 0 && !(later && replication->cluster != 0)))
        return STATUS_NO_VOTER;
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    if (ask->term < members_leader_term(replication->settings.members))
        return STATUS_OLD_TERM; /* forgotten by our disk, remembered by others */
    const Status may = lock_may_promise(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
    if (may != STATUS_OK)
        return may;
    const Record record = promise_take(replication, ask->term, ask->holder);
    const Status status = journal_write(replication->journal, &record, 1);
    if (status != STATUS_OK)
        return status;
    return lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
}

/* Term and holder of an append or fill; adds the promise record when it is newer. */
Status holder_take(Replication *replication, uint64_t term, uint64_t holder, Record *records, size_t *count)
{
    if (term < replication->lock.promised)
        return STATUS_OLD_TERM;
    if (term == replication->lock.promised && holder != replication->lock.holder)
        return STATUS_OTHER_HOLDER;
    if (term == replication->lock.promised) {
        /* whoever stands meanwhile does so on a log that is changing */
        if (replication->phase == REPLICATION_OPENING && !replication->holding && holder != replication->disk)
            lead_down(replication, 0);
        return STATUS_OK;
    }
    records[(*count)++] = promise_take(replication, term, holder);
    return STATUS_OK;
}
