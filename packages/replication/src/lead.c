/* The holder's part: ordering changes, keeping the voters up to date. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "inside.h"

/* --- ordering ---------------------------------------------------------------------- */

bool lead_over(const Replication *replication, uint64_t turn)
{
    return replication->lead_turn != turn || loop_stopping(replication->loop);
}

/* What a majority of the voters has synced. */
static uint64_t majority_index(const Replication *replication)
{
    uint64_t matches[VOTER_MOST];
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        if (replication->voters[i] == 0)
            continue;
        const uint64_t match =
            replication->voters[i] == replication->disk ? replication->synced_index : replication->peers[i].match_index;
        size_t at = count++;
        for (; at > 0 && matches[at - 1] < match; at--)
            matches[at] = matches[at - 1];
        matches[at] = match;
    }
    return count > 0 ? matches[lock_majority(count) - 1] : 0;
}

void lead_commit(Replication *replication)
{
    uint64_t least = replication->synced_index;
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->in_configuration[i] && replication->voters[i] != replication->disk &&
            replication->peers[i].match_index < least)
            least = replication->peers[i].match_index;
    /* the view is a majority of the voters; only while a voter was just added it may not be */
    const uint64_t majority = majority_index(replication);
    if (majority < least)
        least = majority;
    if (least < replication->replication_index || least <= replication->commit_index)
        return;
    replication->commit_index = least;
    replication_deliver(replication);
    signal_raise(replication->loop, &replication->news);
}

static uint64_t learner_turn(const Replication *replication, int slot)
{
    return slot >= VOTER_MOST ? replication->learners[slot - VOTER_MOST].turn : 0;
}

bool lead_peer_over(const Lead *lead)
{
    return lead_over(lead->replication, lead->turn) || slot_disk(lead->replication, lead->slot) != lead->disk ||
           learner_turn(lead->replication, lead->slot) != lead->learner_turn;
}

/* Syncs the own journal: a voter as the others, but asked directly. */
static void local_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    Replication *replication = lead.replication;
    talloc_free(arg);
    while (!lead_over(replication, lead.turn)) {
        uint64_t last_index = log_last_index(replication->log);
        if (replication->synced_index >= last_index) {
            signal_wait(replication->loop, &replication->grew, loop_now_ms(replication->loop) + LOCK_RENEW_MS);
            continue;
        }
        void *mem = talloc_new(replication);
        const uint64_t from = replication->synced_index > replication->log->base_index ? replication->synced_index
                                                                                       : replication->log->base_index;
        Record *records = talloc_array(mem, Record, (unsigned)(last_index - from));
        size_t count = 0, bytes = 0;
        for (uint64_t i = from + 1; i <= last_index && bytes < LOG_WRITE_BYTES; i++) {
            records[count] = *log_at(replication->log, i);
            bytes += records[count++].payload.count;
        }
        last_index = from + count;
        replication->queued_index = last_index;
        const int64_t start_ms = loop_now_ms(replication->loop);
        const Status status = journal_write(replication->journal, records, count);
        talloc_free(mem);
        if (lead_over(replication, lead.turn))
            return;
        if (status != STATUS_OK) {
            recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                           "own disk failed: gives up the lock");
            lead_down(replication, INT32_MAX);
            return;
        }
        replication->slow_times =
            loop_now_ms(replication->loop) - start_ms > VOTER_SLOW_MS ? replication->slow_times + 1 : 0;
        replication->synced_index = last_index;
        lead_commit(replication);
    }
}

void lead_answered(Replication *replication, int slot, const VoterAnswer *answer)
{
    Peer *peer = &replication->peers[slot];
    peer->answered_ms = loop_now_ms(replication->loop);
    peer->woke = answer->woke;
    peer->promised = answer->promised;
    peer->wall_ms = answer->wall_ms;
    peer->wall_at_ms = peer->answered_ms;
    peer->sync_ms = answer->sync_ms;
    peer->sight = answer->sight;
}

/* It grants the lock as of then, in answer to a question that was sent then. */
static void granted(Replication *replication, int slot, int64_t sent_ms, uint64_t contact)
{
    replication->peers[slot].renewed_ms = sent_ms;
    if (slot < VOTER_MOST)
        lock_lease_answered(&replication->lease, slot, sent_ms);
    contact_granted(replication, slot, contact);
}

