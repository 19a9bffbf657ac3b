/* The holder's part: ordering changes, keeping the voters up to date. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* --- ordering ---------------------------------------------------------------------- */

bool lead_over(const View *view, uint64_t turn)
{
    return view->lead_turn != turn || loop_stopping(view->loop);
}

/* What a majority of the voters has synced. */
static uint64_t majority_index(const View *view)
{
    uint64_t matches[VOTER_MOST];
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        if (view->voters[i] == 0)
            continue;
        const uint64_t match = view->voters[i] == view->disk ? view->synced_index : view->peers[i].match_index;
        size_t at = count++;
        for (; at > 0 && matches[at - 1] < match; at--)
            matches[at] = matches[at - 1];
        matches[at] = match;
    }
    return count > 0 ? matches[lock_majority(count) - 1] : 0;
}

void lead_commit(View *view)
{
    uint64_t least = view->synced_index;
    for (int i = 0; i < VOTER_MOST; i++)
        if (view->in_view[i] && view->voters[i] != view->disk && view->peers[i].match_index < least)
            least = view->peers[i].match_index;
    /* the view is a majority of the voters; only while a voter was just added it may not be */
    const uint64_t majority = majority_index(view);
    if (majority < least)
        least = majority;
    if (least < view->view_index || least <= view->commit_index)
        return;
    view->commit_index = least;
    view_deliver(view);
    signal_raise(view->loop, &view->news);
}

static uint64_t learner_turn(const View *view, int slot)
{
    return slot >= VOTER_MOST ? view->learners[slot - VOTER_MOST].turn : 0;
}

bool lead_peer_over(const Lead *lead)
{
    return lead_over(lead->view, lead->turn) || slot_disk(lead->view, lead->slot) != lead->disk ||
           learner_turn(lead->view, lead->slot) != lead->learner_turn;
}

/* Syncs the own journal: a voter as the others, but asked directly. */
static void local_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    while (!lead_over(view, lead.turn)) {
        uint64_t last_index = log_last_index(view->log);
        if (view->synced_index >= last_index) {
            signal_wait(view->loop, &view->grew, loop_now_ms(view->loop) + LOCK_RENEW_MS);
            continue;
        }
        void *mem = talloc_new(view);
        const uint64_t from = view->synced_index > view->log->base_index ? view->synced_index : view->log->base_index;
        Record *records = talloc_array(mem, Record, (unsigned)(last_index - from));
        size_t count = 0, bytes = 0;
        for (uint64_t i = from + 1; i <= last_index && bytes < LOG_WRITE_BYTES; i++) {
            records[count] = *log_at(view->log, i);
            bytes += records[count++].payload.count;
        }
        last_index = from + count;
        view->queued_index = last_index;
        const int64_t start_ms = loop_now_ms(view->loop);
        const Status status = journal_write(view->journal, records, count);
        talloc_free(mem);
        if (lead_over(view, lead.turn))
            return;
        if (status != STATUS_OK) {
            recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                           "own disk failed: gives up the lock");
            lead_down(view, INT32_MAX);
            return;
        }
        view->slow_times = loop_now_ms(view->loop) - start_ms > VOTER_SLOW_MS ? view->slow_times + 1 : 0;
        view->synced_index = last_index;
        lead_commit(view);
    }
}

void lead_answered(View *view, int slot, const VoterAnswer *answer)
{
    Peer *peer = &view->peers[slot];
    peer->answered_ms = loop_now_ms(view->loop);
    peer->woke = answer->woke;
    peer->promised = answer->promised;
    peer->wall_ms = answer->wall_ms;
    peer->wall_at_ms = peer->answered_ms;
    peer->sync_ms = answer->sync_ms;
    peer->sight = answer->sight;
}

/* It grants the lock as of then, in answer to a question that was sent then. */
static void granted(View *view, int slot, int64_t sent_ms, uint64_t contact)
{
    view->peers[slot].renewed_ms = sent_ms;
    if (slot < VOTER_MOST)
        lock_lease_answered(&view->lease, slot, sent_ms);
    contact_granted(view, slot, contact);
}

