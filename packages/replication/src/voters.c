/* What the leader knows about voters and learners, as input for the choice of the next change (membership.h). */
#include <string.h>

#include "learners.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

/* How long a voter may be silent before it is replaced by a ready learner, in ms: a fraction of the time within which a
 * lost voter must be replaced, but no less than the longest possible lease. */
static int64_t silence_limit_ms(const Replication *replication, const Member *member)
{
    if (member != NULL && member->record.leaving)
        return 2 * LOCK_RENEW_MS;
    const int64_t part_ms = voter_replace_ms(replication) / VOTER_SILENT_DIVISOR;
    return part_ms > LOCK_GRANT_MS + LOCK_RENEW_MS ? part_ms : LOCK_GRANT_MS + LOCK_RENEW_MS;
}

bool voter_live(const Replication *replication, int place)
{
    return replication->voters[place] == replication->disk ||
           (replication->in_view[place] &&
            loop_now_ms(replication->loop) - replication->peers[place].answered_ms < 2 * LOCK_RENEW_MS);
}

bool voter_lost(const Replication *replication, int place)
{
    const uint64_t disk = replication->voters[place];
    if (disk == 0 || disk == replication->disk || replication->in_view[place])
        return false;
    if (voter_disk_replaced(replication, disk, REPLACEMENT_ANY_ADDRESS))
        return true;
    const Member *member = members_find_disk(replication->settings.members, disk);
    const int64_t refuses_ms = replication->peers[place].refuses_since_ms;
    if (refuses_ms != INT64_MAX && loop_now_ms(replication->loop) - refuses_ms > silence_limit_ms(replication, member))
        return true; /* it answers and grants leases, but its disk stores nothing new */
    int64_t heard_ms = member != NULL ? member->newest_record_ms : replication->won_ms;
    if (replication->peers[place].answered_ms > heard_ms)
        heard_ms = replication->peers[place].answered_ms;
    return loop_now_ms(replication->loop) - heard_ms > silence_limit_ms(replication, member);
}

/* The part of MemberState that applies to voters and learners alike. */
static MemberState member_state_of(const Replication *replication, uint64_t disk)
{
    const Member *member = members_find_disk(replication->settings.members, disk);
    const bool self = disk == replication->disk;
    return (MemberState){.disk = disk,
                         .zone = voter_zone(replication, disk),
                         .self = self,
                         .leaving = self ? members_self(replication->settings.members)->leaving
                                         : member != NULL && member->record.leaving};
}

size_t voters_wanted(const Replication *replication)
{
    const size_t losses = replication->settings.losses > 0 ? (size_t)replication->settings.losses : 1;
    return 2 * losses + 1 < VOTERS_MAX ? 2 * losses + 1 : VOTERS_MAX;
}

void membership_gather(const Replication *replication, uint64_t contact, MembershipInput *input)
{
    memset(input, 0, sizeof(*input));
    input->now = (Membership){input->voters, 0, input->learners, 0, voters_wanted(replication)};
    for (int i = 0; i < VOTERS_MAX; i++) {
        if (replication->voters[i] == 0)
            continue;
        MemberState *voter = &input->voters[input->now.voter_count];
        *voter = member_state_of(replication, replication->voters[i]);
        voter->live = voter_live(replication, i) && (voter->self || replication->peers[i].contact >= contact);
        voter->lost = voter_lost(replication, i);
        voter->disk_lost =
            voter->lost && voter_disk_replaced(replication, replication->voters[i], REPLACEMENT_ANY_ADDRESS);
        input->places[input->now.voter_count++] = i;
    }
    for (size_t i = 0; i < LEARNERS_MAX; i++) {
        if (replication->learners[i].disk == 0)
            continue;
        MemberState *learner = &input->learners[input->now.learner_count];
        *learner = member_state_of(replication, replication->learners[i].disk);
        learner->ready = learner_ready(replication, i) && replication->peers[VOTERS_MAX + i].contact >= contact;
        learner->steady = learner_steady(replication, i);
        input->slots[input->now.learner_count++] = i;
    }
}
