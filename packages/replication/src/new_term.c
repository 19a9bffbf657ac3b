/* The second half of an election, after a majority has promised: the new leader copies the best log of its voters,
 * appends the first entry of its term, and leads once that entry is committed. */
#include <inttypes.h>
#include <talloc.h>

#include "base/term.h"
#include "base/invariant.h"
#include "clock.h"
#include "election.h"
#include "leadership.h"
#include "lease.h"
#include "replicate.h"
#include "state.h"
#include "view_change.h"
#include "voter.h"
#include "voter_list.h"

#define CATCH_UP_CHECK_MS 100 /* interval at which a new leader checks its voters' progress, in ms */

/* Suspends the coroutine. Makes this node's log equal to that of the voter at the position, on disk too. */
static Status log_copy_from(Replication *replication, int voter)
{
    char address[ADDRESS_MAX];
    if (!voter_address(replication, voter, address))
        return STATUS_UNREACHABLE;
    void *mem = talloc_new(replication);
    LogAsk ask = {replication->term, replication->disk, 0, replication->delivered_index, replication->voters[voter]};
    log_term_at(replication->log, ask.after_index, &ask.after_term);
    LogAnswer answer = {0};
    Status status = rpc_call(replication->settings.rpc, mem, address, MESSAGE_LOG, &LogAsk_shape, &ask,
                             ELECTION_STEP_TIMEOUT_MS * 4, &LogAnswer_shape, &answer);
    if (status == STATUS_OK && replication->term != replication->lock.promised)
        status = STATUS_OLD_TERM;
    if (status == STATUS_OK && answer.whole) {
        /* in one write, so that this disk never has fewer entries than before */
        status = log_replace_all(replication, &answer.snapshot, answer.entries, answer.entries_count);
        if (status == STATUS_OK && replication->term != replication->lock.promised)
            status = STATUS_OLD_TERM;
    } else if (status == STATUS_OK) {
        AppendAsk append = {.term = replication->term, .holder = replication->disk};
        append.prev_index = answer.entries_count > 0 ? answer.entries[0].index - 1 : ask.after_index;
        log_term_at(replication->log, append.prev_index, &append.prev_term);
        append.entries = answer.entries;
        append.entries_count = answer.entries_count;
        status = voter_append(replication, &append);
    }
    talloc_free(mem);
    return status;
}

/* Starts the lease that was won: tasks renew it from now on. */
static void lease_begin(const Election *election)
{
    Replication *replication = election->replication;
    replication->term = election->term;
    if (!replication->clock_runs) /* no log contains a time stamp yet */
        replication_clock_set(replication, replication->clock_base_ms);
    if (election->new_holder) {
        replication->won_ms = loop_now_ms(replication->loop);
        lease_pause_record(replication, LOCK_GRANT_MS); /* the delay of renewals is not known yet */
    }
    replication->has_lease = true;
    replication->last_view_wait_since_ms = 0;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->voters[i] != 0)
            renewal_start(replication, i);
}

/* Suspends the coroutine. Copies the best log if another voter has it. Any status but OK: the leadership is over. */
static Status best_log_copy(Election *election)
{
    Replication *replication = election->replication;
    if (replication->voters[election->best] == replication->disk)
        return STATUS_OK;
    const Status status = log_copy_from(replication, election->best);
    /* that log may have a different list of voters, of which the promises must be a majority too */
    for (int i = 0; i < VOTERS_MAX; i++) {
        election->in_view[i] &= replication->voters[i] == election->promised[i];
        if (replication->voters[i] != 0 && replication->voters[i] != election->promised[i] &&
            !leadership_over(replication, election->generation))
            renewal_start(replication, i);
    }
    const int own = replication_own_voter(replication);
    const bool lost = promised_count(replication, election->in_view) < replication_majority(replication) || own < 0 ||
                      !election->in_view[own];
    if (!leadership_over(replication, election->generation) && status == STATUS_OK && !lost)
        return STATUS_OK;
    const Status why = lost ? STATUS_OTHER_HOLDER : status != STATUS_OK ? status : STATUS_NOT_LEADER;
    if (!leadership_over(replication, election->generation))
        leader_step_down(replication, 0);
    return why;
}

