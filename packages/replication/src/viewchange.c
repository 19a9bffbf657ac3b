/* The view: the voters that every commit waits for. Its leader changes it within its term, by an
 * entry. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "state.h"
#include "viewchange.h"
#include "voterlist.h"

void lead_view_entry(Replication *replication, const bool in_configuration[VOTER_MOST], bool repair)
{
    memmove(replication->in_configuration, in_configuration, sizeof(replication->in_configuration));
    void *mem = talloc_new(replication);
    TermRecord record = {.term = replication->term,
                         .holder = replication->disk,
                         .members = talloc_array(mem, DiskId, VOTER_MOST),
                         .holder_id = members_self(replication->settings.members)->id,
                         .repair = repair || replication->last.repair};
    for (int i = 0; i < VOTER_MOST; i++)
        if (in_configuration[i])
            record.members[record.members_count++].disk = replication->voters[i];
    Record entry = {.kind = RECORD_ENTRY,
                    .term = replication->term,
                    .index = log_last_index(replication->log) + 1,
                    .at_ms = replication_clock_ms(replication),
                    .change = REPLICATION_CHANGE_TERM,
                    .name = ""};
    shape_pack(&TermRecord_shape, &record, mem, &entry.payload);
    log_add(replication->log, &entry);
    replication->replication_index = entry.index;
    replication_reread(replication);
    talloc_free(mem);
}

void lead_turn(Replication *replication, const bool in_configuration[VOTER_MOST])
{
    lead_view_entry(replication, in_configuration, false);
    replication->changed_ms = loop_now_ms(replication->loop);
    replication->configuration_changes++;
    signal_raise(replication->loop, &replication->grew);
}

/* Why a voter in the view is to leave it; null: it is not. */
static const char *leaves(const Replication *replication, int place, bool spare, int64_t now_ms)
{
    const Peer *peer = &replication->peers[place];
    const bool near =
        peer->match_index > 0 && peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(replication->log);
    if (voter_dead(replication, replication->voters[place], false))
        return "its disk is gone";
    if (now_ms - peer->answered_ms > LOCK_GRANT_MS)
        return "silent";
    if (!spare)
        return NULL;
    const Member *member = members_find_disk(replication->settings.members, replication->voters[place]);
    if (member != NULL && member->record.leaving)
        return "its core leaves";
    if (peer->append_since_ms != INT64_MAX && now_ms - peer->append_since_ms > VOTER_LATE_MS)
        return "does not sync in time";
    if (peer->slow_times >= VOTER_SLOW_TIMES)
        return "slow";
    return !near && now_ms - replication->changed_ms > VOTER_LATE_MS ? "far behind" : NULL;
}

static bool returns(const Replication *replication, int place, int64_t now_ms)
{
    const Peer *peer = &replication->peers[place];
    const Member *member = members_find_disk(replication->settings.members, replication->voters[place]);
    return (member == NULL || !member->record.leaving) && now_ms - peer->answered_ms <= LOCK_RENEW_MS * 2 &&
           peer->append_since_ms == INT64_MAX && peer->match_index > 0 &&
           peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(replication->log) &&
           peer->append_took_ms < VOTER_SLOW_MS / 2 && peer->sync_ms < VOTER_SLOW_MS / 2 && now_ms >= peer->return_ms &&
           !voter_dead(replication, replication->voters[place], false);
}

/* Changes the view under the same term: takes in who is up to date, lets go who
 * keeps the others waiting, as long as a majority stays. True when a promise given
 * to another asks for a new term; skip is filled in then. */
bool replication_tend(Replication *replication, bool skip[VOTER_MOST])
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    bool in_configuration[VOTER_MOST], anew = false, changed = false;
    size_t count = 0;
    memcpy(in_configuration, replication->in_configuration, sizeof(in_configuration));
    for (int i = 0; i < VOTER_MOST; i++) {
        count += in_configuration[i];
        skip[i] = false;
    }
    for (int i = 0; i < VOTER_MOST; i++)
        if (replication->voters[i] != 0 && replication->voters[i] != replication->disk && !in_configuration[i] &&
            returns(replication, i, now_ms)) {
            in_configuration[i] = changed = true;
            count++;
            recorder_write(replication->settings.recorder, RECORDER_NOTE, now_ms,
                           "seat %016" PRIx64 " comes into the view", replication->voters[i]);
        }
    for (int i = 0; i < VOTER_MOST; i++) {
        Peer *peer = &replication->peers[i];
        if (replication->voters[i] == 0 || replication->voters[i] == replication->disk)
            continue;
        /* a voter that has promised more takes nothing of ours, in the view or not */
        const bool silent = now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS;
        skip[i] = silent || voter_dead(replication, replication->voters[i], false);
        anew |= !skip[i] && peer->promised > replication->term && now_ms - replication->changed_ms > LOCK_RENEW_MS;
        if (!in_configuration[i])
            continue;
        const char *why = replication->in_configuration[i]
                              ? leaves(replication, i, count > replication_majority(replication), now_ms)
                              : NULL;
        if (why != NULL && count > replication_majority(replication)) {
            in_configuration[i] = false;
            changed = true;
            count--;
            peer->return_ms = now_ms + VOTER_REST_MS;
            peer->slow_times = 0;
            recorder_write(replication->settings.recorder, RECORDER_ALERT, now_ms,
                           "seat %016" PRIx64 " leaves the view: %s", replication->voters[i], why);
            continue;
        }
        /* it restarted within the view; one just taken in takes a renewal to be heard of */
        changed |= peer->woke && now_ms - replication->changed_ms > 2 * LOCK_RENEW_MS;
    }
    if (!anew && changed)
        lead_turn(replication, in_configuration);
    return anew;
}
