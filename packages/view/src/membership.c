/* Which change of membership comes next. */
#include "view/membership.h"

#include <string.h>

#define NONE SIZE_MAX

static const MembershipChange KEEP = {MEMBERSHIP_KEEP, 0};

static size_t liveCount(const MemberState *voters, size_t count)
{
    size_t live = 0;
    for (size_t i = 0; i < count; i++)
        live += voters[i].live;
    return live;
}

int membershipBears(const MemberState *voters, size_t count)
{
    return (int)liveCount(voters, count) - (int)lock_majority(count);
}

/* Voters in a zone, but for those that leave. */
static size_t beside(const Membership *now, const char *zone)
{
    size_t count = 0;
    for (size_t i = 0; i < now->voterCount; i++)
        count += !now->voters[i].leaving && strcmp(now->voters[i].zone, zone) == 0;
    return count;
}

static bool mayBeAdded(const MemberState *learner)
{
    return learner->ready && !learner->leaving;
}

/* The learner to add: where the fewest voters stand; NONE: none is ready. */
static size_t bestLearner(const Membership *now, bool steady)
{
    size_t best = NONE, fewest = SIZE_MAX;
    for (size_t i = 0; i < now->learnerCount; i++) {
        const MemberState *learner = &now->learners[i];
        if (!mayBeAdded(learner) || (steady && !learner->steady))
            continue;
        const size_t count = beside(now, learner->zone);
        if (best == NONE || count < fewest || (count == fewest && learner->disk < now->learners[best].disk)) {
            best = i;
            fewest = count;
        }
    }
    return best;
}

/* A voter that is gone is of no use; removed first, it leaves a list that bears as
 * many losses and asks fewer voters. */
static MembershipChange goneRemoved(const Membership *now, size_t readyCount)
{
    for (size_t i = 0; i < now->voterCount; i++) {
        const MemberState *voter = &now->voters[i];
        const bool replaced = readyCount > 0 || now->voterCount > now->wanted;
        if (voter->gone && !voter->self && replaced &&
            liveCount(now->voters, now->voterCount) >= lock_majority(now->voterCount - 1))
            return (MembershipChange){MEMBERSHIP_REMOVE, i};
    }
    return KEEP;
}

/* Whether a is rather to be removed than b. */
static bool goesBefore(const Membership *now, const MemberState *a, const MemberState *b)
{
    if (a->leaving != b->leaving)
        return a->leaving;
    if (a->live != b->live)
        return !a->live;
    return beside(now, a->zone) > beside(now, b->zone);
}

/* A leader that leaves is removed by the next one. */
static bool selfLeaves(const Membership *now)
{
    bool leaves = false;
    for (size_t i = 0; i < now->voterCount; i++)
        leaves |= now->voters[i].self && now->voters[i].leaving;
    return leaves;
}

/* One more than are wanted stand only while one is replaced. */
static MembershipChange surplusRemoved(const Membership *now)
{
    size_t worst = NONE;
    for (size_t i = 0; i < now->voterCount; i++)
        if (!now->voters[i].self && (worst == NONE || goesBefore(now, &now->voters[i], &now->voters[worst])))
            worst = i;
    if (worst == NONE || selfLeaves(now) || now->voterCount % 2 != 0)
        return KEEP;
    const size_t live = liveCount(now->voters, now->voterCount) - now->voters[worst].live;
    return live >= lock_majority(now->voterCount - 1) ? (MembershipChange){MEMBERSHIP_REMOVE, worst} : KEEP;
}

static MembershipChange added(const Membership *now, size_t learner)
{
    const bool fits = learner != NONE && now->voterCount < SEAT_MOST &&
                      liveCount(now->voters, now->voterCount) + 1 >= lock_majority(now->voterCount + 1);
    return fits ? (MembershipChange){MEMBERSHIP_ADD, learner} : KEEP;
}

/* Up to the number wanted. An even number bears no more losses than one less, so two
 * learners stand ready before an odd number grows. */
static MembershipChange missingAdded(const Membership *now, size_t readyCount)
{
    const size_t needed = now->voterCount < SEAT_FIRST || now->voterCount % 2 == 0 ? 1 : 2;
    return readyCount >= needed ? added(now, bestLearner(now, false)) : KEEP;
}

/* A learner is added for a voter that leaves, or for one of a zone that has too many:
 * after the loss of a zone its votes stand in the others. */
static MembershipChange successorAdded(const Membership *now)
{
    bool anyLeaves = false, allLive = true;
    size_t crowd = 0;
    for (size_t i = 0; i < now->voterCount; i++) {
        anyLeaves |= now->voters[i].leaving;
        allLive &= now->voters[i].live;
        const size_t count = beside(now, now->voters[i].zone);
        crowd = count > crowd ? count : crowd;
    }
    if (anyLeaves)
        return added(now, bestLearner(now, false));
    const size_t learner = allLive ? bestLearner(now, true) : NONE;
    const bool spreads = learner != NONE && crowd >= beside(now, now->learners[learner].zone) + 2;
    return spreads ? added(now, learner) : KEEP;
}

MembershipChange membershipNext(const Membership *now)
{
    size_t readyCount = 0;
    for (size_t i = 0; i < now->learnerCount; i++)
        readyCount += mayBeAdded(&now->learners[i]);
    /* one gone is replaced before the next is removed: with fewer voters than are wanted,
     * fewer disks would hold what is acknowledged */
    const MembershipChange missing = now->voterCount < now->wanted ? missingAdded(now, readyCount) : KEEP;
    if (missing.step != MEMBERSHIP_KEEP)
        return missing;
    const MembershipChange gone = goneRemoved(now, readyCount);
    if (gone.step != MEMBERSHIP_KEEP || now->voterCount < now->wanted)
        return gone;
    if (now->voterCount > now->wanted)
        return surplusRemoved(now);
    return successorAdded(now);
}
