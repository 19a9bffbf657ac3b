/* Learners: controllers without a vote that follow the log continuously, so that one of them can be made a voter by one
 * committed change, without a transfer of state. */
#include "learners.h"
#include "lease.h"
#include "replicate.h"
#include "state.h"
#include "voter_list.h"

int64_t voter_replace_ms(const Replication *replication)
{
    return replication->settings.voter_replacement_ms > 0 ? replication->settings.voter_replacement_ms
                                                          : VOTER_REPLACE_MS;
}

/* A controller that is leaving may follow too: this is how a former voter learns that it has been removed. */
bool learner_may_follow(const Replication *replication, const Member *row)
{
    return row->record.role == ROLE_CONTROLLER && row->record.disk != 0 &&
           !member_quiet(row, loop_now_ms(replication->loop)) &&
           replication_voter_of(replication, row->record.disk) < 0 && row->record.cluster == replication->cluster;
}

/* Whether the disk has a learner's slot. */
static bool has_slot(const Replication *replication, uint64_t disk)
{
    for (size_t i = 0; i < LEARNERS_MAX; i++)
        if (replication->learners[i].disk == disk)
            return true;
    return false;
}

void learner_slot_free(Replication *replication, size_t learner)
{
    Learner *slot = &replication->learners[learner];
    slot->disk = 0;
    slot->generation++;
    slot->ready_since_ms = INT64_MAX;
}

void learners_clear(Replication *replication)
{
    for (size_t i = 0; i < LEARNERS_MAX; i++)
        learner_slot_free(replication, i);
    replication->learners_generation = replication->leadership_generation;
}

/* Assigns the slot to the disk, and spawns the tasks that replicate to it and renew its grants. */
static void learner_slot_assign(Replication *replication, size_t learner, uint64_t disk)
{
    Learner *slot = &replication->learners[learner];
    const int place = VOTERS_MAX + (int)learner;
    *slot = (Learner){disk, slot->generation + 1, loop_now_ms(replication->loop), INT64_MAX};
    replication->peers[place] = (Peer){.next_index = log_last_index(replication->log) + 1,
                                       .renewed_ms = INT64_MIN,
                                       .append_since_ms = INT64_MAX,
                                       .refuses_since_ms = INT64_MAX};
    renewal_start(replication, place);
    peer_replication_start(replication, place);
}

bool learner_ready(const Replication *replication, size_t learner)
{
    const Peer *peer = &replication->peers[VOTERS_MAX + learner];
    const int64_t now_ms = loop_now_ms(replication->loop);
    return replication->learners[learner].disk != 0 && peer->match_index > 0 && peer->refuses_since_ms == INT64_MAX &&
           peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(replication->log) && peer->renewed_ms != INT64_MIN &&
           now_ms - peer->renewed_ms < 2 * LOCK_RENEW_MS && peer->append_duration_ms < VOTER_SLOW_MS;
}

bool learner_steady(const Replication *replication, size_t learner)
{
    const int64_t since_ms = replication->learners[learner].ready_since_ms;
    return since_ms != INT64_MAX && loop_now_ms(replication->loop) - since_ms > voter_replace_ms(replication);
}

/* Updates since when each learner has been ready. */
static void ready_times_update(Replication *replication)
{
    for (size_t i = 0; i < LEARNERS_MAX; i++) {
        Learner *slot = &replication->learners[i];
        if (!learner_ready(replication, i))
            slot->ready_since_ms = INT64_MAX;
        else if (slot->ready_since_ms == INT64_MAX)
            slot->ready_since_ms = loop_now_ms(replication->loop);
    }
}

/* Returns a slot for the disk; -1: none. If no slot is free, takes that of a learner that has not become ready in time.
 */
static int learner_slot_find(Replication *replication, uint64_t disk)
{
    for (int i = 0; i < LEARNERS_MAX; i++)
        if (replication->learners[i].disk == 0)
            return i;
    if (disk == replication->evicted_learner)
        return -1;
    for (int i = 0; i < LEARNERS_MAX; i++) {
        const Learner *slot = &replication->learners[i];
        if (slot->ready_since_ms == INT64_MAX &&
            loop_now_ms(replication->loop) - slot->since_ms > LEARNER_READY_TIMEOUT_MS) {
            replication->evicted_learner = slot->disk;
            return i;
        }
    }
    return -1;
}

void learners_follow(Replication *replication)
{
    if (replication->learners_generation != replication->leadership_generation)
        learners_clear(replication);
    for (size_t i = 0; i < LEARNERS_MAX; i++) {
        const Member *row = members_find_disk(replication->settings.members, replication->learners[i].disk);
        if (replication->learners[i].disk != 0 && (row == NULL || !learner_may_follow(replication, row)))
            learner_slot_free(replication, i);
    }
    ready_times_update(replication);
    const MemberTable *table = members_table(replication->settings.members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!learner_may_follow(replication, row) || has_slot(replication, row->record.disk))
            continue;
        const int slot = learner_slot_find(replication, row->record.disk);
        if (slot >= 0)
            learner_slot_assign(replication, (size_t)slot, row->record.disk);
    }
}