static void append_one(Replication *replication, const Lead *lead, const char *address)
{
    Peer *peer = &replication->peers[lead->slot];
    void *mem = talloc_new(replication);
    AppendAsk ask = {
        .term = replication->term, .holder = replication->disk, .prev_index = peer->next_index - 1, .to = lead->disk};
    log_term_at(replication->log, ask.prev_index, &ask.prev_term);
    ask.commit_index = replication->commit_index;
    ask.entries = talloc_array(mem, Record, LOG_BATCH_ENTRIES);
    size_t bytes = 0;
    for (uint64_t i = peer->next_index;
         i <= log_last_index(replication->log) && ask.entries_count < LOG_BATCH_ENTRIES && bytes < LOG_BATCH_BYTES;
         i++) {
        bytes += log_at(replication->log, i)->payload.count;
        shape_copy(&Record_shape, log_at(replication->log, i), mem, &ask.entries[ask.entries_count++]);
    }
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
        if (status == STATUS_OK || status == STATUS_LOG_GAP) {
            peer->append_since_ms = INT64_MAX;
            peer->append_took_ms = loop_now_ms(replication->loop) - sent_ms;
            peer->slow_times = peer->append_took_ms > VOTER_SLOW_MS ? peer->slow_times + 1 : 0;
        }
        if (status == STATUS_OK) {
            peer->match_index = match;
            peer->next_index = match + 1;
            /* a voter that takes an append lets the lease go on as well */
            granted(replication, lead->slot, sent_ms, contact);
            lead_commit(replication);
        } else if (status == STATUS_LOG_GAP) {
            peer->match_index = 0; /* a disk may have lost what it had synced */
            /* back to what it has, or a good step; before the beginning only a snapshot helps */
            uint64_t next = peer->next_index;
            if (next <= replication->log->base_index + 1)
                peer->refill = true;
            else if (answer.log_index + 1 < next)
                next = answer.log_index + 1;
            else
                next = next > replication->log->base_index + 1 + LOG_BACK_STEP ? next - LOG_BACK_STEP
                                                                               : replication->log->base_index + 1;
            peer->next_index = next;
        } else {
            loop_sleep(replication->loop, 100);
        }
    }
    talloc_free(mem);
}

/* A learner whose last append took long is measured again, also when there is nothing new. */
static bool slow_learner(const Lead *lead)
{
    return lead->slot >= VOTER_MOST && lead->replication->peers[lead->slot].append_took_ms >= VOTER_SLOW_MS;
}

/* One task for each other voter, in the view or not, and for each learner. */
static void peer_main(void *arg)
{
    const Lead lead = *(Lead *)arg;
    Replication *replication = lead.replication;
    talloc_free(arg);
    Peer *peer = &replication->peers[lead.slot];
    bool told = false; /* it has taken an append under this term */
    while (!lead_peer_over(&lead)) {
        char address[ADDRESS_MAX];
        if (!voter_address(replication, lead.slot, address)) {
            loop_sleep(replication->loop, 100);
            continue;
        }
        if (peer->refill || peer->next_index <= replication->log->base_index) {
            fill_one(replication, &lead, address);
        } else if (peer->next_index <= log_last_index(replication->log) || !told || slow_learner(&lead)) {
            append_one(replication, &lead, address);
            told |= peer->match_index + 1 == peer->next_index;
            /* nobody waits for a learner: it takes several changes in one append */
            if (lead.slot >= VOTER_MOST && peer->next_index > log_last_index(replication->log))
                loop_sleep(replication->loop, LEARNER_APPEND_MS);
        } else {
            signal_wait(replication->loop, &replication->grew, loop_now_ms(replication->loop) + LOCK_RENEW_MS);
        }
    }
}

/* The median of the voters' wall clocks as an offset to the own clock; of two
 * the lower, so that nothing due comes early. */
static void wall_take(Replication *replication)
{
    int64_t offsets[VOTER_MOST];
    int count = 0;
    const int64_t now_ms = loop_now_ms(replication->loop);
    offsets[count++] = loop_wall_ms(replication->loop) - now_ms;
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] != 0 && replication->voters[i] != replication->disk &&
            replication->peers[i].wall_at_ms != 0 && now_ms - replication->peers[i].wall_at_ms < LOCK_GRANT_MS)
            offsets[count++] = replication->peers[i].wall_ms - replication->peers[i].wall_at_ms;
    for (int i = 1; i < count; i++)
        for (int k = i; k > 0 && offsets[k] < offsets[k - 1]; k--) {
            const int64_t swap = offsets[k];
            offsets[k] = offsets[k - 1];
            offsets[k - 1] = swap;
        }
    if ((size_t)count == replication->voter_count || !replication->wall_known) {
        replication->wall_offset_ms = offsets[(count - 1) / 2];
        replication->wall_known = true;
    }
}

/* Asks the voter for nothing but an answer. */
static bool heard(Replication *replication, const Lead *lead, const char *address)
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

