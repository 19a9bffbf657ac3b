/* The watch task of each node: a leader checks its lease, its disk and its voters; a voter that knows no leader stands
 * for election. */
#include <stdio.h>

#include "base/term.h"
#include "disk.h"
#include "election.h"
#include "leadership.h"
#include "lease.h"
#include "state.h"
#include "view_change.h"
#include "voter_list.h"
#include "watch.h"

/* Whether a voter in the view has reached many more members than this leader for REACH_HANDOVER_MS, and is therefore
 * the better leader: the best partition of XenServer's HA design is the largest one. A leader reaches a majority of the
 * voters, but it may be cut off from other members. */
static bool better_connected_voter(Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const uint64_t own = members_reach(replication->settings.members);
    bool better_connected_now = false;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->in_view[i] && replication->voters[i] != replication->disk &&
            now_ms - replication->peers[i].answered_ms < LOCK_GRANT_MS)
            better_connected_now |=
                replication->peers[i].reach > own + REACH_MARGIN && replication->peers[i].reach > own + own / 2;
    if (!better_connected_now || now_ms - replication->won_ms < MEMBER_SILENT_MS)
        replication->better_connected_since_ms = 0;
    else if (replication->better_connected_since_ms == 0)
        replication->better_connected_since_ms = now_ms;
    return replication->better_connected_since_ms != 0 &&
           now_ms - replication->better_connected_since_ms > REACH_HANDOVER_MS;
}

/* Whether this voter knows no leader and may stand for election. */
static bool may_stand(Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (!replication_founded(replication) || !replication_is_voter(replication) ||
        replication_disk_failed(replication) || now_ms < replication->no_election_until_ms)
        return false;
    /* a leader whose disk is lost no longer leads */
    if (replication->lock.holder != replication->disk &&
        voter_disk_replaced(replication, replication->lock.holder, REPLACEMENT_SAME_ADDRESS))
        lock_release(&replication->lock, replication->lock.promised, replication->lock.holder, now_ms);
    return !lock_held(&replication->lock, now_ms) &&
           lock_may_promise(&replication->lock, UINT64_MAX, replication->disk, now_ms) == STATUS_OK;
}

/* The delay before standing for election, in ms. Instead of Raft's random election timeouts, voters stand one after
 * another, beginning at the position after the last leader's, so that two do not request each other's promise. A small
 * random part separates voters that know different lists. */
static int64_t election_delay_ms(Replication *replication)
{
    const int last = replication_voter_of(replication, replication->lock.holder),
              own = replication_own_voter(replication);
    const int places = (int)replication->places;
    const int rank = last < 0 ? own : (own - last - 1 + places) % places;
    return rank * ELECTION_STAGGER_MS + (int64_t)(loop_random(replication->loop) % (ELECTION_STAGGER_MS / 3));
}

/* Whether this node's disk delays the log: a sync takes longer than APPEND_TIMEOUT_MS, or the disk is slow and another
 * voter with a fast disk could lead. */
static bool own_disk_slow(const Replication *replication, int64_t now_ms)
{
    const int64_t since_ms = journal_sync_since(replication->journal);
    if (since_ms != INT64_MAX && now_ms - since_ms > APPEND_TIMEOUT_MS)
        return true;
    const bool late = since_ms != INT64_MAX && now_ms - since_ms > VOTER_SYNC_LATE_MS;
    return (late || replication->slow_count >= VOTER_SLOW_SYNCS) &&
           successor_choose(replication, SUCCESSOR_FAST_DISK) != 0;
}

/* The leader's check of its lease, its disk and its voters. Suspends the coroutine if a new election is needed. */
static void leader_check(Replication *replication, int64_t now_ms)
{
    bool skip[VOTERS_MAX];
    if (now_ms >= lock_lease_until(&replication->lease)) {
        log_event(replication->settings.recorder, LOG_LEADER_LEASE_LAPSED, now_ms, &(LogFields){0});
        leader_step_down(replication, 0);
    } else if (own_disk_slow(replication, now_ms)) {
        replication->slow_count = 0;
        log_event(replication->settings.recorder, LOG_DISK_SLOW, now_ms, &(LogFields){0});
        leader_step_down(replication, 0);
    } else if (better_connected_voter(replication)) {
        log_event(replication->settings.recorder, LOG_QUORUM_LOST, now_ms, &(LogFields){0});
        replication->better_connected_since_ms = 0;
        leader_step_down(replication, LOW_REACH_REST_MS);
    } else if (view_update(replication, skip)) {
        (void)election_run(replication, skip); /* a failure shows at the next check */
    }
}

