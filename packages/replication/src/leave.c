/* Graceful shutdown: a learner, if there is one, becomes a voter in place of this node. */
#include "leadership.h"
#include "learners.h"
#include "lease.h"
#include "state.h"
#include "voters.h"

/* Whether there is a running controller without a vote that could become a voter. Only the leader knows whether it has
 * the log. */
static bool successor_available(const Replication *replication)
{
    const MemberTable *table = members_table(replication->settings.members);
    bool runs = false;
    for (size_t i = 0; i < table->count; i++)
        runs |= !table->rows[i].record.leaving && learner_may_follow(replication, &table->rows[i]);
    return runs;
}

/* Suspends the coroutine until a committed list has one voter more than wanted, which is the successor of this
 * leader. */
static void successor_wait(Replication *replication, int64_t until_ms)
{
    while (replication_may_append(replication) && replication_is_voter(replication) &&
           successor_available(replication) && loop_now_ms(replication->loop) < until_ms &&
           (replication->voter_count <= voters_wanted(replication) ||
            replication->list_index > replication->commit_index)) {
        signal_raise(replication->loop, &replication->membership_check);
        loop_sleep(replication->loop, MEMBERSHIP_CHECK_SHORT_MS);
    }
}

/* Suspends the coroutine, for VOTE_HANDOVER_MS at most, until a vote that may just have been given to this learner is
 * known here. The entry that makes it a voter may still be in transit; once the leader knows that the learner is
 * leaving, the leader gives it no vote, so the learner receives such an entry within a few renewals of the lease. */
static void pending_vote_await(const Replication *replication, int64_t until_ms)
{
    const int64_t settled_ms = loop_now_ms(replication->loop) + VOTE_HANDOVER_MS;
    while (replication->cluster != 0 && !replication_is_voter(replication) &&
           loop_now_ms(replication->loop) < (settled_ms < until_ms ? settled_ms : until_ms))
        loop_sleep(replication->loop, MEMBERSHIP_CHECK_SHORT_MS);
}

void replication_leave(Replication *replication, int64_t until_ms)
{
    pending_vote_await(replication, until_ms);
    const bool votes = replication_is_voter(replication), given = votes && successor_available(replication);
    if (given)
        successor_wait(replication, until_ms);
    leader_step_down(replication, INT32_MAX);
    while (given && replication_is_voter(replication) && loop_now_ms(replication->loop) < until_ms)
        loop_sleep(replication->loop, MEMBERSHIP_CHECK_SHORT_MS);
    if (votes && replication_is_voter(replication))
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "leaves and keeps its vote: %s", given ? "no learner took it in time" : "there is no learner");
    else if (votes)
        recorder_write(replication->settings.recorder, RECORDER_NOTE, loop_now_ms(replication->loop),
                       "leaves, and its vote is another's");
}
