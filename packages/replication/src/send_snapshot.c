/* Sends a snapshot (Raft: InstallSnapshot at the leader) to a peer whose log cannot be made to match by appends. A
 * small snapshot is sent in one message, a larger one in pieces, each with a deadline of its own, so that a large state
 * can pass through a slow link and renewals of the lease are sent between the pieces. */
#include <talloc.h>

#include "leadership.h"
#include "poll.h"
#include "send_snapshot.h"
#include "snapshot.h"
#include "state.h"

#define INSTALL_SNAPSHOT_TIMEOUT_MS (4 * ELECTION_STEP_TIMEOUT_MS) /* time limit of one piece on a slow link, in ms */

/* Suspends the coroutine. Sends one piece of the snapshot, or the complete snapshot. */
static Status piece_send(Replication *replication, const PeerTask *task, const char *address, InstallSnapshotAsk *ask,
                         Bytes whole, VoterAnswer *answer)
{
    void *mem = talloc_new(replication);
    const size_t left = whole.count - (size_t)ask->from;
    ask->term = replication->term;
    ask->commit_index = replication->commit_index;
    ask->snapshot.payload =
        (Bytes){whole.data + ask->from, left < SNAPSHOT_PIECE_BYTES ? left : SNAPSHOT_PIECE_BYTES, 0};
    if (ask->total == 0)
        ask->snapshot.payload = whole;
    const Status status =
        rpc_call(replication->settings.rpc, mem, address, MESSAGE_INSTALL_SNAPSHOT, &InstallSnapshotAsk_shape, ask,
                 INSTALL_SNAPSHOT_TIMEOUT_MS, &VoterAnswer_shape, answer);
    if (!peer_task_over(task) && poll_reached(status))
        peer_answer_record(replication, task->slot, answer);
    talloc_free(mem);
    return status;
}

/* Whether there is another piece to send after this answer; if so, sets ask->from to its beginning. */
static bool next_piece_choose(InstallSnapshotAsk *ask, Status status, const VoterAnswer *answer, size_t sent)
{
    if (ask->total == 0)
        return false;
    if (status == STATUS_BUSY) {
        ask->from += sent;
        return ask->from < ask->total;
    }
    if (status != STATUS_LOG_GAP || answer->snapshot_bytes_here >= ask->total ||
        answer->snapshot_bytes_here == ask->from)
        return false;
    ask->from = answer->snapshot_bytes_here;
    return true;
}

void snapshot_send(Replication *replication, const PeerTask *task, const char *address)
{
    Peer *peer = &replication->peers[task->slot];
    /* a peer with a divergent history needs the newest snapshot; but it may already have pieces of a large one, and a
     * new snapshot would start from the beginning */
    if (replication->log->snapshot.kind != RECORD_SNAPSHOT ||
        (peer->reinstall && replication->log->snapshot.payload.count <= SNAPSHOT_SINGLE_BYTES))
        replication_compact_if_due(replication, true);
    if (replication->log->snapshot.kind != RECORD_SNAPSHOT) {
        loop_sleep(replication->loop, LOCK_RENEW_MS);
        return;
    }
    void *mem = talloc_new(replication);
    InstallSnapshotAsk ask = {.holder = replication->disk, .to = task->disk, .over = peer->reinstall};
    shape_copy(&Record_shape, &replication->log->snapshot, mem, &ask.snapshot);
    const Bytes whole = ask.snapshot.payload;
    const uint64_t index = ask.snapshot.index;
    if (whole.count > SNAPSHOT_SINGLE_BYTES) {
        ask.total = whole.count;
        ask.checksum = bytes_crc(whole.data, whole.count);
    }
    VoterAnswer answer;
    Status status;
    do {
        answer = (VoterAnswer){0};
        status = piece_send(replication, task, address, &ask, whole, &answer);
    } while (!peer_task_over(task) && next_piece_choose(&ask, status, &answer, ask.snapshot.payload.count));
    if (!peer_task_over(task)) {
        if (status == STATUS_OK) {
            peer->match_index = index;
            peer->next_index = index + 1;
            peer->reinstall = false;
            log_event(replication->settings.recorder, LOG_SNAPSHOT_SENT, loop_now_ms(replication->loop),
                      &(LogFields){.index = index, .peer_disk = task->disk});
        } else {
            loop_sleep(replication->loop, LOCK_RENEW_MS);
        }
    }
    talloc_free(mem);
}
