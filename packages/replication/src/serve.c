/* The handlers of the requests to a voter or learner. Each request names the disk that it is addressed to, since an
 * address does not identify a voter: a node with a new disk may listen at the address of a former one. */
#include <string.h>
#include <talloc.h>

#include "clock.h"
#include "commit.h"
#include "serve.h"
#include "state.h"
#include "voter.h"

void voter_answer_set(const Replication *replication, void *mem, VoterAnswer *answer)
{
    *answer = (VoterAnswer){
        .promised = replication->lock.promised,
        .holder = replication->lock.holder,
        .held = replication_knows_leader(replication),
        .log_term = log_last_term(replication->log),
        .log_index = log_last_index(replication->log),
        .restarted = replication->restarted,
        .configuration_term = replication->last_view.term,
        .configuration_members_count = replication->last_view.members_count,
        .wall_ms = loop_wall_ms(replication->loop),
        .sync_ms = journal_counts(replication->journal)->last_sync_ms,
        .reach = members_reach(replication->settings.members),
        .snapshot_bytes_here = snapshot_piece_count(replication),
    };
    answer->configuration_members = talloc_array(mem, DiskId, (unsigned)replication->last_view.members_count);
    if (replication->last_view.members_count > 0)
        memcpy(answer->configuration_members, replication->last_view.members,
               replication->last_view.members_count * sizeof(DiskId));
}

/* Sets *answer to the log after an index, for a new leader; to the complete log if that index is unknown here or the
 * entry at it differs. */
static void log_answer_set(Replication *replication, void *mem, const LogAsk *ask, LogAnswer *answer)
{
    const Log *log = replication->log;
    uint64_t term;
    uint64_t from = ask->after_index;
    if (!log_term_at(log, from, &term) || term != ask->after_term) {
        answer->whole = log->snapshot.kind == RECORD_SNAPSHOT;
        if (answer->whole)
            shape_copy(&Record_shape, &log->snapshot, mem, &answer->snapshot);
        from = log->base_index;
    }
    answer->entries = talloc_array(mem, Record, (unsigned)(log_last_index(log) - from));
    for (uint64_t i = from + 1; i <= log_last_index(log); i++)
        shape_copy(&Record_shape, log_at(log, i), mem, &answer->entries[answer->entries_count++]);
}

/* Whether a request to the disk is addressed to this node. 0: it is from an older release, which did not send it. */
static bool addressed_to_this_disk(const Replication *replication, uint64_t to)
{
    return to == 0 || to == replication->disk;
}

static Status on_propose(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const ProposeAsk *ask = question;
    if (!addressed_to_this_disk(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_propose(replication, ask);
    voter_answer_set(replication, mem, answer);
    return status;
}

/* Handles MESSAGE_RENEW: the leader renews its lease, and sends its clock, its member id and its commit index. */
static Status on_renew(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const RenewAsk *ask = question;
    if (!addressed_to_this_disk(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status =
        lock_renew(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop), ask->grant_ms);
    if (status == STATUS_OK) {
        replication_clock_set(replication, ask->clock_ms);
        members_set_leader(replication->settings.members, ask->term, ask->holder_id);
        follower_commit_advance(replication, ask->commit_index);
    }
    voter_answer_set(replication, mem, answer);
    return status;
}

/* Handles MESSAGE_RELEASE: the leader has released its lease. */
static Status on_release(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const RenewAsk *ask = question;
    if (!addressed_to_this_disk(replication, ask->to))
        return STATUS_OTHER_DISK;
    if (ask->term == replication->lock.promised && ask->holder == replication->lock.holder) {
        lock_release(&replication->lock, ask->term, ask->holder, loop_now_ms(replication->loop));
        replication->named_successor = ask->next == replication->disk;
        /* the other voters wait, so that the named successor stands for election first */
        if (ask->next != 0 && !replication->named_successor &&
            replication->no_election_until_ms < loop_now_ms(replication->loop) + SUCCESSOR_WAIT_MS)
            replication->no_election_until_ms = loop_now_ms(replication->loop) + SUCCESSOR_WAIT_MS;
        signal_raise(replication->loop, &replication->released);
    }
    voter_answer_set(replication, mem, answer);
    return STATUS_OK;
}

static Status on_append(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const AppendAsk *ask = question;
    if (!addressed_to_this_disk(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_append(replication, ask);
    voter_answer_set(replication, mem, answer);
    return status;
}

static Status on_install_snapshot(void *arg, void *mem, const void *question, void *answer)
{
    Replication *replication = arg;
    const InstallSnapshotAsk *ask = question;
    if (!addressed_to_this_disk(replication, ask->to))
        return STATUS_OTHER_DISK;
    const Status status = voter_install_snapshot(replication, ask);
    voter_answer_set(replication, mem, answer);
    return status;
}

static Status on_log(void *arg, void *mem, const void *ask, void *answer)
{
    Replication *replication = arg;
    const LogAsk *question = ask;
    if (!addressed_to_this_disk(replication, question->to))
        return STATUS_OTHER_DISK;
    if (question->term != replication->lock.promised || question->holder != replication->lock.holder)
        return STATUS_OLD_TERM;
    log_answer_set(replication, mem, question, answer);
    return STATUS_OK;
}

void voter_handlers_register(Replication *replication)
{
    Rpc *rpc = replication->settings.rpc;
    rpc_handle(rpc, MESSAGE_PROPOSE, &ProposeAsk_shape, &VoterAnswer_shape, on_propose, replication);
    rpc_handle(rpc, MESSAGE_RENEW, &RenewAsk_shape, &VoterAnswer_shape, on_renew, replication);
    rpc_handle(rpc, MESSAGE_RELEASE, &RenewAsk_shape, &VoterAnswer_shape, on_release, replication);
    rpc_handle(rpc, MESSAGE_APPEND, &AppendAsk_shape, &VoterAnswer_shape, on_append, replication);
    rpc_handle(rpc, MESSAGE_INSTALL_SNAPSHOT, &InstallSnapshotAsk_shape, &VoterAnswer_shape, on_install_snapshot,
               replication);
    rpc_handle(rpc, MESSAGE_LOG, &LogAsk_shape, &LogAnswer_shape, on_log, replication);
}