static void append_one(View *view, const Lead *lead, const char *address)
{
    Peer *peer = &view->peers[lead->slot];
    void *mem = talloc_new(view);
    AppendAsk ask = {.term = view->term, .holder = view->disk, .prev_index = peer->next_index - 1, .to = lead->disk};
    log_term_at(view->log, ask.prev_index, &ask.prev_term);
    ask.commit_index = view->commit_index;
    ask.entries = talloc_array(mem, Record, LOG_BATCH_ENTRIES);
    size_t bytes = 0;
    for (uint64_t i = peer->next_index;
         i <= log_last_index(view->log) && ask.entries_count < LOG_BATCH_ENTRIES && bytes < LOG_BATCH_BYTES; i++) {
        bytes += log_at(view->log, i)->payload.count;
        shape_copy(&Record_shape, log_at(view->log, i), mem, &ask.entries[ask.entries_count++]);
    }
    const uint64_t match = ask.prev_index + ask.entries_count, contact = view->contact_asked;
    VoterAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(view->loop);
    if (peer->append_since_ms == INT64_MAX)
        peer->append_since_ms = sent_ms;
    const Status status = rpc_ask(view->settings.rpc, mem, address, MESSAGE_APPEND, &AppendAsk_shape, &ask,
                                  APPEND_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!lead_peer_over(lead)) {
        if (poll_reached(status))
            lead_answered(view, lead->slot, &answer);
        if (status == STATUS_OK || status == STATUS_LOG_GAP) {
            peer->append_since_ms = INT64_MAX;
            peer->append_took_ms = loop_now_ms(view->loop) - sent_ms;
            peer->slow_times = peer->append_took_ms > VOTER_SLOW_MS ? peer->slow_times + 1 : 0;
        }
        if (status == STATUS_OK) {
            peer->match_index = match;
            peer->next_index = match + 1;
            /* a voter that takes an append lets the lease go on as well */
            granted(view, lead->slot, sent_ms, contact);
            lead_commit(view);
        } else if (status == STATUS_LOG_GAP) {
            peer->match_index = 0; /* a disk may have lost what it had synced */
            /* back to what it has, or a good step; before the beginning only a snapshot helps */
            uint64_t next = peer->next_index;
            if (next <= view->log->base_index + 1)
                peer->refill = true;
            else if (answer.log_index + 1 < next)
                next = answer.log_index + 1;
            else
                next =
                    next > view->log->base_index + 1 + LOG_BACK_STEP ? next - LOG_BACK_STEP : view->log->base_index + 1;
            peer->next_index = next;
        } else {
            loop_sleep(view->loop, 100);
        }
    }
    talloc_free(mem);
}

/* A learner whose last append took long is measured again, also when there is nothing new. */
static bool slow_learner(const Lead *lead)
{
    return lead->slot >= VOTER_MOST && lead->view->peers[lead->slot].append_took_ms >= VOTER_SLOW_MS;
}

/* One task for each other voter, in the view or not, and for each learner. */
static void peer_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    Peer *peer = &view->peers[lead.slot];
    bool told = false; /* it has taken an append under this term */
    while (!lead_peer_over(&lead)) {
        char address[ADDRESS_MAX];
        if (!voter_address(view, lead.slot, address)) {
            loop_sleep(view->loop, 100);
            continue;
        }
        if (peer->refill || peer->next_index <= view->log->base_index) {
            fill_one(view, &lead, address);
        } else if (peer->next_index <= log_last_index(view->log) || !told || slow_learner(&lead)) {
            append_one(view, &lead, address);
            told |= peer->match_index + 1 == peer->next_index;
            /* nobody waits for a learner: it takes several changes in one append */
            if (lead.slot >= VOTER_MOST && peer->next_index > log_last_index(view->log))
                loop_sleep(view->loop, LEARNER_APPEND_MS);
        } else {
            signal_wait(view->loop, &view->grew, loop_now_ms(view->loop) + LOCK_RENEW_MS);
        }
    }
}

