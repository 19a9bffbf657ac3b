/* Giving up the leadership: releases the lease at the voters, so that none of them has to wait until it expires, and
 * names one of them to be the next leader. */
#include <inttypes.h>
#include <talloc.h>

#include "base/term.h"
#include "commit.h"
#include "leadership.h"
#include "state.h"
#include "voter_list.h"

/* One MESSAGE_RELEASE in flight; freed by its task. */
typedef struct Release {
    Replication *replication;
    RenewAsk ask;
    char address[ADDRESS_MAX];
} Release;

static void release_main(void *arg)
{
    Release *release = arg;
    VoterAnswer answer = {0};
    rpc_call(release->replication->settings.rpc, release, release->address, MESSAGE_RELEASE, &RenewAsk_shape,
             &release->ask, REQUEST_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    talloc_free(release);
}

void leader_release_lease(Replication *replication, uint64_t next)
{
    for (int i = 0; i < VOTERS_MAX; i++) {
        Release *release = talloc_zero(replication, Release);
        if (replication->voters[i] == 0 || replication->voters[i] == replication->disk ||
            !voter_address(replication, i, release->address)) {
            talloc_free(release);
            continue;
        }
        release->replication = replication;
        release->ask = (RenewAsk){replication->term, replication->disk, 0, 0, "", replication->voters[i], next, 0};
        loop_spawn(replication->loop, "release", release_main, release);
    }
}

uint64_t successor_choose(const Replication *replication, SuccessorKind which)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const Peer *best = NULL;
    uint64_t disk = 0;
    for (int i = 0; i < VOTERS_MAX; i++) {
        const Peer *peer = &replication->peers[i];
        if (replication->voters[i] == replication->disk || !replication->in_view[i] ||
            now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS)
            continue;
        if (which == SUCCESSOR_FAST_DISK &&
            (peer->sync_ms > VOTER_SLOW_MS / 2 || peer->append_duration_ms > VOTER_SLOW_MS / 2 ||
             (peer->append_since_ms != INT64_MAX && now_ms - peer->append_since_ms > VOTER_SYNC_LATE_MS / 2)))
            continue;
        if (best == NULL || peer->match_index > best->match_index) {
            best = peer;
            disk = replication->voters[i];
        }
    }
    return disk;
}

void leader_step_down(Replication *replication, int64_t backoff_ms)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (backoff_ms > 0)
        replication->no_election_until_ms = now_ms + backoff_ms;
    replication->leadership_generation++;
    if (replication->phase != REPLICATION_FOLLOWING || replication->has_lease) {
        if (replication->has_lease) {
            /* nothing is decided under this lease from now on, so the voters may grant another */
            lock_release(&replication->lock, replication->term, replication->disk, now_ms);
            leader_release_lease(replication, successor_choose(replication, SUCCESSOR_ANY));
            log_event(replication->settings.recorder, LOG_LEADER_STEPPED_DOWN, now_ms,
                      &(LogFields){.term = term_counter(replication->term)});
        }
        replication->phase = REPLICATION_FOLLOWING;
        replication->has_lease = false;
        lock_lease_clear(&replication->lease);
    }
    replication_waiters_end(replication, STATUS_OUTCOME_UNKNOWN);
    signal_raise(replication->loop, &replication->changed);
}