static Status renew_one(Replication *replication, const Lead *lead, const char *address, int64_t sent_ms)
{
    void *mem = talloc_new(replication);
    const RenewAsk ask = {replication->term,
                          replication->disk,
                          replication->commit_index,
                          replication_clock_ms(replication),
                          members_self(replication->settings.members)->id,
                          lead->disk,
                          0};
    const uint64_t contact = replication->contact_asked;
    VoterAnswer answer = {0};
    const Status status = rpc_ask(replication->settings.rpc, mem, address, MESSAGE_RENEW, &RenewAsk_shape, &ask,
                                  ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    if (!lead_peer_over(lead)) {
        if (poll_reached(status))
            lead_answered(replication, lead->slot, &answer);
        if (status == STATUS_OK)
            granted(replication, lead->slot, sent_ms, contact);
    }
    talloc_free(mem);
    return status;
}

/* A voter that hears us while we do not hear it must not go on granting: one that
 * left a renewal unanswered is first asked for an answer alone. */
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
        /* appends renew as well; only the rest is told by renewals alone */
        const int64_t last_ms = replication->peers[lead.slot].renewed_ms;
        if (lead.disk != replication->disk && last_ms != INT64_MIN && asked_ms != INT64_MIN &&
            sent_ms - last_ms < LOCK_RENEW_MS && sent_ms - asked_ms < LOCK_TELL_MS &&
            !contact_owed(replication, lead.slot)) {
            contact_rest(replication, lead.slot, LOCK_RENEW_MS - (sent_ms - last_ms));
            continue;
        }
        if (lead.disk == replication->disk) {
            if (lock_renew(&replication->lock, replication->term, replication->disk, sent_ms) == STATUS_OK)
                lock_lease_answered(&replication->lease, lead.slot, sent_ms);
            wall_take(replication);
        } else if (voter_address(replication, lead.slot, address)) {
            Status status = STATUS_EXPIRED;
            if (doubt) {
                doubt = !heard(replication, &lead, address);
            } else {
                asked_ms = sent_ms;
                status = renew_one(replication, &lead, address, sent_ms);
                doubt = !poll_reached(status);
            }
            if (asked_ms != sent_ms && !doubt)
                continue; /* it answers again: now the renewal */
            if (status == STATUS_OK && !lead_peer_over(&lead) && contact_owed(replication, lead.slot))
                continue; /* another round of contact was asked for meanwhile */
        }
        const int64_t took_ms = loop_now_ms(replication->loop) - sent_ms;
        contact_rest(replication, lead.slot, took_ms < LOCK_RENEW_MS ? LOCK_RENEW_MS - took_ms : 1);
    }
}

static void lead_spawn(Replication *replication, const char *name, TaskFn fn, int slot)
{
    Lead *lead = talloc_zero(replication, Lead);
    *lead = (Lead){replication, replication->lead_turn, slot, slot_disk(replication, slot),
                   learner_turn(replication, slot)};
    loop_spawn(replication->loop, name, fn, lead);
}

void lead_renew(Replication *replication, int slot)
{
    lead_spawn(replication, "renew", renew_main, slot);
}

void lead_peer(Replication *replication, int slot)
{
    if (slot_disk(replication, slot) != replication->disk)
        lead_spawn(replication, "peer", peer_main, slot);
}

void lead_local(Replication *replication)
{
    lead_spawn(replication, "local", local_main, replication_own_voter(replication));
}

/* --- giving back ----------------------------------------------------------------------- */

typedef struct Giving {
    Replication *replication;
    RenewAsk ask;
    char address[ADDRESS_MAX];
} Giving;

static void release_main(void *arg)
{
    Giving *giving = arg;
    VoterAnswer answer = {0};
    rpc_ask(giving->replication->settings.rpc, giving, giving->address, MESSAGE_RELEASE, &RenewAsk_shape, &giving->ask,
            ASK_TIMEOUT_MS, &VoterAnswer_shape, &answer);
    talloc_free(giving);
}

void lead_release(Replication *replication, uint64_t next)
{
    for (int i = 0; i < VOTER_MOST; i++) {
        Giving *giving = talloc_zero(replication, Giving);
        if (replication->voters[i] == 0 || replication->voters[i] == replication->disk ||
            !voter_address(replication, i, giving->address)) {
            talloc_free(giving);
            continue;
        }
        giving->replication = replication;
        giving->ask = (RenewAsk){replication->term, replication->disk, 0, 0, "", replication->voters[i], next};
        loop_spawn(replication->loop, "release", release_main, giving);
    }
}

uint64_t lead_next(const Replication *replication, bool quick)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const Peer *best = NULL;
    uint64_t disk = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        const Peer *peer = &replication->peers[i];
        if (replication->voters[i] == replication->disk || !replication->in_configuration[i] ||
            now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS)
            continue;
        if (quick && (peer->sync_ms > VOTER_SLOW_MS / 2 || peer->append_took_ms > VOTER_SLOW_MS / 2 ||
                      (peer->append_since_ms != INT64_MAX && now_ms - peer->append_since_ms > VOTER_LATE_MS / 2)))
            continue;
        if (best == NULL || peer->match_index > best->match_index) {
            best = peer;
            disk = replication->voters[i];
        }
    }
    return disk;
}

void lead_down(Replication *replication, int64_t rest_ms)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (rest_ms > 0)
        replication->rest_until_ms = now_ms + rest_ms;
    replication->lead_turn++;
    if (replication->phase != REPLICATION_FOLLOWING || replication->holding) {
        if (replication->holding) {
            /* nothing is decided under this hold any more: the voters may forget it */
            lock_release(&replication->lock, replication->term, replication->disk, now_ms);
            lead_release(replication, lead_next(replication, false));
            recorder_write(replication->settings.recorder, RECORDER_NOTE, now_ms, "gives up view %" PRIu64,
                           term_counter(replication->term));
        }
        replication->phase = REPLICATION_FOLLOWING;
        replication->holding = false;
        lock_lease_clear(&replication->lease);
    }
    replication_waiters_end(replication, STATUS_OUTCOME_UNKNOWN);
    signal_raise(replication->loop, &replication->news);
}