/* The median of the voters' wall clocks as an offset to the own clock; of two
 * the lower, so that nothing due comes early. */
static void wall_take(View *view)
{
    int64_t offsets[VOTER_MOST];
    int count = 0;
    const int64_t now_ms = loop_now_ms(view->loop);
    offsets[count++] = loop_wall_ms(view->loop) - now_ms;
    for (int i = 0; i < VOTER_MOST; i++)
        if (view->voters[i] != 0 && view->voters[i] != view->disk && view->peers[i].wall_at_ms != 0 &&
            now_ms - view->peers[i].wall_at_ms < LOCK_GRANT_MS)
            offsets[count++] = view->peers[i].wall_ms - view->peers[i].wall_at_ms;
    for (int i = 1; i < count; i++)
        for (int k = i; k > 0 && offsets[k] < offsets[k - 1]; k--) {
            const int64_t swap = offsets[k];
            offsets[k] = offsets[k - 1];
            offsets[k - 1] = swap;
        }
    if ((size_t)count == view->voter_count || !view->wall_known) {
        view->wall_offset_ms = offsets[(count - 1) / 2];
        view->wall_known = true;
    }
}

/* Asks the voter for nothing but an answer. */
static bool heard(View *view, const Lead *lead, const char *address)
{
    void *mem = talloc_new(view);
    const ProposeAsk ask = {0, view->disk, lead->disk, log_last_term(view->log), log_last_index(view->log)};
    VoterAnswer answer = {0};
    const Status status = rpc_ask(view->settings.rpc, mem, address, MESSAGE_PROPOSE, &ProposeAsk_shape, &ask,
                                  ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    const bool reached = poll_reached(status);
    if (reached && !lead_peer_over(lead))
        lead_answered(view, lead->slot, &answer);
    talloc_free(mem);
    return reached;
}

static Status renew_one(View *view, const Lead *lead, const char *address, int64_t sent_ms)
{
    void *mem = talloc_new(view);
    const RenewAsk ask = {
        view->term, view->disk, view->commit_index, view_clock_ms(view), members_self(view->settings.members)->id,
        lead->disk, 0};
    const uint64_t contact = view->contact_asked;
    VoterAnswer answer = {0};
    const Status status = rpc_ask(view->settings.rpc, mem, address, MESSAGE_RENEW, &RenewAsk_shape, &ask,
                                  ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!lead_peer_over(lead)) {
        if (poll_reached(status))
            lead_answered(view, lead->slot, &answer);
        if (status == STATUS_OK)
            granted(view, lead->slot, sent_ms, contact);
    }
    talloc_free(mem);
    return status;
}

/* A voter that hears us while we do not hear it must not go on granting: one that
 * left a renewal unanswered is first asked for an answer alone. */
static void renew_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    View *view = lead.view;
    talloc_free(arg);
    int64_t asked_ms = INT64_MIN;
    bool doubt = false;
    while (!lead_peer_over(&lead)) {
        const int64_t sent_ms = loop_now_ms(view->loop);
        char address[ADDRESS_MAX];
        /* appends renew as well; only the rest is told by renewals alone */
        const int64_t last_ms = view->peers[lead.slot].renewed_ms;
        if (lead.disk != view->disk && last_ms != INT64_MIN && asked_ms != INT64_MIN &&
            sent_ms - last_ms < LOCK_RENEW_MS && sent_ms - asked_ms < LOCK_TELL_MS && !contact_owed(view, lead.slot)) {
            contact_rest(view, lead.slot, LOCK_RENEW_MS - (sent_ms - last_ms));
            continue;
        }
        if (lead.disk == view->disk) {
            if (lock_renew(&view->lock, view->term, view->disk, sent_ms) == STATUS_OK)
                lock_lease_answered(&view->lease, lead.slot, sent_ms);
            wall_take(view);
        } else if (voter_address(view, lead.slot, address)) {
            Status status = STATUS_EXPIRED;
            if (doubt) {
                doubt = !heard(view, &lead, address);
            } else {
                asked_ms = sent_ms;
                status = renew_one(view, &lead, address, sent_ms);
                doubt = !poll_reached(status);
            }
            if (asked_ms != sent_ms && !doubt)
                continue; /* it answers again: now the renewal */
            if (status == STATUS_OK && !lead_peer_over(&lead) && contact_owed(view, lead.slot))
                continue; /* another round of contact was asked for meanwhile */
        }
        const int64_t took_ms = loop_now_ms(view->loop) - sent_ms;
        contact_rest(view, lead.slot, took_ms < LOCK_RENEW_MS ? LOCK_RENEW_MS - took_ms : 1);
    }
}

