/* A process that is to end: its vote is given to a learner before, where there is one. */
#include "leading.h"
#include "learners.h"
#include "lease.h"
#include "state.h"
#include "voters.h"

/* Whether a controller without a vote runs that could be given one. Whether it has the log is known to the
 * leader alone. */
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
    while (replication_orders(replication) && replication_seated(replication) && successor_runs(replication) &&
           loop_now_ms(replication->loop) < until_ms &&
           (replication->voter_count <= voters_wanted(replication) ||
            replication->list_index > replication->commit_index)) {
        signal_raise(replication->loop, &replication->membership);
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
    }
}

void replication_leave(Replication *replication, int64_t until_ms)
{
    const bool votes = replication_seated(replication), given = votes && successor_runs(replication);
    if (given)
        successor_wait(replication, until_ms);
    lead_down(replication, INT32_MAX);
    while (given && replication_seated(replication) && loop_now_ms(replication->loop) < until_ms)
        loop_sleep(replication->loop, MEMBERSHIP_SOON_MS);
    if (votes && replication_seated(replication))
        recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                       "leaves and keeps its vote: %s", given ? "no learner took it in time" : "there is no learner");
    else if (votes)
        recorder_write(replication->settings.recorder, RECORDER_NOTE, loop_now_ms(replication->loop),
                       "leaves, and its vote is another's");
}
