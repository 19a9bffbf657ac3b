/* The leader's lease: what it allows the leader to do, and the task for each peer that renews it. */
#include <talloc.h>

#include "clock.h"
#include "contact.h"
#include "leading.h"
#include "lease.h"
#include "poll.h"
#include "state.h"
#include "voter_list.h"
#include "voters.h"

bool replication_may_order(const Replication *replication)
{
    return replication->phase == REPLICATION_LEADING &&
           loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);
}

bool view_wide_enough(const Replication *replication)
{
    size_t copies = 0;
    for (int i = 0; i < VOTER_MOST; i++)
        copies += replication->in_view[i];
    return copies >= lock_majority(voters_wanted(replication));
}

bool replication_leading(const Replication *replication)
{
    return replication_may_order(replication) && view_wide_enough(replication);
}

bool replication_leased(const Replication *replication)
{
    return (replication->phase == REPLICATION_LEADING ||
            (replication->phase == REPLICATION_ELECTING && replication->reelecting)) &&
           loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);
}

bool replication_knows_holder(const Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    /* a restarted voter may have forgotten what it granted: until that has lapsed it must not
     * say that it knows no leader */
    return lock_held(&replication->lock, now_ms) || now_ms < replication->lock.not_before_ms || replication->has_lease;
}

#define PAUSE_TIMES 2      /* count; a grant outlasts so many pauses of the kind that was seen lately */
#define PAUSE_FADE_PART 32 /* of a pause that was seen, one part in so many is forgotten each WATCH_MS: half in 2 s */
#define US_PER_MS 1000

int64_t lease_grant_ms(const Replication *replication)
{
    const int64_t grant_ms = LOCK_GRANT_LEAST_MS + PAUSE_TIMES * replication->pause_us / US_PER_MS;
    return grant_ms < LOCK_GRANT_MS && !replication->settings.longest_grant ? grant_ms : LOCK_GRANT_MS;
}

void lease_pause_take(Replication *replication, int64_t pause_ms)
{
    const int64_t most_ms = (LOCK_GRANT_MS - LOCK_GRANT_LEAST_MS) / PAUSE_TIMES;
    const int64_t pause_us = (pause_ms < most_ms ? pause_ms : most_ms) * US_PER_MS;
    if (pause_us > replication->pause_us)
        replication->pause_us = pause_us;
}

void lease_pause_fade(Replication *replication)
{
    replication->pause_us -= replication->pause_us / PAUSE_FADE_PART;
}

/* The time between two renewals: as many fit in a short grant as in a long one. */
static int64_t renew_ms(const Replication *replication)
{
    return lease_grant_ms(replication) * LOCK_RENEW_MS / LOCK_GRANT_MS;
}

void lease_granted(Replication *replication, int slot, int64_t sent_ms, int64_t grant_ms, uint64_t contact)
{
    replication->peers[slot].renewed_ms = sent_ms;
    replication->peers[slot].grant_ms = grant_ms;
    if (slot < VOTER_MOST) {
        const int64_t before_ms = lock_lease_until(&replication->lease);
        lock_lease_answered(&replication->lease, slot, sent_ms, grant_ms);
        /* how long a majority took, not its slowest voters: a dead one delays no renewal of the lease */
        const int64_t until_ms = lock_lease_until(&replication->lease);
        if (until_ms > before_ms)
            lease_pause_take(replication, loop_now_ms(replication->loop) + lock_lease_ms(grant_ms) - until_ms);
    }
    contact_granted(replication, slot, contact);
}

/* Waits. Asks the peer only for an answer (MESSAGE_PROPOSE with term 0). Whether it answered. */
static bool peer_answers(Replication *replication, const Lead *lead, const char *address)
{
    void *mem = talloc_new(replication);
    const ProposeAsk ask = {0, replication->disk, lead->disk, log_last_term(replication->log),
                            log_last_index(replication->log)};
    VoterAnswer answer = {0};
    const Status status = rpc_ask(replication->settings.rpc, mem, address, MESSAGE_PROPOSE, &ProposeAsk_shape, &ask,
                                  ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    const bool reached = poll_reached(status);
    if (reached && !lead_peer_over(lead))
        lead_answered(replication, lead->slot, &answer);
    talloc_free(mem);
    return reached;
}

/* Waits. One renewal: a grant counts from when the request was sent. */
static Status renew_one(Replication *replication, const Lead *lead, const char *address, int64_t sent_ms)
{
    void *mem = talloc_new(replication);
    const RenewAsk ask = {replication->term,
                          replication->disk,
                          replication->commit_index,
                          replication_clock_ms(replication),
                          members_self(replication->settings.members)->id,
                          lead->disk,
                          0,
                          lease_grant_ms(replication)};
    const uint64_t contact = replication->contact_asked;
    VoterAnswer answer = {0};
    const Status status = rpc_ask(replication->settings.rpc, mem, address, MESSAGE_RENEW, &RenewAsk_shape, &ask,
                                  ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!lead_peer_over(lead)) {
        if (poll_reached(status))
            lead_answered(replication, lead->slot, &answer);
        if (status == STATUS_OK)
            lease_granted(replication, lead->slot, sent_ms, ask.grant_ms, contact);
    }
    talloc_free(mem);
    return status;
}

/* A peer that hears the leader while the leader does not hear it must not go on granting the lease: after an
 * unanswered renewal it is first asked only for an answer (doubt). */
static void renew_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    Replication *replication = lead.replication;
    talloc_free(arg);
    int64_t asked_ms = INT64_MIN;
    bool doubt = false;
    while (!lead_peer_over(&lead)) {
        const int64_t sent_ms = loop_now_ms(replication->loop);
        char address[ADDRESS_MAX];
        /* appends renew the lease as well; the clock and the leader's id are sent with renewals only */
        const int64_t last_ms = replication->peers[lead.slot].renewed_ms;
        if (lead.disk != replication->disk && last_ms != INT64_MIN && asked_ms != INT64_MIN &&
            sent_ms - last_ms < renew_ms(replication) && sent_ms - asked_ms < LOCK_NOTIFY_MS &&
            !contact_owed(replication, lead.slot)) {
            contact_rest(replication, lead.slot, renew_ms(replication) - (sent_ms - last_ms));
            continue;
        }
        if (lead.disk == replication->disk) {
            const int64_t grant_ms = lease_grant_ms(replication);
            if (lock_renew(&replication->lock, replication->term, replication->disk, sent_ms, grant_ms) == STATUS_OK)
                lock_lease_answered(&replication->lease, lead.slot, sent_ms, grant_ms);
            wall_take(replication);
        } else if (voter_address(replication, lead.slot, address)) {
            Status status = STATUS_EXPIRED;
            if (doubt) {
                doubt = !peer_answers(replication, &lead, address);
            } else {
                asked_ms = sent_ms;
                status = renew_one(replication, &lead, address, sent_ms);
                doubt = !poll_reached(status);
            }
            if (asked_ms != sent_ms && !doubt)
                continue; /* it answers again: renew at once */
            if (status == STATUS_OK && !lead_peer_over(&lead) && contact_owed(replication, lead.slot))
                continue; /* another contact round was requested meanwhile */
        }
        const int64_t took_ms = loop_now_ms(replication->loop) - sent_ms;
        const int64_t every_ms = renew_ms(replication);
        contact_rest(replication, lead.slot, took_ms < every_ms ? every_ms - took_ms : 1);
    }
}

void lead_renew(Replication *replication, int slot)
{
    lead_spawn(replication, "renew", renew_main, slot);
}
