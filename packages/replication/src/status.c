/* The status of the replicated log for status pages and log lines. No decision depends on it. */
#include <string.h>

#include "learners.h"
#include "state.h"
#include "voters.h"

void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index)
{
    *term = replication->phase == REPLICATION_FOLLOWING ? replication->lock.promised : replication->term;
    *commit_index = replication->commit_index;
}

/* Sets the rows of the learners, and the numbers of losses that are tolerated and configured. */
static void learners_status(const Replication *replication, ReplicationStatus *status)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    MembershipInput input;
    membership_gather(replication, 0, &input);
    status->losses_tolerated = membership_losses_tolerated(input.voters, input.now.voter_count);
    status->losses_configured = (int)(voters_wanted(replication) / 2);
    for (size_t i = 0; i < LEARNERS_MAX; i++) {
        const Peer *peer = &replication->peers[VOTERS_MAX + i];
        if (replication->learners[i].disk == 0)
            continue;
        status->learners[status->learner_count++] =
            (ReplicationLearnerStatus){.disk = replication->learners[i].disk,
                                       .answers = now_ms - peer->answered_ms < LOCK_GRANT_MS,
                                       .ready = learner_ready(replication, i),
                                       .refuses = peer->refuses_since_ms != INT64_MAX,
                                       .match_index = peer->match_index};
    }
}

/* Sets the rows of the voters, including this node. */
static void voters_status(const Replication *replication, ReplicationStatus *status)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    for (int i = 0; i < VOTERS_MAX; i++) {
        const Peer *peer = &replication->peers[i];
        const bool self = replication->voters[i] == replication->disk;
        if (replication->voters[i] == 0)
            continue;
        status->voters[status->voter_count++] = (ReplicationVoterStatus){
            .disk = replication->voters[i],
            .in_view = replication->in_view[i],
            .answers = self || now_ms - peer->answered_ms < LOCK_GRANT_MS,
            .restarted = self ? replication->restarted : peer->restarted,
            .refuses = !self && peer->refuses_since_ms != INT64_MAX,
            .sync_ms = self ? status->journal.last_sync_ms : peer->sync_ms,
            .match_index = self ? replication->synced_index : peer->match_index,
            .reach = self ? members_reach(replication->settings.members) : peer->reach,
        };
    }
}

void replication_status(const Replication *replication, ReplicationStatus *status)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const int64_t until_ms = lock_lease_until(&replication->lease);
    memset(status, 0, sizeof(*status));
    status->phase = replication->phase;
    replication_place(replication, &status->term, &status->commit_index);
    status->holder = replication->lock.holder;
    status->restarted = replication->restarted;
    status->last_index = log_last_index(replication->log);
    status->delivered_index = replication->delivered_index;
    status->base_index = replication->log->base_index;
    status->lease_left_ms = replication->has_lease && until_ms > now_ms ? until_ms - now_ms : 0;
    status->view_changes = replication->view_changes;
    status->history_conflicts = replication->other_histories;
    status->journal = *journal_counts(replication->journal);
    voters_status(replication, status);
    learners_status(replication, status);
}