/* The next wait after a lost election, in ms. Granted leases expire one after another, so the first wait is short. */
static int64_t retry_wait_next(int64_t retry_wait_ms)
{
    if (retry_wait_ms == 0)
        return ELECTION_BACKOFF_MIN_MS;
    return 2 * retry_wait_ms < ELECTION_BACKOFF_MAX_MS ? 2 * retry_wait_ms : ELECTION_BACKOFF_MAX_MS;
}

/* Logs a lost election: the first of a series immediately, then at most one line in ELECTION_LOST_LOG_MS with the
 * number of elections lost, so that the log explains a long time without a leader. */
static void election_lost_log(Replication *replication, Status status, bool first)
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

/* Suspends the coroutine. Stands for election if no leader is known. retry_wait_ms: the wait after the last lost
 * election; 0: the last election was won, or there was none. Returns the value for the next call. */
static int64_t voter_check(Replication *replication, int64_t retry_wait_ms)
{
    if (!may_stand(replication))
        return 0;
    if (!replication->named_successor && retry_wait_ms == 0) /* a successor named by the last leader does not wait */
        loop_sleep(replication->loop, election_delay_ms(replication));
    replication->named_successor = false;
    if (replication->phase != REPLICATION_FOLLOWING || !may_stand(replication))
        return retry_wait_ms;
    const bool skip[VOTERS_MAX] = {false};
    const Status status = election_run(replication, skip);
    if (status == STATUS_OK)
        return 0;
    if (status != STATUS_EXPIRED) /* an election that expired has been logged already */
        election_lost_log(replication, status, retry_wait_ms == 0);
    retry_wait_ms = retry_wait_next(retry_wait_ms);
    loop_sleep(replication->loop,
               retry_wait_ms + (int64_t)(loop_random(replication->loop) % (uint64_t)(retry_wait_ms)));
    return retry_wait_ms;
}

static void watch_main(void *arg)
{
    Replication *replication = arg;
    int64_t due_ms = 0; /* when the next check is due */
    int64_t retry_wait_ms = 0;
    while (!loop_stopping(replication->loop)) {
        const int64_t now_ms = loop_now_ms(replication->loop);
        /* after a pause of the process, messages that have arrived in the meantime are read first */
        const bool paused = due_ms != 0 && now_ms - due_ms > LEADER_CHECK_MS;
        if (due_ms != 0 && now_ms > due_ms)
            lease_pause_record(replication, now_ms - due_ms);
        lease_pause_decay(replication);
        if (replication->phase == REPLICATION_LEADING && paused && now_ms < lock_lease_until(&replication->lease)) {
            due_ms = now_ms + LEADER_CHECK_MS / 4;
            loop_sleep(replication->loop, LEADER_CHECK_MS / 4);
            continue;
        }
        if (replication->phase == REPLICATION_LEADING)
            leader_check(replication, now_ms);
        else if (replication->phase == REPLICATION_FOLLOWING)
            retry_wait_ms = voter_check(replication, retry_wait_ms);
        due_ms = loop_now_ms(replication->loop) + LEADER_CHECK_MS;
        /* wake up when the lease that this voter granted expires */
        const int64_t lapse_ms = replication->lock.lease_until_ms;
        const bool soon = replication->phase == REPLICATION_FOLLOWING && lapse_ms > loop_now_ms(replication->loop) &&
                          lapse_ms < due_ms;
        signal_wait(replication->loop, &replication->released, soon ? lapse_ms : due_ms);
    }
}

void replication_watch_start(Replication *replication)
{
    loop_spawn(replication->loop, "watch", watch_main, replication);
}
