/* Replication under a leader (Raft: AppendEntries at the leader): one task syncs the leader's own
 * journal, one for each peer sends it the entries that it lacks. */
#include <talloc.h>

#include "commit.h"
#include "disk.h"
#include "leading.h"
#include "lease.h"
#include "poll.h"
#include "replicate.h"
#include "send_snapshot.h"
#include "state.h"
#include "voter_list.h"

#define PEER_AGAIN_MS 100 /* ms; a peer that could not be asked is tried again after this */

/* --- the own journal ---------------------------------------------------------------- */

/* Waits for the disk. Writes the next entries that are not synced yet, at most LOG_WRITE_BYTES of
 * them; up_to: the index of the last one. */
static Status local_write(Replication *replication, uint64_t *up_to)
{
    void *mem = talloc_new(replication);
    const uint64_t last_index = log_last_index(replication->log);
    const uint64_t from = replication->synced_index > replication->log->base_index ? replication->synced_index
                                                                                   : replication->log->base_index;
    Record *records = talloc_array(mem, Record, (unsigned)(last_index - from));
    size_t count = 0, bytes = 0;
    for (uint64_t i = from + 1; i <= last_index && bytes < LOG_WRITE_BYTES; i++) {
        records[count] = *log_at(replication->log, i);
        bytes += records[count++].payload.count;
    }
    *up_to = from + count;
    replication->queued_index = *up_to;
    const Status status = journal_write(replication->journal, records, count);
    talloc_free(mem);
    return status;
}

/* The leader as one of its own voters: it syncs entries like the others, without messages. */
static void local_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    Replication *replication = lead.replication;
    talloc_free(arg);
    while (!lead_over(replication, lead.generation)) {
        if (replication->synced_index >= log_last_index(replication->log)) {
            signal_wait(replication->loop, &replication->grew, loop_now_ms(replication->loop) + LOCK_RENEW_MS);
            continue;
        }
        uint64_t up_to;
        const int64_t start_ms = loop_now_ms(replication->loop);
        const Status status = local_write(replication, &up_to);
        if (lead_over(replication, lead.generation))
            return;
        if (status != STATUS_OK) {
            disk_failed_log(replication);
            lead_down(replication, 0);
            return;
        }
        replication->slow_times =
            loop_now_ms(replication->loop) - start_ms > VOTER_SLOW_MS ? replication->slow_times + 1 : 0;
        replication->synced_index = up_to;
        lead_commit(replication);
    }
}

void lead_local(Replication *replication)
{
    lead_spawn(replication, "local", local_main, replication_own_voter(replication));
}

/* --- the peers ---------------------------------------------------------------------- */

/* The next entries for the peer, at most LOG_BATCH_ENTRIES and about LOG_BATCH_BYTES; copies on
 * mem, since the log may change before they are sent. */
static AppendAsk append_next(const Replication *replication, const Lead *lead, void *mem)
{
    const Peer *peer = &replication->peers[lead->slot];
    AppendAsk ask = {.term = replication->term,
                     .holder = replication->disk,
                     .prev_index = peer->next_index - 1,
                     .commit_index = replication->commit_index,
                     .entries = talloc_array(mem, Record, LOG_BATCH_ENTRIES),
                     .to = lead->disk,
                     .grant_ms = lease_grant_ms(replication)};
    log_term_at(replication->log, ask.prev_index, &ask.prev_term);
    size_t bytes = 0;
    for (uint64_t i = peer->next_index;
         i <= log_last_index(replication->log) && ask.entries_count < LOG_BATCH_ENTRIES && bytes < LOG_BATCH_BYTES;
         i++) {
        bytes += log_at(replication->log, i)->payload.count;
        shape_copy_flat(&Record_shape, log_at(replication->log, i), mem, &ask.entries[ask.entries_count++]);
    }
    return ask;
}

/* The peer's log does not match at the entry before those that were sent: goes back to the end of the
 * peer's log, or else by LOG_BACK_STEP. Before the first entry only a snapshot helps. */