static void lead_spawn(View *view, const char *name, TaskFn fn, int slot)
{
    Lead *lead = talloc_zero(view, Lead);
    *lead = (Lead){view, view->lead_turn, slot, slot_disk(view, slot), learner_turn(view, slot)};
    loop_spawn(view->loop, name, fn, lead);
}

void lead_renew(View *view, int slot)
{
    lead_spawn(view, "renew", renew_main, slot);
}

void lead_peer(View *view, int slot)
{
    if (slot_disk(view, slot) != view->disk)
        lead_spawn(view, "peer", peer_main, slot);
}

void lead_local(View *view)
{
    lead_spawn(view, "local", local_main, view_own_voter(view));
}

/* --- giving back ----------------------------------------------------------------------- */

typedef struct Giving {
    View *view;
    RenewAsk ask;
    char address[ADDRESS_MAX];
} Giving;

static void release_main(void *arg)
{
    Giving *giving = arg;
    VoterAnswer answer = {0};
    rpc_ask(giving->view->settings.rpc, giving, giving->address, MESSAGE_RELEASE, &RenewAsk_shape, &giving->ask,
            ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    talloc_free(giving);
}

void lead_release(View *view, uint64_t next)
{
    for (int i = 0; i < VOTER_MOST; i++) {
        Giving *giving = talloc_zero(view, Giving);
        if (view->voters[i] == 0 || view->voters[i] == view->disk || !voter_address(view, i, giving->address)) {
            talloc_free(giving);
            continue;
        }
        giving->view = view;
        giving->ask = (RenewAsk){view->term, view->disk, 0, 0, "", view->voters[i], next};
        loop_spawn(view->loop, "release", release_main, giving);
    }
}

uint64_t lead_next(const View *view, bool quick)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    const Peer *best = NULL;
    uint64_t disk = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        const Peer *peer = &view->peers[i];
        if (view->voters[i] == view->disk || !view->in_view[i] || now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS)
            continue;
        if (quick && (peer->sync_ms > VOTER_SLOW_MS / 2 || peer->append_took_ms > VOTER_SLOW_MS / 2 ||
                      (peer->append_since_ms != INT64_MAX && now_ms - peer->append_since_ms > VOTER_LATE_MS / 2)))
            continue;
        if (best == NULL || peer->match_index > best->match_index) {
            best = peer;
            disk = view->voters[i];
        }
    }
    return disk;
}

void lead_down(View *view, int64_t rest_ms)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    if (rest_ms > 0)
        view->rest_until_ms = now_ms + rest_ms;
    view->lead_turn++;
    if (view->phase != VIEW_FOLLOWING || view->holding) {
        if (view->holding) {
            /* nothing is decided under this hold any more: the voters may forget it */
            lock_release(&view->lock, view->term, view->disk, now_ms);
            lead_release(view, lead_next(view, false));
            recorder_write(view->settings.recorder, RECORDER_NOTE, now_ms, "gives up view %" PRIu64,
                           term_counter(view->term));
        }
        view->phase = VIEW_FOLLOWING;
        view->holding = false;
        lock_lease_clear(&view->lease);
    }
    view_waiters_end(view, STATUS_OUTCOME_UNKNOWN);
    signal_raise(view->loop, &view->news);
}
