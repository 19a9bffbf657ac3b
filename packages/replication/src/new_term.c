/* Opening a term once its promises are there: the new leader takes the best log of its voters over,
 * orders the first entry of its term, and leads when that is committed. */
#include <assert.h>
#include <inttypes.h>
#include <talloc.h>

#include "base/term.h"
#include "clock.h"
#include "election.h"
#include "leading.h"
#include "lease.h"
#include "replicate.h"
#include "state.h"
#include "configuration_change.h"
#include "voter.h"
#include "voter_list.h"

#define GAIN_LOOK_MS 100 /* ms; a new leader looks so often whether its voters gain */

/* Waits. Makes the own log equal to that of the voter at the place. */
static Status log_adopt(Replication *replication, int voter)
{
    char address[ADDRESS_MAX];
    if (!voter_address(replication, voter, address))
        return STATUS_UNREACHABLE;
    void *mem = talloc_new(replication);
    LogAsk ask = {replication->term, replication->disk, 0, replication->delivered_index, replication->voters[voter]};
    log_term_at(replication->log, ask.after_index, &ask.after_term);
    LogAnswer answer = {0};
    Status status = rpc_ask(replication->settings.rpc, mem, address, MESSAGE_LOG, &LogAsk_shape, &ask,
                            ELECTION_STEP_TIMEOUT_MS * 4, &LogAnswer_shape, &answer);
    if (status == STATUS_OK && replication->term != replication->lock.promised)
        status = STATUS_OLD_TERM;
    if (status == STATUS_OK && answer.whole) {
        /* in one write, so that this disk never has less than before */
        status = voter_replace(replication, &answer.snapshot, answer.entries, answer.entries_count);
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

/* The lease is won: it is renewed from here on. */
static void lease_begin(const Opening *opening)
{
    Replication *replication = opening->replication;
    replication->term = opening->term;
    if (!replication->clock_runs) /* no log has a time yet */
        replication_clock_set(replication, replication->clock_base_ms);
    if (opening->new_holder)
        replication->won_ms = loop_now_ms(replication->loop);
    replication->holding = true;
    replication->restarted_since_ms = 0;
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] != 0)
            lead_renew(replication, i);
}

/* Waits. Takes the best log over, when that is another's. Any status but OK: the lead is over. */
static Status best_adopt(Opening *opening)
{
    Replication *replication = opening->replication;
    if (replication->voters[opening->best] == replication->disk)
        return STATUS_OK;
    const Status status = log_adopt(replication, opening->best);
    /* that log may have another list of voters: the promises must be a majority of those too */
    for (int i = 0; i < VOTER_MOST; i++) {
        opening->in_configuration[i] &= replication->voters[i] == opening->promised[i];
        if (replication->voters[i] != 0 && replication->voters[i] != opening->promised[i] &&
            !lead_over(replication, opening->turn))
            lead_renew(replication, i);
    }
    const int own = replication_own_voter(replication);
    const bool lost = promised_count(replication, opening->in_configuration) < replication_majority(replication) ||
                      own < 0 || !opening->in_configuration[own];
    if (!lead_over(replication, opening->turn) && status == STATUS_OK && !lost)
        return STATUS_OK;
    const Status why = lost ? STATUS_OTHER_HOLDER : status != STATUS_OK ? status : STATUS_NOT_LEADER;
    if (!lead_over(replication, opening->turn))
        lead_down(replication, 0);
    return why;
}

/* Orders the first entry of the term, and has it sent to all voters with all before it. */
static void entry_order(const Opening *opening)
{
    Replication *replication = opening->replication;
    /* what the journal was given before is synced before what follows; what an earlier lead had not
     * given it yet is written now */
    replication->synced_index = replication->queued_index;
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->peers[i].next_index > log_last_index(replication->log) + 1)
            replication->peers[i].next_index = log_last_index(replication->log) + 1;
    lead_view_entry(replication, opening->in_configuration, opening->repair);
    lead_local(replication);
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] != 0)
            lead_peer(replication, i);
}

/* Grows while any voter comes nearer to the end of the log. */
static uint64_t gained_sum(const Replication *replication)
{
    uint64_t sum = replication->synced_index;
    for (int i = 0; i < VOTER_MOST; i++)
        sum += replication->peers[i].match_index + replication->peers[i].next_index;
    return sum;
}

/* Waits until the first entry is committed. A voter that lags is waited for while it gains. */
static Status entry_committed(const Opening *opening)
{
    Replication *replication = opening->replication;
    int64_t until_ms = loop_now_ms(replication->loop) + ELECTION_STEP_TIMEOUT_MS;
    uint64_t gained = 0;
    while (replication->commit_index < replication->replication_index) {
        if (!signal_wait(replication->loop, &replication->updates, loop_now_ms(replication->loop) + GAIN_LOOK_MS) &&
            !lead_over(replication, opening->turn)) {
            const uint64_t sum = gained_sum(replication);
            if (sum != gained) {
                gained = sum;
                until_ms = loop_now_ms(replication->loop) + ELECTION_STEP_TIMEOUT_MS;
            }
        }
        if (lead_over(replication, opening->turn))
            return STATUS_NOT_LEADER;
        if (loop_now_ms(replication->loop) > until_ms ||
            loop_now_ms(replication->loop) > lock_lease_until(&replication->lease)) {
            log_event(replication->settings.recorder, LOG_TERM_NOT_OPENED, loop_now_ms(replication->loop),
                      &(LogFields){.term = term_counter(opening->term)});
            lead_down(replication, 0);
            return STATUS_EXPIRED;
        }
    }
    return STATUS_OK;
}

/* The first entry is committed: this node leads. */
static void lead_begin(const Opening *opening)
{
    Replication *replication = opening->replication;
    assert(replication->commit_index >= replication->replication_index);
    if (replication->settings.opened != NULL)
        replication->settings.opened(replication->settings.opened_arg, opening->term, opening->new_holder,
                                     replication->last.repair);
    replication->phase = REPLICATION_LEADING;
    replication->changed_ms = loop_now_ms(replication->loop);
    replication->configuration_changes++;
    members_set_leader(replication->settings.members, opening->term, members_self(replication->settings.members)->id);
    if (opening->new_holder)
        members_announce(replication->settings.members);
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "%zu voters%s", promised_count(replication, replication->in_configuration),
             replication->last.repair ? ", repairs" : "");
    log_event(replication->settings.recorder, LOG_ELECTION_WON, loop_now_ms(replication->loop),
              &(LogFields){.term = term_counter(opening->term), .text = text});
    signal_raise(replication->loop, &replication->updates);
}

Status replication_open(Replication *replication, const bool skip[VOTER_MOST])
{
    Opening opening = {.replication = replication,
                       .turn = ++replication->lead_turn,
                       .skip = skip,
                       .new_holder = !replication->holding,
                       .best = -1};
    replication->phase = REPLICATION_OPENING;
    replication->reopening = !opening.new_holder;
    Status status = election_hear(&opening);
    if (status == STATUS_OK)
        status = election_promises(&opening);
    if (status != STATUS_OK)
        return status;
    lease_begin(&opening);
    status = best_adopt(&opening);
    if (status != STATUS_OK)
        return status;
    entry_order(&opening);
    status = entry_committed(&opening);
    if (status == STATUS_OK)
        lead_begin(&opening);
    return status;
}
