/* What status pages and log lines show of the replicated log. Nothing decides by it. */
#include <string.h>

#include "learners.h"
#include "state.h"
#include "voters.h"

void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index)
{
    *term = replication->phase == REPLICATION_FOLLOWING ? replication->lock.promised : replication->term;
    *commit_index = replication->commit_index;
}

/* The learners, and how many losses are borne and asked for. */
static void voters_reach(const Replication *replication, ReplicationStatus *reach)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    Look look;
    look_take(replication, 0, &look);
    reach->losses_borne = membership_bears(look.voters, look.now.voter_count);
    reach->losses_asked = (int)(voters_wanted(replication) / 2);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Peer *peer = &replication->peers[VOTER_MOST + i];
        if (replication->learners[i].disk == 0)
            continue;
        reach->learners[reach->learner_count++] =
            (ReplicationLearnerStatus){.disk = replication->learners[i].disk,
                                       .answers = now_ms - peer->answered_ms < LOCK_GRANT_MS,
                                       .ready = learner_ready(replication, i),
                                       .match_index = peer->match_index};
    }
}

/* The voters, the own one included. */
static void places_reach(const Replication *replication, ReplicationStatus *reach)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    for (int i = 0; i < VOTER_MOST; i++) {
        const Peer *peer = &replication->peers[i];
        const bool self = replication->voters[i] == replication->disk;
        if (replication->voters[i] == 0)
            continue;
        reach->voters[reach->voter_count++] = (ReplicationVoterStatus){
            .disk = replication->voters[i],
            .in_configuration = replication->in_configuration[i],
            .answers = self || now_ms - peer->answered_ms < LOCK_GRANT_MS,
            .restarted = self ? replication->restarted : peer->restarted,
            .sync_ms = self ? reach->journal.last_sync_ms : peer->sync_ms,
            .match_index = self ? replication->synced_index : peer->match_index,
            .reach = self ? members_reach(replication->settings.members) : peer->reach,
        };
    }
}

void replication_status(const Replication *replication, ReplicationStatus *reach)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const int64_t until_ms = lock_lease_until(&replication->lease);
    memset(reach, 0, sizeof(*reach));
    reach->phase = replication->phase;
    replication_place(replication, &reach->term, &reach->commit_index);
    reach->holder = replication->lock.holder;
    reach->restarted = replication->restarted;
    reach->last_index = log_last_index(replication->log);
    reach->delivered_index = replication->delivered_index;
    reach->base_index = replication->log->base_index;
    reach->lease_left_ms = replication->holding && until_ms > now_ms ? until_ms - now_ms : 0;
    reach->configuration_changes = replication->configuration_changes;
    reach->other_histories = replication->other_histories;
    reach->journal = *journal_counts(replication->journal);
    places_reach(replication, reach);
    voters_reach(replication, reach);
}
