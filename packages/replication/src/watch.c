/* The watch task of each node: a leader checks its lease, its disk and its voters; a voter that knows no
 * leader stands for election. */
#include <stdio.h>

#include "base/term.h"
#include "disk.h"
#include "election.h"
#include "leading.h"
#include "lease.h"
#include "state.h"
#include "view_change.h"
#include "voter_list.h"
#include "watch.h"

/* Whether a voter in the view has reached many more members than this leader for REACH_HANDOVER_MS, and so is the
 * better leader: the paper's best partition is the largest one. A leader reaches a majority of the voters, but it may
 * be cut off from other members. */
static bool outreached(Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const uint64_t own = members_reach(replication->settings.members);
    bool outreached_now = false;
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->in_view[i] && replication->voters[i] != replication->disk &&
            now_ms - replication->peers[i].answered_ms < LOCK_GRANT_MS)
            outreached_now |=
                replication->peers[i].reach > own + REACH_MARGIN && replication->peers[i].reach > own + own / 2;
    if (!outreached_now || now_ms - replication->won_ms < MEMBER_QUIET_MS)
        replication->outreached_since_ms = 0;
    else if (replication->outreached_since_ms == 0)
        replication->outreached_since_ms = now_ms;
    return replication->outreached_since_ms != 0 && now_ms - replication->outreached_since_ms > REACH_HANDOVER_MS;
}

/* Whether this voter knows no leader, and may stand for election. */
static bool may_stand(Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (!replication_founded(replication) || !replication_is_voter(replication) ||
        replication_disk_failed(replication) || now_ms < replication->rest_until_ms)
        return false;
    /* a leader whose disk is lost leads no more */
    if (replication->lock.holder != replication->disk &&
        voter_dead(replication, replication->lock.holder, DEAD_SAME_ADDRESS))
        lock_release(&replication->lock, replication->lock.promised, replication->lock.holder, now_ms);
    return !lock_held(&replication->lock, now_ms) &&
           lock_may_promise(&replication->lock, UINT64_MAX, replication->disk, now_ms) == STATUS_OK;
}

/* How long to wait before standing. Voters stand one after another, from the place after the last
 * leader's on, so that two do not ask for each other's promise (in place of Raft's random election
 * time-outs); a small random part separates those that know different lists. */
static int64_t stand_delay_ms(Replication *replication)
{
    const int last = replication_voter_of(replication, replication->lock.holder),
              own = replication_own_voter(replication);
    const int places = (int)replication->places;
    const int rank = last < 0 ? own : (own - last - 1 + places) % places;
    return rank * PROPOSE_TURN_MS + (int64_t)(loop_random(replication->loop) % (PROPOSE_TURN_MS / 3));
}

/* Whether the own disk delays the log: for APPEND_TIMEOUT_MS, or for less while another voter with a quick disk could
 * lead. */
static bool own_disk_slow(const Replication *replication, int64_t now_ms)
{
    const int64_t since_ms = journal_sync_since(replication->journal);
    if (since_ms != INT64_MAX && now_ms - since_ms > APPEND_TIMEOUT_MS)
        return true;
    const bool late = since_ms != INT64_MAX && now_ms - since_ms > VOTER_LATE_MS;
    return (late || replication->slow_times >= VOTER_SLOW_TIMES) && lead_next(replication, NEXT_QUICK) != 0;
}

/* Waits where a new election is needed. The leader checks its lease, its disk and its voters. */
static void leader_check(Replication *replication, int64_t now_ms)
{
    bool skip[VOTER_MOST];
    if (now_ms >= lock_lease_until(&replication->lease)) {
        log_event(replication->settings.recorder, LOG_LEADER_LEASE_LAPSED, now_ms, &(LogFields){0});
        lead_down(replication, 0);
    } else if (own_disk_slow(replication, now_ms)) {
        replication->slow_times = 0;
        log_event(replication->settings.recorder, LOG_DISK_SLOW, now_ms, &(LogFields){0});
        lead_down(replication, 0);
    } else if (outreached(replication)) {
        log_event(replication->settings.recorder, LOG_QUORUM_LOST, now_ms, &(LogFields){0});
        replication->outreached_since_ms = 0;
        lead_down(replication, OUTREACHED_REST_MS);
    } else if (view_update(replication, skip)) {
        (void)election_run(replication, skip); /* a failure shows at the next check */
    }
}

