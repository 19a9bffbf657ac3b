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
static void voters_sight(const Replication *replication, ReplicationStatus *sight)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    Look look;
    look_take(replication, 0, &look);
    sight->losses_borne = membership_bears(look.voters, look.now.voter_count);
    sight->losses_asked = (int)(voters_wanted(replication) / 2);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Peer *peer = &replication->peers[VOTER_MOST + i];
        if (replication->learners[i].disk == 0)
            continue;
        sight->learners[sight->learner_count++] =
            (ReplicationLearnerStatus){.disk = replication->learners[i].disk,
                                       .answers = now_ms - peer->answered_ms < LOCK_GRANT_MS,
                                       .ready = learner_ready(replication, i),
                                       .match_index = peer->match_index};
    }
}

/* The voters, the own one included. */
static void places_sight(const Replication *replication, ReplicationStatus *sight)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    for (int i = 0; i < VOTER_MOST; i++) {
        const Peer *peer = &replication->peers[i];
        const bool self = replication->voters[i] == replication->disk;
        if (replication->voters[i] == 0)
            continue;
        sight->voters[sight->voter_count++] = (ReplicationVoterStatus){
            .disk = replication->voters[i],
            .in_configuration = replication->in_configuration[i],
            .answers = self || now_ms - peer->answered_ms < LOCK_GRANT_MS,
            .woke = self ? replication->woke : peer->woke,
            .sync_ms = self ? sight->journal.last_sync_ms : peer->sync_ms,
            .match_index = self ? replication->synced_index : peer->match_index,
            .sight = self ? members_sight(replication->settings.members) : peer->sight,
        };
    }
}

void replication_status(const Replication *replication, ReplicationStatus *sight)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const int64_t until_ms = lock_lease_until(&replication->lease);
    memset(sight, 0, sizeof(*sight));
    sight->phase = replication->phase;
    replication_place(replication, &sight->term, &sight->commit_index);
    sight->holder = replication->lock.holder;
    sight->woke = replication->woke;
    sight->last_index = log_last_index(replication->log);
    sight->delivered_index = replication->delivered_index;
    sight->base_index = replication->log->base_index;
    sight->lease_left_ms = replication->holding && until_ms > now_ms ? until_ms - now_ms : 0;
    sight->configuration_changes = replication->configuration_changes;
    sight->other_histories = replication->other_histories;
    sight->journal = *journal_counts(replication->journal);
    places_sight(replication, sight);
    voters_sight(replication, sight);
}
