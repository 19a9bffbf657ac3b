/* The leader's lease: what it allows the leader to do, and the tasks that renew it at each peer. */
#include <talloc.h>

#include "clock.h"
#include "contact.h"
#include "leadership.h"
#include "lease.h"
#include "poll.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

bool replication_may_append(const Replication *replication)
{
    return replication->phase == REPLICATION_LEADING &&
           loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);
}

bool view_wide_enough(const Replication *replication)
{
    size_t copies = 0;
    for (int i = 0; i < VOTERS_MAX; i++)
        copies += replication->in_view[i];
    return copies >= lock_majority(voters_wanted(replication));
}

bool replication_leading(const Replication *replication)
{
    return replication_may_append(replication) && view_wide_enough(replication);
}

bool replication_lease_valid(const Replication *replication)
{
    return (replication->phase == REPLICATION_LEADING ||
            (replication->phase == REPLICATION_ELECTING && replication->reelecting)) &&
           loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);
}

bool replication_knows_leader(const Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    /* a restarted voter may have forgotten a grant: until that has expired it must not claim to know no leader */
    return lock_held(&replication->lock, now_ms) || now_ms < replication->lock.not_before_ms || replication->has_lease;
}

#define GRANT_PAUSE_FACTOR 2   /* a grant outlasts so many pauses of the recorded length */
#define PAUSE_DECAY_DIVISOR 32 /* the recorded pause loses one part in so many every LEADER_CHECK_MS: half in 2 s */
#define US_PER_MS 1000

int64_t lease_grant_ms(const Replication *replication)
{
    const int64_t grant_ms = LOCK_GRANT_MIN_MS + GRANT_PAUSE_FACTOR * replication->recent_pause_us / US_PER_MS;
    return grant_ms < LOCK_GRANT_MS && !replication->settings.longest_grant ? grant_ms : LOCK_GRANT_MS;
}

void lease_pause_record(Replication *replication, int64_t pause_ms)
{
    const int64_t most_ms = (LOCK_GRANT_MS - LOCK_GRANT_MIN_MS) / GRANT_PAUSE_FACTOR;
    const int64_t recent_pause_us = (pause_ms < most_ms ? pause_ms : most_ms) * US_PER_MS;
    if (recent_pause_us > replication->recent_pause_us)
        replication->recent_pause_us = recent_pause_us;
}

void lease_pause_decay(Replication *replication)
{
    replication->recent_pause_us -= replication->recent_pause_us / PAUSE_DECAY_DIVISOR;
}

/* The renewal interval, in ms: a short grant has as many renewals as a long one. */
static int64_t renew_ms(const Replication *replication)
{
    return lease_grant_ms(replication) * LOCK_RENEW_MS / LOCK_GRANT_MS;
}

void lease_granted(Replication *replication, int slot, int64_t sent_ms, int64_t grant_ms, uint64_t contact)
{
    replication->peers[slot].renewed_ms = sent_ms;
    replication->peers[slot].grant_ms = grant_ms;
    if (slot < VOTERS_MAX) {
        const int64_t before_ms = lock_lease_until(&replication->lease);
        lock_lease_granted(&replication->lease, slot, sent_ms, grant_ms);
        /* the delay of a majority, not of the slowest voters: a failed voter delays no renewal of the lease */
        const int64_t until_ms = lock_lease_until(&replication->lease);
        if (until_ms > before_ms)
            lease_pause_record(replication, loop_now_ms(replication->loop) + lock_lease_ms(grant_ms) - until_ms);
    }
    contact_answered(replication, slot, contact);
}