/* The next wait after an election that was not won. Granted leases end one after another, so at first it is short. */
static int64_t retry_wait_next(int64_t again_ms)
{
    if (again_ms == 0)
        return PROPOSE_AGAIN_MS;
    return 2 * again_ms < PROPOSE_MS ? 2 * again_ms : PROPOSE_MS;
}

/* Logs an election that was not won: the first of a row at once, then one in ELECTION_LOST_LOG_MS with how many there
 * were, so that a long time without a leader says why. */
static void lost_log(Replication *replication, Status status, bool first)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    replication->elections_lost = first ? 1 : replication->elections_lost + 1;
    if (!first && now_ms - replication->lost_logged_ms < ELECTION_LOST_LOG_MS)
        return;
    replication->lost_logged_ms = now_ms;
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "%s, %zu in a row", status_word(status), replication->elections_lost);
    log_event(replication->settings.recorder, LOG_ELECTION_LOST, now_ms,
              &(LogFields){.term = term_counter(replication->lock.promised), .text = text});
}

/* Waits. Stands for election where no leader is known. again_ms: the wait after the last election that was not won; 0:
 * the last one was won, or there was none. Returns the value for the next call. */
static int64_t voter_check(Replication *replication, int64_t again_ms)
{
    if (!may_stand(replication))
        return 0;
    if (!replication->named_successor && again_ms == 0) /* a successor that the last leader named does not wait */
        loop_sleep(replication->loop, stand_delay_ms(replication));
    replication->named_successor = false;
    if (replication->phase != REPLICATION_FOLLOWING || !may_stand(replication))
        return again_ms;
    const bool skip[VOTER_MOST] = {false};
    const Status status = election_run(replication, skip);
    if (status == STATUS_OK)
        return 0;
    if (status != STATUS_EXPIRED) /* one that expired has been logged */
        lost_log(replication, status, again_ms == 0);
    again_ms = retry_wait_next(again_ms);
    loop_sleep(replication->loop, again_ms + (int64_t)(loop_random(replication->loop) % (uint64_t)(again_ms)));
    return again_ms;
}

static void watch_main(void *arg)
{
    Replication *replication = arg;
    int64_t due_ms = 0; /* when the next check is due */
    int64_t again_ms = 0;
    while (!loop_stopping(replication->loop)) {
        const int64_t now_ms = loop_now_ms(replication->loop);
        /* after a pause of the process, what has arrived meanwhile is read first */
        const bool paused = due_ms != 0 && now_ms - due_ms > WATCH_MS;
        if (due_ms != 0 && now_ms > due_ms)
            lease_pause_take(replication, now_ms - due_ms);
        lease_pause_fade(replication);
        if (replication->phase == REPLICATION_LEADING && paused && now_ms < lock_lease_until(&replication->lease)) {
            due_ms = now_ms + WATCH_MS / 4;
            loop_sleep(replication->loop, WATCH_MS / 4);
            continue;
        }
        if (replication->phase == REPLICATION_LEADING)
            leader_check(replication, now_ms);
        else if (replication->phase == REPLICATION_FOLLOWING)
            again_ms = voter_check(replication, again_ms);
        due_ms = loop_now_ms(replication->loop) + WATCH_MS;
        /* wake up when the lease that this voter granted ends */
        const int64_t lapse_ms = replication->lock.lease_until_ms;
        const bool soon = replication->phase == REPLICATION_FOLLOWING && lapse_ms > loop_now_ms(replication->loop) &&
                          lapse_ms < due_ms;
        signal_wait(replication->loop, &replication->released, soon ? lapse_ms : due_ms);
    }
}

void replication_watch(Replication *replication)
{
    loop_spawn(replication->loop, "watch", watch_main, replication);
}
