/* The voter's promise to take part in no lower term (Raft: a vote; Paxos: prepare). It is synced before the request is
 * answered. */
#include "base/invariant.h"
#include "disk.h"
#include "leadership.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

/* Promises a term, and gives up the leadership if this node has it. The returned record must be synced before any
 * request is answered in that term. */
static Record promise_make(Replication *replication, uint64_t term, uint64_t holder)
{
    INVARIANT(PROMISE_RISES, term >= replication->lock.promised);
    lock_promise(&replication->lock, term, holder);
    replication->verified_index = 0;
    if ((replication->has_lease || replication->phase != REPLICATION_FOLLOWING) && holder != replication->disk)
        leader_step_down(replication, 0);
    return (Record){.kind = RECORD_PROMISE, .term = term, .index = holder, .name = ""};
}

/* Whether the candidate's log is more up to date than the local log. */
static bool candidate_more_up_to_date(const Replication *replication, const ProposeAsk *ask)
{
    return ask->log_term > log_last_term(replication->log) ||
           (ask->log_term == log_last_term(replication->log) && ask->log_index > log_last_index(replication->log));
}

Status voter_propose(Replication *replication, const ProposeAsk *ask)
{
    /* a candidate that is not in the local list of voters was added by an entry after the end of the local log, or was
     * removed */
    const bool later = candidate_more_up_to_date(replication, ask);
    const bool stranger = replication_voter_of(replication, ask->holder) < 0 && !later;
    if (ask->term == 0) /* a pre-vote */
        return stranger && replication->cluster != 0 && replication->list_index <= replication->commit_index
                   ? STATUS_NO_VOTER
                   : STATUS_OK;
    /* a learner may have been made a voter by an entry that it does not have yet: without its promise there might never
     * be a leader that commits that entry */
    if (stranger || (replication_own_voter(replication) < 0 && !(later && replication->cluster != 0)))
        return STATUS_NO_VOTER;
    if (replication_disk_failed(replication))
        return STATUS_DISK_FAILED;
    if (ask->term < members_leader_term(replication->settings.members))
        return STATUS_OLD_TERM; /* the local disk has lost that term, the members have not */
    const Status may = lock_may_promise(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
    if (may != STATUS_OK)
        return may;
    const Record record = promise_make(replication, ask->term, ask->holder);
    const Status status = journal_write(replication->journal, &record, 1);
    if (status != STATUS_OK)
        return status;
    return lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop), LOCK_GRANT_MS);
}

Status leader_accept(Replication *replication, uint64_t term, uint64_t holder, Record *records, size_t *count)
{
    if (term < replication->lock.promised)
        return STATUS_OLD_TERM;
    if (term == replication->lock.promised && holder != replication->lock.holder)
        return STATUS_OTHER_HOLDER;
    if (term == replication->lock.promised) {
        /* an election of this node that is under way began with a log that is about to change */
        if (replication->phase == REPLICATION_ELECTING && !replication->has_lease && holder != replication->disk)
            leader_step_down(replication, 0);
        return STATUS_OK;
    }
    records[(*count)++] = promise_make(replication, term, holder);
    return STATUS_OK;
}
