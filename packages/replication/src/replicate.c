/* Replication by a leader (Raft: AppendEntries at the leader): one task syncs the leader's own journal, and one task
 * for each peer sends it the entries that it lacks. */
#include <talloc.h>

#include "commit.h"
#include "disk.h"
#include "leadership.h"
#include "lease.h"
#include "poll.h"
#include "replicate.h"
#include "send_snapshot.h"
#include "state.h"
#include "voter_list.h"

#define PEER_RETRY_MS 100 /* interval between attempts to reach a peer, in ms */

/* --- the local journal ---------------------------------------------------------------- */

/* Suspends the coroutine for disk I/O. Writes the next entries that are not synced yet, about JOURNAL_WRITE_BYTES at
 * most. up_to (out): the index of the last one. */
static Status local_write(Replication *replication, uint64_t *up_to)
{
    void *mem = talloc_new(replication);
    const uint64_t last_index = log_last_index(replication->log);
    const uint64_t from = replication->synced_index > replication->log->base_index ? replication->synced_index
                                                                                   : replication->log->base_index;
    Record *records = talloc_array(mem, Record, (unsigned)(last_index - from));
    size_t count = 0, bytes = 0;
    for (uint64_t i = from + 1; i <= last_index && bytes < JOURNAL_WRITE_BYTES; i++) {
        records[count] = *log_at(replication->log, i);
        bytes += records[count++].payload.count;
    }
    *up_to = from + count;
    replication->queued_index = *up_to;
    const Status status = journal_write(replication->journal, records, count);
    talloc_free(mem);
    return status;
}

/* The task that syncs the leader's own journal: the leader is one of its own voters, but needs no messages. */
static void local_main(void *arg)
{
    const PeerTask task = *(PeerTask *)arg;
    Replication *replication = task.replication;
    talloc_free(arg);
    while (!leadership_over(replication, task.generation)) {
        if (replication->synced_index >= log_last_index(replication->log)) {
            signal_wait(replication->loop, &replication->log_grew, loop_now_ms(replication->loop) + LOCK_RENEW_MS);
            continue;
        }
        uint64_t up_to;
        const int64_t start_ms = loop_now_ms(replication->loop);
        const Status status = local_write(replication, &up_to);
        if (leadership_over(replication, task.generation))
            return;
        if (status != STATUS_OK) {
            disk_failed_log(replication);
            leader_step_down(replication, 0);
            return;
        }
        replication->slow_count =
            loop_now_ms(replication->loop) - start_ms > VOTER_SLOW_MS ? replication->slow_count + 1 : 0;
        replication->synced_index = up_to;
        leader_commit_advance(replication);
    }
}

void local_sync_start(Replication *replication)
{
    peer_task_spawn(replication, "local", local_main, replication_own_voter(replication));
}

/* --- the peers ---------------------------------------------------------------------- */

/* Returns an append with the next entries for the peer, at most LOG_BATCH_ENTRIES and about LOG_BATCH_BYTES. The
 * entries are copies on mem, since the log may change before they are sent. */
