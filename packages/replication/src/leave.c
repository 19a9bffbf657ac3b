/* Graceful shutdown: a learner becomes a voter in place of this node, where there is one. */
#include "leading.h"
#include "learners.h"
#include "lease.h"
#include "state.h"
#include "voters.h"

/* Whether a controller without a vote runs that could become a voter. Only the leader knows whether it has the log. */
static bool successor_runs(const Replication *replication)
{
    const MemberTable *table = members_table(replication->settings.members);
    bool runs = false;
    for (size_t i = 0; i < table->count; i++)
        runs |= !table->rows[i].record.leaving && learner_may_follow(replication, &table->rows[i]);
    return runs;
}

/* Waits until a committed list has one voter more than are wanted: the successor of this leader. */
static void successor_wait(Replication *replication, int64_t until_ms)
{
    while (replication_may_order(replication) && replication_is_voter(replication) && successor_runs(replication) &&
           loop_now_ms(replication->loop) < until_ms &&
           (replication->voter_count <= voters_wanted(replication) ||
            replication->list_index > replication->commit_index)) {
        signal_raise(replication->loop, &replication->membership);
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
    }
}

/* A learner may have been given the vote by an entry that is on its way to it. From when the leader knows that it
 * leaves it is given none, so it hears of such an entry within a few renewals of the lease. */
static void vote_settle(const Replication *replication, int64_t until_ms)
{
    const int64_t settled_ms = loop_now_ms(replication->loop) + VOTE_SETTLE_MS;
    while (replication->cluster != 0 && !replication_is_voter(replication) &&
           loop_now_ms(replication->loop) < (settled_ms < until_ms ? settled_ms : until_ms))
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
}

void replication_leave(Replication *replication, int64_t until_ms)
{
    vote_settle(replication, until_ms);
    const bool votes = replication_is_voter(replication), given = votes && successor_runs(replication);
    if (given)
        successor_wait(replication, until_ms);
    lead_down(replication, INT32_MAX);
    while (given && replication_is_voter(replication) && loop_now_ms(replication->loop) < until_ms)
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
    if (votes && replication_is_voter(replication))
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "leaves and keeps its vote: %s", given ? "no learner took it in time" : "there is no learner");
    else if (votes)
        recorder_write(replication->settings.recorder, RECORDER_NOTE, loop_now_ms(replication->loop),
                       "leaves, and its vote is another's");
}
