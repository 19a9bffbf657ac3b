/* Learners: controllers without a vote that follow the log all the time, so that a vote can be given to one of
 * them by one committed change, without a transfer. */
#include "learners.h"
#include "lease.h"
#include "replicate.h"
#include "state.h"
#include "voter_list.h"

int64_t replication_back_ms(const Replication *replication)
{
    return replication->settings.voter_back_ms > 0 ? replication->settings.voter_back_ms : VOTER_REPLACE_MS;
}

/* A controller that is leaving may follow as well: so a former voter learns that it has been removed. */
bool learner_may_follow(const Replication *replication, const Member *row)
{
    return row->record.role == ROLE_CONTROLLER && row->record.disk != 0 &&
           !member_quiet(row, loop_now_ms(replication->loop)) &&
           replication_voter_of(replication, row->record.disk) < 0 && row->record.cluster == replication->cluster;
}

/* Whether the disk has a learner's slot. */
static bool follows(const Replication *replication, uint64_t disk)
{
    for (size_t i = 0; i < LEARNER_MOST; i++)
        if (replication->learners[i].disk == disk)
            return true;
    return false;
}

void learner_done(Replication *replication, size_t learner)
{
    Learner *slot = &replication->learners[learner];
    slot->disk = 0;
    slot->generation++;
    slot->ready_since_ms = INT64_MAX;
}

void learners_clear(Replication *replication)
{
    for (size_t i = 0; i < LEARNER_MOST; i++)
        learner_done(replication, i);
    replication->learners_generation = replication->lead_generation;
}

/* Gives the slot to the disk, and spawns the tasks that replicate to it and renew its grants. */
static void learner_begin(Replication *replication, size_t learner, uint64_t disk)
{
    Learner *slot = &replication->learners[learner];
    const int place = VOTER_MOST + (int)learner;
    *slot = (Learner){disk, slot->generation + 1, loop_now_ms(replication->loop), INT64_MAX};
    replication->peers[place] = (Peer){.next_index = log_last_index(replication->log) + 1,
                                       .renewed_ms = INT64_MIN,
                                       .append_since_ms = INT64_MAX,
                                       .refuses_since_ms = INT64_MAX};
    lead_renew(replication, place);
    lead_peer(replication, place);
}

bool learner_ready(const Replication *replication, size_t learner)
{
    const Peer *peer = &replication->peers[VOTER_MOST + learner];
    const int64_t now_ms = loop_now_ms(replication->loop);
    return replication->learners[learner].disk != 0 && peer->match_index > 0 && peer->refuses_since_ms == INT64_MAX &&
           peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(replication->log) && peer->renewed_ms != INT64_MIN &&
           now_ms - peer->renewed_ms < 2 * LOCK_RENEW_MS && peer->append_took_ms < VOTER_SLOW_MS;
}

bool learner_steady(const Replication *replication, size_t learner)
{
    const int64_t since_ms = replication->learners[learner].ready_since_ms;
    return since_ms != INT64_MAX && loop_now_ms(replication->loop) - since_ms > replication_back_ms(replication);
}

/* Records since when each learner has been ready. */
static void ready_mark(Replication *replication)
{
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        Learner *slot = &replication->learners[i];
        if (!learner_ready(replication, i))
            slot->ready_since_ms = INT64_MAX;
        else if (slot->ready_since_ms == INT64_MAX)
            slot->ready_since_ms = loop_now_ms(replication->loop);
    }
}

/* A slot for the disk; -1: none. When none is free, that of a learner that has not become ready in time. */
static int slot_for(Replication *replication, uint64_t disk)
{
    for (int i = 0; i < LEARNER_MOST; i++)
        if (replication->learners[i].disk == 0)
            return i;
    if (disk == replication->learners_passed)
        return -1;
    for (int i = 0; i < LEARNER_MOST; i++) {
        const Learner *slot = &replication->learners[i];
        if (slot->ready_since_ms == INT64_MAX && loop_now_ms(replication->loop) - slot->since_ms > LEARNER_LATE_MS) {
            replication->learners_passed = slot->disk;
            return i;
        }
    }
    return -1;
}

void learners_follow(Replication *replication)
{
    if (replication->learners_generation != replication->lead_generation)
        learners_clear(replication);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Member *row = members_find_disk(replication->settings.members, replication->learners[i].disk);
        if (replication->learners[i].disk != 0 && (row == NULL || !learner_may_follow(replication, row)))
            learner_done(replication, i);
    }
    ready_mark(replication);
    const MemberTable *table = members_table(replication->settings.members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!learner_may_follow(replication, row) || follows(replication, row->record.disk))
            continue;
        const int slot = slot_for(replication, row->record.disk);
        if (slot >= 0)
            learner_begin(replication, (size_t)slot, row->record.disk);
    }
}