static AppendAsk append_next(const Replication *replication, const PeerTask *task, void *mem)
{
    const Peer *peer = &replication->peers[task->slot];
    AppendAsk ask = {.term = replication->term,
                     .holder = replication->disk,
                     .prev_index = peer->next_index - 1,
                     .commit_index = replication->commit_index,
                     .entries = talloc_array(mem, Record, LOG_BATCH_ENTRIES),
                     .to = task->disk,
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

/* Lowers next_index after the peer's log did not match at the entry before those that were sent: to the end of the
 * peer's log, or else by LOG_BACK_STEP. If not even the first entry matches, the peer needs a snapshot. */
static void next_index_lower(const Replication *replication, Peer *peer, uint64_t peer_last_index)
{
    const uint64_t first = replication->log->base_index + 1, next = peer->next_index;
    peer->match_index = 0; /* the peer's disk may have lost synced entries */
    if (next <= first)
        peer->reinstall = true;
    else if (peer_last_index + 1 < next)
        peer->next_index = peer_last_index + 1;
    else
        peer->next_index = next > first + LOG_BACK_STEP ? next - LOG_BACK_STEP : first;
}

/* Records the duration of an append, whether the log matched or not. */
static void append_time_record(Peer *peer, int64_t took_ms)
{
    peer->append_since_ms = INT64_MAX;
    peer->append_duration_ms = took_ms;
    peer->slow_count = took_ms > VOTER_SLOW_MS ? peer->slow_count + 1 : 0;
}

/* Suspends the coroutine. Sends one append, which may be empty, and processes the answer. */
static void append_send(Replication *replication, const PeerTask *task, const char *address)
{
    Peer *peer = &replication->peers[task->slot];
    void *mem = talloc_new(replication);
    const AppendAsk ask = append_next(replication, task, mem);
    const uint64_t match = ask.prev_index + ask.entries_count, contact = replication->contact_requested;
    VoterAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(replication->loop);
    if (peer->append_since_ms == INT64_MAX)
        peer->append_since_ms = sent_ms;
    const Status status = rpc_call(replication->settings.rpc, mem, address, MESSAGE_APPEND, &AppendAsk_shape, &ask,
                                   APPEND_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!peer_task_over(task)) {
        if (poll_reached(status))
            peer_answer_record(replication, task->slot, &answer);
        if (status == STATUS_OK || status == STATUS_LOG_GAP)
            append_time_record(peer, loop_now_ms(replication->loop) - sent_ms);
        if (status == STATUS_DISK_FAILED && peer->refuses_since_ms == INT64_MAX)
            peer->refuses_since_ms = loop_now_ms(replication->loop);
        else if (status == STATUS_OK)
            peer->refuses_since_ms = INT64_MAX;
        if (status == STATUS_OK) {
            peer->match_index = match;
            peer->next_index = match + 1;
            /* a peer that accepts an append also grants the lease */
            lease_granted(replication, task->slot, sent_ms, ask.grant_ms, contact);
            leader_commit_advance(replication);
        } else if (status == STATUS_LOG_GAP) {
            next_index_lower(replication, peer, answer.log_index);
        } else {
            loop_sleep(replication->loop, PEER_RETRY_MS);
        }
    }
    talloc_free(mem);
}

/* Whether the peer is a learner whose last append was slow: it is measured again even if there are no new entries. */
static bool slow_learner(const PeerTask *task)
{
    return task->slot >= VOTERS_MAX && task->replication->peers[task->slot].append_duration_ms >= VOTER_SLOW_MS;
}

/* The task that replicates to one other voter, in the view or not, or to one learner. */
static void peer_main(void *arg)
{
    const PeerTask task = *(PeerTask *)arg;
    Replication *replication = task.replication;
    talloc_free(arg);
    Peer *peer = &replication->peers[task.slot];
    bool matched = false; /* the peer has accepted an append in this term */
    while (!peer_task_over(&task)) {
        char address[ADDRESS_MAX];
        if (!voter_address(replication, task.slot, address)) {
            loop_sleep(replication->loop, PEER_RETRY_MS);
            continue;
        }
        if (peer->reinstall || peer->next_index <= replication->log->base_index) {
            snapshot_send(replication, &task, address);
        } else if (peer->next_index <= log_last_index(replication->log) || !matched || slow_learner(&task)) {
            append_send(replication, &task, address);
            matched |= peer->match_index + 1 == peer->next_index;
            /* no commit waits for a learner, so several changes are sent in one append */
            if (task.slot >= VOTERS_MAX && peer->next_index > log_last_index(replication->log))
                loop_sleep(replication->loop, LEARNER_APPEND_INTERVAL_MS);
        } else {
            signal_wait(replication->loop, &replication->log_grew, loop_now_ms(replication->loop) + LOCK_RENEW_MS);
        }
    }
}

void peer_replication_start(Replication *replication, int slot)
{
    if (slot_disk(replication, slot) != replication->disk)
        peer_task_spawn(replication, "peer", peer_main, slot);
}