static void peer_go_back(const Replication *replication, Peer *peer, uint64_t peer_last_index)
{
    const uint64_t first = replication->log->base_index + 1, next = peer->next_index;
    peer->match_index = 0; /* its disk may have lost what it had synced */
    if (next <= first)
        peer->reinstall = true;
    else if (peer_last_index + 1 < next)
        peer->next_index = peer_last_index + 1;
    else
        peer->next_index = next > first + LOG_BACK_STEP ? next - LOG_BACK_STEP : first;
}

/* Records how long the append took, whether the log matched or not. */
static void peer_took(Peer *peer, int64_t took_ms)
{
    peer->append_since_ms = INT64_MAX;
    peer->append_took_ms = took_ms;
    peer->slow_times = took_ms > VOTER_SLOW_MS ? peer->slow_times + 1 : 0;
}

/* Waits. Sends one append, which may be empty, and takes the answer. */
static void append_one(Replication *replication, const Lead *lead, const char *address)
{
    Peer *peer = &replication->peers[lead->slot];
    void *mem = talloc_new(replication);
    const AppendAsk ask = append_next(replication, lead, mem);
    const uint64_t match = ask.prev_index + ask.entries_count, contact = replication->contact_asked;
    VoterAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(replication->loop);
    if (peer->append_since_ms == INT64_MAX)
        peer->append_since_ms = sent_ms;
    const Status status = rpc_ask(replication->settings.rpc, mem, address, MESSAGE_APPEND, &AppendAsk_shape, &ask,
                                  APPEND_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!lead_peer_over(lead)) {
        if (poll_reached(status))
            lead_answered(replication, lead->slot, &answer);
        if (status == STATUS_OK || status == STATUS_LOG_GAP)
            peer_took(peer, loop_now_ms(replication->loop) - sent_ms);
        if (status == STATUS_DISK_FAILED && peer->refuses_since_ms == INT64_MAX)
            peer->refuses_since_ms = loop_now_ms(replication->loop);
        else if (status == STATUS_OK)
            peer->refuses_since_ms = INT64_MAX;
        if (status == STATUS_OK) {
            peer->match_index = match;
            peer->next_index = match + 1;
            lease_granted(replication, lead->slot, sent_ms, ask.grant_ms,
                          contact); /* a peer that takes an append grants the lease as well */
            lead_commit(replication);
        } else if (status == STATUS_LOG_GAP) {
            peer_go_back(replication, peer, answer.log_index);
        } else {
            loop_sleep(replication->loop, PEER_AGAIN_MS);
        }
    }
    talloc_free(mem);
}

/* A learner whose last append took long is measured again, also when there is nothing new. */
static bool slow_learner(const Lead *lead)
{
    return lead->slot >= VOTER_MOST && lead->replication->peers[lead->slot].append_took_ms >= VOTER_SLOW_MS;
}

/* The task for one other voter, in the view or not, or for one learner. */
static void peer_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    Replication *replication = lead.replication;
    talloc_free(arg);
    Peer *peer = &replication->peers[lead.slot];
    bool matched = false; /* it has taken an append in this term */
    while (!lead_peer_over(&lead)) {
        char address[ADDRESS_MAX];
        if (!voter_address(replication, lead.slot, address)) {
            loop_sleep(replication->loop, PEER_AGAIN_MS);
            continue;
        }
        if (peer->reinstall || peer->next_index <= replication->log->base_index) {
            install_snapshot_one(replication, &lead, address);
        } else if (peer->next_index <= log_last_index(replication->log) || !matched || slow_learner(&lead)) {
            append_one(replication, &lead, address);
            matched |= peer->match_index + 1 == peer->next_index;
            /* nobody waits for a learner: it takes several changes in one append */
            if (lead.slot >= VOTER_MOST && peer->next_index > log_last_index(replication->log))
                loop_sleep(replication->loop, LEARNER_APPEND_MS);
        } else {
            signal_wait(replication->loop, &replication->grew, loop_now_ms(replication->loop) + LOCK_RENEW_MS);
        }
    }
}

void lead_peer(Replication *replication, int slot)
{
    if (slot_disk(replication, slot) != replication->disk)
        lead_spawn(replication, "peer", peer_main, slot);
}
