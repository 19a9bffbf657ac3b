/* The choice of the next change of membership. docs/control-membership.md has the rules, and explains why none of them
 * lowers the number of losses that the voters tolerate. */
#include "replication/membership.h"

#include <string.h>

#define NONE SIZE_MAX

static const MembershipChange KEEP = {MEMBERSHIP_KEEP, 0};

static size_t live_count(const MemberState *voters, size_t count)
{
    size_t live = 0;
    for (size_t i = 0; i < count; i++)
        live += voters[i].live;
    return live;
}

int membership_losses_tolerated(const MemberState *voters, size_t count)
{
    return (int)live_count(voters, count) - (int)lock_majority(count);
}

/* The number of voters in the zone, not counting those that are leaving. */
static size_t zone_voter_count(const Membership *now, const char *zone)
{
    size_t count = 0;
    for (size_t i = 0; i < now->voter_count; i++)
        count += !now->voters[i].leaving && strcmp(now->voters[i].zone, zone) == 0;
    return count;
}

/* Whether the learner can be made a voter immediately. */
static bool may_be_added(const MemberState *learner)
{
    return learner->ready && !learner->leaving;
}

/* Returns the learner to add: one in the zone with the fewest voters, and among those the one with the lowest disk id;
 * NONE: none is ready. steady: it must have been ready for long. */
static size_t best_learner(const Membership *now, bool steady)
{
    size_t best = NONE, fewest = SIZE_MAX;
    for (size_t i = 0; i < now->learner_count; i++) {
        const MemberState *learner = &now->learners[i];
        if (!may_be_added(learner) || (steady && !learner->steady))
            continue;
        const size_t count = zone_voter_count(now, learner->zone);
        if (best == NONE || count < fewest || (count == fewest && learner->disk < now->learners[best].disk)) {
            best = i;
            fewest = count;
        }
    }
    return best;
}

int membership_disk_losses_tolerated(const MemberState *voters, size_t count)
{
    size_t disks_lost = 0;
    for (size_t i = 0; i < count; i++)
        disks_lost += voters[i].disk_lost;
    return (int)(count - disks_lost) - (int)lock_majority(count);
}

/* Returns the change that adds the learner, or KEEP if no majority of the resulting list would be alive. */
static MembershipChange add_step(const Membership *now, size_t learner)
{
    const bool fits = learner != NONE && now->voter_count < VOTERS_MAX &&
                      live_count(now->voters, now->voter_count) + 1 >= lock_majority(now->voter_count + 1);
    return fits ? (MembershipChange){MEMBERSHIP_ADD, learner} : KEEP;
}

/* Returns the lost voter to remove, with those whose disk is lost preferred to silent ones; NONE: no voter is lost. */
static size_t lost_voter(const Membership *now)
{
    size_t found = NONE;
    for (size_t i = 0; i < now->voter_count; i++) {
        const MemberState *voter = &now->voters[i];
        if (voter->lost && !voter->self && (found == NONE || (voter->disk_lost && !now->voters[found].disk_lost)))
            found = i;
    }
    return found;
}

/* The replacement of a lost voter. A voter whose disk is lost is removed before another is added: the shorter list
 * tolerates as many losses and needs fewer voters for a majority. A silent voter may return with its disk: while it is
 * in the list, one more disk may be lost permanently. From an odd number of voters it is therefore removed only after
 * its successor was added. */
static MembershipChange lost_voter_step(const Membership *now, size_t ready_count)
{
    const size_t lost = lost_voter(now);
    if (lost == NONE || (ready_count == 0 && now->voter_count <= now->wanted))
        return KEEP;
    if (!now->voters[lost].disk_lost && now->voter_count % 2 != 0 && now->voter_count < VOTERS_MAX)
        return add_step(now, best_learner(now, false));
    const bool fits = live_count(now->voters, now->voter_count) >= lock_majority(now->voter_count - 1);
    return fits ? (MembershipChange){MEMBERSHIP_REMOVE, lost} : KEEP;
}

/* Whether voter a should be removed in preference to voter b. */
static bool removed_before(const Membership *now, const MemberState *a, const MemberState *b)
{
    if (a->leaving != b->leaving)
        return a->leaving;
    if (a->live != b->live)
        return !a->live;
    return zone_voter_count(now, a->zone) > zone_voter_count(now, b->zone);
}

/* Whether the leader itself is leaving; the next leader will remove it. */
static bool self_leaves(const Membership *now)
{
    bool leaves = false;
    for (size_t i = 0; i < now->voter_count; i++)
        leaves |= now->voters[i].self && now->voters[i].leaving;
    return leaves;
}

/* Removes the replaced voter: there is one voter more than wanted only during a replacement. */
static MembershipChange surplus_voter_step(const Membership *now)
{
    size_t worst = NONE;
    for (size_t i = 0; i < now->voter_count; i++)
        if (!now->voters[i].self && (worst == NONE || removed_before(now, &now->voters[i], &now->voters[worst])))
            worst = i;
    if (worst == NONE || self_leaves(now) || now->voter_count % 2 != 0)
        return KEEP;
    const size_t live = live_count(now->voters, now->voter_count) - now->voters[worst].live;
    return live >= lock_majority(now->voter_count - 1) ? (MembershipChange){MEMBERSHIP_REMOVE, worst} : KEEP;
}

/* Adds a learner if there are fewer voters than wanted. An even number of voters tolerates no more losses than one
 * voter fewer, so two learners must be ready before an odd number grows. */
static MembershipChange missing_voter_step(const Membership *now, size_t ready_count)
{
    const size_t needed = now->voter_count < VOTERS_INITIAL || now->voter_count % 2 == 0 ? 1 : 2;
    return ready_count >= needed ? add_step(now, best_learner(now, false)) : KEEP;
}

/* Adds a learner as the successor of a voter that is leaving, or of one in a zone that has too many voters: after the
 * loss of a zone all voters are in the other zones, and they are spread again when that zone returns. */
static MembershipChange successor_step(const Membership *now)
{
    bool any_leaves = false, all_live = true;
    size_t largest_zone = 0;
    for (size_t i = 0; i < now->voter_count; i++) {
        any_leaves |= now->voters[i].leaving;
        all_live &= now->voters[i].live;
        const size_t count = zone_voter_count(now, now->voters[i].zone);
        largest_zone = count > largest_zone ? count : largest_zone;
    }
    if (any_leaves)
        return add_step(now, best_learner(now, false));
    const size_t learner = all_live ? best_learner(now, true) : NONE;
    const bool spreads = learner != NONE && largest_zone >= zone_voter_count(now, now->learners[learner].zone) + 2;
    return spreads ? add_step(now, learner) : KEEP;
}

MembershipChange membership_next(const Membership *now)
{
    size_t ready_count = 0;
    for (size_t i = 0; i < now->learner_count; i++)
        ready_count += may_be_added(&now->learners[i]);
    /* a missing voter is added before the next lost one is removed: with fewer voters than wanted, acknowledged changes
     * would be on fewer disks */
    const MembershipChange missing = now->voter_count < now->wanted ? missing_voter_step(now, ready_count) : KEEP;
    if (missing.step != MEMBERSHIP_KEEP)
        return missing;
    const MembershipChange lost = lost_voter_step(now, ready_count);
    if (lost.step != MEMBERSHIP_KEEP || now->voter_count < now->wanted)
        return lost;
    if (now->voter_count > now->wanted)
        return surplus_voter_step(now);
    return successor_step(now);
}