/* Appends the first entry of the term, and starts the tasks that replicate the log to all voters. */
static void first_entry_append(const Election *election)
{
    Replication *replication = election->replication;
    /* entries passed to the journal earlier are synced before later ones; entries that an earlier leadership had not
     * passed to it yet are written now */
    replication->synced_index = replication->queued_index;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->peers[i].next_index > log_last_index(replication->log) + 1)
            replication->peers[i].next_index = log_last_index(replication->log) + 1;
    view_entry_add(replication, election->in_view, election->repair);
    local_sync_start(replication);
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->voters[i] != 0)
            peer_replication_start(replication, i);
}

/* A number that grows as long as any voter makes progress. */
static uint64_t progress_sum(const Replication *replication)
{
    uint64_t sum = replication->synced_index;
    for (int i = 0; i < VOTERS_MAX; i++)
        sum += replication->peers[i].match_index + replication->peers[i].next_index;
    return sum;
}

/* Suspends the coroutine until the first entry is committed. The time limit is extended as long as a lagging voter
 * makes progress. */
static Status first_entry_await(const Election *election)
{
    Replication *replication = election->replication;
    int64_t until_ms = loop_now_ms(replication->loop) + ELECTION_STEP_TIMEOUT_MS;
    uint64_t last_sum = 0;
    while (replication->commit_index < replication->term_entry_index) {
        if (!signal_wait(replication->loop, &replication->changed,
                         loop_now_ms(replication->loop) + CATCH_UP_CHECK_MS) &&
            !leadership_over(replication, election->generation)) {
            const uint64_t sum = progress_sum(replication);
            if (sum != last_sum) {
                last_sum = sum;
                until_ms = loop_now_ms(replication->loop) + ELECTION_STEP_TIMEOUT_MS;
            }
        }
        if (leadership_over(replication, election->generation))
            return STATUS_NOT_LEADER;
        if (loop_now_ms(replication->loop) > until_ms ||
            loop_now_ms(replication->loop) > lock_lease_until(&replication->lease)) {
            log_event(replication->settings.recorder, LOG_TERM_NOT_OPENED, loop_now_ms(replication->loop),
                      &(LogFields){.term = term_counter(election->term)});
            leader_step_down(replication, 0);
            return STATUS_EXPIRED;
        }
    }
    return STATUS_OK;
}

/* Begins to lead, once the first entry is committed. */
static void leadership_begin(const Election *election)
{
    Replication *replication = election->replication;
    INVARIANT(LEADS_COMMITTED, replication->commit_index >= replication->term_entry_index);
    if (replication->settings.term_opened != NULL)
        replication->settings.term_opened(replication->settings.term_opened_arg, election->term, election->new_holder,
                                          replication->last_view.repair);
    replication->phase = REPLICATION_LEADING;
    replication->view_changed_ms = loop_now_ms(replication->loop);
    replication->view_changes++;
    members_set_leader(replication->settings.members, election->term, members_self(replication->settings.members)->id);
    if (election->new_holder)
        members_announce(replication->settings.members);
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "%zu voters%s", promised_count(replication, replication->in_view),
             replication->last_view.repair ? ", repairs" : "");
    log_event(replication->settings.recorder, LOG_ELECTION_WON, loop_now_ms(replication->loop),
              &(LogFields){.term = term_counter(election->term), .text = text});
    signal_raise(replication->loop, &replication->changed);
}

Status election_run(Replication *replication, const bool skip[VOTERS_MAX])
{
    Election election = {.replication = replication,
                         .generation = ++replication->leadership_generation,
                         .skip = skip,
                         .new_holder = !replication->has_lease,
                         .best = -1};
    replication->phase = REPLICATION_ELECTING;
    replication->reelecting = !election.new_holder;
    Status status = election_prevote(&election);
    if (status == STATUS_OK)
        status = election_promises(&election);
    if (status != STATUS_OK)
        return status;
    lease_begin(&election);
    status = best_log_copy(&election);
    if (status != STATUS_OK)
        return status;
    first_entry_append(&election);
    status = first_entry_await(&election);
    if (status == STATUS_OK)
        leadership_begin(&election);
    return status;
}