/* Suspends the coroutine. Requests an answer only (MESSAGE_PROPOSE with term 0). Returns whether the peer answered. */
static bool peer_probe(Replication *replication, const PeerTask *task, const char *address)
{
    void *mem = talloc_new(replication);
    const ProposeAsk ask = {0, replication->disk, task->disk, log_last_term(replication->log),
                            log_last_index(replication->log)};
    VoterAnswer answer = {0};
    const Status status = rpc_call(replication->settings.rpc, mem, address, MESSAGE_PROPOSE, &ProposeAsk_shape, &ask,
                                   REQUEST_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    const bool reached = poll_reached(status);
    if (reached && !peer_task_over(task))
        peer_answer_record(replication, task->slot, &answer);
    talloc_free(mem);
    return reached;
}

/* Suspends the coroutine. Sends one renewal; the grant counts from when the request was sent. */
static Status renewal_send(Replication *replication, const PeerTask *task, const char *address, int64_t sent_ms)
{
    void *mem = talloc_new(replication);
    const RenewAsk ask = {replication->term,
                          replication->disk,
                          replication->commit_index,
                          replication_clock_ms(replication),
                          members_self(replication->settings.members)->id,
                          task->disk,
                          0,
                          lease_grant_ms(replication)};
    const uint64_t contact = replication->contact_requested;
    VoterAnswer answer = {0};
    const Status status = rpc_call(replication->settings.rpc, mem, address, MESSAGE_RENEW, &RenewAsk_shape, &ask,
                                   REQUEST_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!peer_task_over(task)) {
        if (poll_reached(status))
            peer_answer_record(replication, task->slot, &answer);
        if (status == STATUS_OK)
            lease_granted(replication, task->slot, sent_ms, ask.grant_ms, contact);
    }
    talloc_free(mem);
    return status;
}

/* The task that renews the lease at one peer. A peer that receives requests from the leader but whose answers do not
 * arrive must not keep granting the lease: after an unanswered renewal, the peer is first probed (probe_first). */
static void renew_main(void *arg)
{
    const PeerTask task = *(PeerTask *)arg;
    Replication *replication = task.replication;
    talloc_free(arg);
    int64_t asked_ms = INT64_MIN;
    bool probe_first = false;
    while (!peer_task_over(&task)) {
        const int64_t sent_ms = loop_now_ms(replication->loop);
        char address[ADDRESS_MAX];
        /* appends renew the lease too, but the clock and the leader's id are sent with renewals only */
        const int64_t last_ms = replication->peers[task.slot].renewed_ms;
        if (task.disk != replication->disk && last_ms != INT64_MIN && asked_ms != INT64_MIN &&
            sent_ms - last_ms < renew_ms(replication) && sent_ms - asked_ms < LOCK_NOTIFY_MS &&
            !contact_pending(replication, task.slot)) {
            contact_wait(replication, task.slot, renew_ms(replication) - (sent_ms - last_ms));
            continue;
        }
        if (task.disk == replication->disk) {
            const int64_t grant_ms = lease_grant_ms(replication);
            if (lock_renew(&replication->lock, replication->term, replication->disk, sent_ms, grant_ms) == STATUS_OK)
                lock_lease_granted(&replication->lease, task.slot, sent_ms, grant_ms);
            wall_clock_update(replication);
        } else if (voter_address(replication, task.slot, address)) {
            Status status = STATUS_EXPIRED;
            if (probe_first) {
                probe_first = !peer_probe(replication, &task, address);
            } else {
                asked_ms = sent_ms;
                status = renewal_send(replication, &task, address, sent_ms);
                probe_first = !poll_reached(status);
            }
            if (asked_ms != sent_ms && !probe_first)
                continue; /* the peer answers again: renew immediately */
            if (status == STATUS_OK && !peer_task_over(&task) && contact_pending(replication, task.slot))
                continue; /* another contact round was requested in the meantime */
        }
        const int64_t took_ms = loop_now_ms(replication->loop) - sent_ms;
        const int64_t every_ms = renew_ms(replication);
        contact_wait(replication, task.slot, took_ms < every_ms ? every_ms - took_ms : 1);
    }
}

void renewal_start(Replication *replication, int slot)
{
    peer_task_spawn(replication, "renew", renew_main, slot);
}
