/* The choice of the next change of membership: docs/control-membership.md has the rules and why none of
 * them makes the voters bear fewer losses. */
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

int membership_losses_borne(const MemberState *voters, size_t count)
{
    return (int)live_count(voters, count) - (int)lock_majority(count);
}

/* How many voters the zone has, without those that are leaving. */
static size_t beside(const Membership *now, const char *zone)
{
    size_t count = 0;
    for (size_t i = 0; i < now->voter_count; i++)
        count += !now->voters[i].leaving && strcmp(now->voters[i].zone, zone) == 0;
    return count;
}

/* Whether the learner can be given a vote at once. */
static bool may_be_added(const MemberState *learner)
{
    return learner->ready && !learner->leaving;
}

/* The learner to add: of the zone with the fewest voters, then of the lowest disk; NONE: none is ready.
 * steady: it must have been ready for long. */
static size_t best_learner(const Membership *now, bool steady)
{
    size_t best = NONE, fewest = SIZE_MAX;
    for (size_t i = 0; i < now->learner_count; i++) {
        const MemberState *learner = &now->learners[i];
        if (!may_be_added(learner) || (steady && !learner->steady))
            continue;
        const size_t count = beside(now, learner->zone);
        if (best == NONE || count < fewest || (count == fewest && learner->disk < now->learners[best].disk)) {
            best = i;
            fewest = count;
        }
    }
    return best;
}

int membership_disks_borne(const MemberState *voters, size_t count)
{
    size_t dead = 0;
    for (size_t i = 0; i < count; i++)
        dead += voters[i].dead;
    return (int)(count - dead) - (int)lock_majority(count);
}

/* The learner added, where a majority of the list after it is alive. */
static MembershipChange added(const Membership *now, size_t learner)
{
    const bool fits = learner != NONE && now->voter_count < VOTER_MOST &&
                      live_count(now->voters, now->voter_count) + 1 >= lock_majority(now->voter_count + 1);
    return fits ? (MembershipChange){MEMBERSHIP_ADD, learner} : KEEP;
}

/* The lost voter to remove: one whose disk is lost before one that is silent; NONE: none is lost. */
static size_t most_lost(const Membership *now)
{
    size_t found = NONE;
    for (size_t i = 0; i < now->voter_count; i++) {
        const MemberState *voter = &now->voters[i];
        if (voter->lost && !voter->self && (found == NONE || (voter->dead && !now->voters[found].dead)))
            found = i;
    }
    return found;
}

/* A voter whose disk is lost is removed before another is added: the shorter list bears as many losses and needs fewer
 * voters for a majority. One that is silent may return with its disk: while it is in the list, one more disk may be
 * lost for good. So of an odd number its successor is added before it is removed. */
static MembershipChange lost_replaced(const Membership *now, size_t ready_count)
{
    const size_t lost = most_lost(now);
    if (lost == NONE || (ready_count == 0 && now->voter_count <= now->wanted))
        return KEEP;
    if (!now->voters[lost].dead && now->voter_count % 2 != 0 && now->voter_count < VOTER_MOST)
        return added(now, best_learner(now, false));
    const bool fits = live_count(now->voters, now->voter_count) >= lock_majority(now->voter_count - 1);
    return fits ? (MembershipChange){MEMBERSHIP_REMOVE, lost} : KEEP;
}

/* Whether voter a should be removed rather than voter b. */
static bool goes_before(const Membership *now, const MemberState *a, const MemberState *b)
{
    if (a->leaving != b->leaving)
        return a->leaving;
    if (a->live != b->live)
        return !a->live;
    return beside(now, a->zone) > beside(now, b->zone);
}

/* Whether the leader itself is leaving: it is removed by the next leader. */
static bool self_leaves(const Membership *now)
{
    bool leaves = false;
    for (size_t i = 0; i < now->voter_count; i++)
        leaves |= now->voters[i].self && now->voters[i].leaving;
    return leaves;
}

/* There is one voter more than wanted only while one is being replaced: the replaced one is removed. */
static MembershipChange surplus_removed(const Membership *now)
{
    size_t worst = NONE;
    for (size_t i = 0; i < now->voter_count; i++)
        if (!now->voters[i].self && (worst == NONE || goes_before(now, &now->voters[i], &now->voters[worst])))
            worst = i;
    if (worst == NONE || self_leaves(now) || now->voter_count % 2 != 0)
        return KEEP;
    const size_t live = live_count(now->voters, now->voter_count) - now->voters[worst].live;
    return live >= lock_majority(now->voter_count - 1) ? (MembershipChange){MEMBERSHIP_REMOVE, worst} : KEEP;
}

/* A learner is added where there are fewer voters than wanted. An even number bears no more losses than
 * one voter less, so two learners must be ready before an odd number grows. */
static MembershipChange missing_added(const Membership *now, size_t ready_count)
{
    const size_t needed = now->voter_count < VOTER_FIRST || now->voter_count % 2 == 0 ? 1 : 2;
    return ready_count >= needed ? added(now, best_learner(now, false)) : KEEP;
}

/* A learner is added as successor of a voter that is leaving, or of one in a zone that has too many voters: after the
 * loss of a zone the voters are in the other zones, and they are spread again when it returns. */
static MembershipChange successor_added(const Membership *now)
{
    bool any_leaves = false, all_live = true;
    size_t crowd = 0;
    for (size_t i = 0; i < now->voter_count; i++) {
        any_leaves |= now->voters[i].leaving;
        all_live &= now->voters[i].live;
        const size_t count = beside(now, now->voters[i].zone);
        crowd = count > crowd ? count : crowd;
    }
    if (any_leaves)
        return added(now, best_learner(now, false));
    const size_t learner = all_live ? best_learner(now, true) : NONE;
    const bool spreads = learner != NONE && crowd >= beside(now, now->learners[learner].zone) + 2;
    return spreads ? added(now, learner) : KEEP;
}

MembershipChange membership_next(const Membership *now)
{
    size_t ready_count = 0;
    for (size_t i = 0; i < now->learner_count; i++)
        ready_count += may_be_added(&now->learners[i]);
    /* a missing voter is added before the next lost one is removed: with fewer voters than wanted, what is acknowledged
     * would be on fewer disks */
    const MembershipChange missing = now->voter_count < now->wanted ? missing_added(now, ready_count) : KEEP;
    if (missing.step != MEMBERSHIP_KEEP)
        return missing;
    const MembershipChange lost = lost_replaced(now, ready_count);
    if (lost.step != MEMBERSHIP_KEEP || now->voter_count < now->wanted)
        return lost;
    if (now->voter_count > now->wanted)
        return surplus_removed(now);
    return successor_added(now);
}
