/* The view: the voters that each commit waits for. The leader changes it within its term by a TERM entry. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/invariant.h"
#include "state.h"
#include "view_change.h"
#include "voter_list.h"

void view_entry_add(Replication *replication, const bool in_view[VOTERS_MAX], bool repair)
{
    memmove(replication->in_view, in_view, sizeof(replication->in_view));
    void *mem = talloc_new(replication);
    TermRecord record = {.term = replication->term,
                         .holder = replication->disk,
                         .members = talloc_array(mem, DiskId, VOTERS_MAX),
                         .holder_id = members_self(replication->settings.members)->id,
                         .repair = repair || replication->last_view.repair};
    for (int i = 0; i < VOTERS_MAX; i++)
        if (in_view[i])
            record.members[record.members_count++].disk = replication->voters[i];
    Record entry = {.kind = RECORD_ENTRY,
                    .term = replication->term,
                    .index = log_last_index(replication->log) + 1,
                    .at_ms = replication_clock_ms(replication),
                    .change = REPLICATION_CHANGE_TERM,
                    .name = ""};
    shape_pack(&TermRecord_shape, &record, mem, &entry.payload);
    INVARIANT(LOG_ORDER, entry.term >= log_last_term(replication->log));
    log_add(replication->log, &entry);
    replication->term_entry_index = entry.index;
    voters_reload(replication);
    talloc_free(mem);
}

void view_change(Replication *replication, const bool in_view[VOTERS_MAX])
{
    view_entry_add(replication, in_view, false);
    replication->view_changed_ms = loop_now_ms(replication->loop);
    replication->view_changes++;
    signal_raise(replication->loop, &replication->log_grew);
}

/* Returns the reason to remove the voter at the position from the view; NULL: none. spare: a majority remains without
 * the voter, so that it may also be removed merely for being slow. */
static const char *leave_reason(const Replication *replication, int place, bool spare, int64_t now_ms)
{
    const Peer *peer = &replication->peers[place];
    const bool near =
        peer->match_index > 0 && peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(replication->log);
    if (voter_disk_replaced(replication, replication->voters[place], REPLACEMENT_ANY_ADDRESS))
        return "its disk is lost";
    if (now_ms - peer->answered_ms > LOCK_GRANT_MS)
        return "silent";
    if (!spare)
        return NULL;
    const Member *member = members_find_disk(replication->settings.members, replication->voters[place]);
    if (member != NULL && member->record.leaving)
        return "its controller leaves";
    if (peer->append_since_ms != INT64_MAX && now_ms - peer->append_since_ms > VOTER_SYNC_LATE_MS)
        return "does not sync in time";
    if (peer->slow_count >= VOTER_SLOW_SYNCS)
        return "slow";
    return !near && now_ms - replication->view_changed_ms > VOTER_SYNC_LATE_MS ? "far behind" : NULL;
}

/* Whether the voter at the position has nearly all of the log, answers in time, and was out of the view long enough. */
static bool may_rejoin(const Replication *replication, int place, int64_t now_ms)
{
    const Peer *peer = &replication->peers[place];
    const Member *member = members_find_disk(replication->settings.members, replication->voters[place]);
    return (member == NULL || !member->record.leaving) && now_ms - peer->answered_ms <= LOCK_RENEW_MS * 2 &&
           peer->append_since_ms == INT64_MAX && peer->match_index > 0 &&
           peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(replication->log) &&
           peer->append_duration_ms < VOTER_SLOW_MS / 2 && peer->sync_ms < VOTER_SLOW_MS / 2 &&
           now_ms >= peer->rejoin_ms &&
           !voter_disk_replaced(replication, replication->voters[place], REPLACEMENT_ANY_ADDRESS);
}

/* The next view while it is being determined. */
typedef struct NextView {
    bool in_view[VOTERS_MAX]; /* by position */
    size_t count;             /* number of voters in the view */
    bool changed;
} NextView;

/* Adds voters that are up to date to the view. */
static void view_add_ready(const Replication *replication, NextView *next, int64_t now_ms)
{
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->voters[i] != 0 && replication->voters[i] != replication->disk && !next->in_view[i] &&
            may_rejoin(replication, i, now_ms)) {
            next->in_view[i] = next->changed = true;
            next->count++;
            log_event(replication->settings.recorder, LOG_VOTER_IN, now_ms,
                      &(LogFields){.peer_disk = replication->voters[i]});
        }
}

/* Removes the voter at the position from the view if it delays the others. */
static void view_remove_late(Replication *replication, NextView *next, int place, int64_t now_ms)
{
    Peer *peer = &replication->peers[place];
    const bool spare = next->count > replication_majority(replication);
    const char *why = replication->in_view[place] ? leave_reason(replication, place, spare, now_ms) : NULL;
    if (why != NULL && spare) {
        next->in_view[place] = false;
        next->changed = true;
        next->count--;
        peer->rejoin_ms = now_ms + VOTER_OUT_OF_VIEW_MS;
        peer->slow_count = 0;
        log_event(replication->settings.recorder, LOG_VOTER_OUT, now_ms,
                  &(LogFields){.peer_disk = replication->voters[place], .text = why});
        return;
    }
    /* a voter that restarted while in the view needs another TERM entry, whose delivery clears its restarted flag. For
     * a voter that has just been added, the flag is up to date only after a renewal */
    next->changed |= peer->restarted && now_ms - replication->view_changed_ms > 2 * LOCK_RENEW_MS;
}

/* Whether the peer has promised a higher term than this one and therefore refuses everything in this term. The peer may
 * be a voter, in the view or not, or a learner, which may have been a voter before. A new term is then needed, but not
 * again before the effect of the previous one shows. */
static bool peer_promised_higher(const Replication *replication, int slot, int64_t now_ms)
{
    return replication->peers[slot].promised > replication->term &&
           now_ms - replication->view_changed_ms > LOCK_RENEW_MS;
}

/* Whether a learner that answers refuses everything in this term. */
static bool learner_promised_higher(const Replication *replication, int64_t now_ms)
{
    bool above = false;
    for (int i = VOTERS_MAX; i < SLOTS_MAX; i++)
        above |= slot_disk(replication, i) != 0 && now_ms - replication->peers[i].answered_ms <= 2 * LOCK_RENEW_MS &&
                 peer_promised_higher(replication, i, now_ms);
    return above;
}

bool view_update(Replication *replication, bool skip[VOTERS_MAX])
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    NextView next = {0};
    bool election_needed = learner_promised_higher(replication, now_ms);
    memcpy(next.in_view, replication->in_view, sizeof(next.in_view));
    for (int i = 0; i < VOTERS_MAX; i++) {
        next.count += next.in_view[i];
        skip[i] = false;
    }
    view_add_ready(replication, &next, now_ms);
    for (int i = 0; i < VOTERS_MAX; i++) {
        const Peer *peer = &replication->peers[i];
        if (replication->voters[i] == 0 || replication->voters[i] == replication->disk)
            continue;
        const bool silent = now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS;
        skip[i] = silent || voter_disk_replaced(replication, replication->voters[i], REPLACEMENT_ANY_ADDRESS);
        election_needed |= !skip[i] && peer_promised_higher(replication, i, now_ms);
        if (next.in_view[i])
            view_remove_late(replication, &next, i, now_ms);
    }
    if (!election_needed && next.changed)
        view_change(replication, next.in_view);
    return election_needed;
}
