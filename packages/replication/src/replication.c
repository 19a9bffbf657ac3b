#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "inside.h"

Replication *replication_new(void *mem, const ReplicationSettings *settings)
{
    Replication *replication = talloc_zero(mem, Replication);
    replication->settings = *settings;
    replication->loop = settings->loop;
    replication->log = log_new(replication);
    voters_first(replication);
    return replication;
}

bool replication_founded(const Replication *replication)
{
    return replication->cluster != 0;
}

uint64_t replication_cluster(const Replication *replication)
{
    return replication->cluster;
}

bool replication_seated(const Replication *replication)
{
    return replication_own_voter(replication) >= 0;
}

uint64_t replication_disk(const Replication *replication)
{
    return replication->disk;
}

uint64_t configuration_term(const Replication *replication)
{
    return replication->term;
}

int64_t replication_won_ms(const Replication *replication)
{
    return replication->won_ms;
}

bool replication_orders(const Replication *replication)
{
    return replication->phase == REPLICATION_LEADING &&
           loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);
}

/* What is acknowledged outlives the losses that must be borne: it is on one disk more than
 * those, however many voters there are just now. */
static bool wide_enough(const Replication *replication)
{
    size_t copies = 0;
    for (int i = 0; i < VOTER_MOST; i++)
        copies += replication->in_configuration[i];
    return copies >= lock_majority(voters_wanted(replication));
}

bool replication_leading(const Replication *replication)
{
    return replication_orders(replication) && wide_enough(replication);
}

bool replication_holds(const Replication *replication)
{
    return (replication->phase == REPLICATION_LEADING ||
            (replication->phase == REPLICATION_OPENING && replication->reopening)) &&
           loop_now_ms(replication->loop) < lock_lease_until(&replication->lease);
}

bool replication_knows_holder(const Replication *replication)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    /* a woken voter may have forgotten: it must not say that it knows none */
    return lock_held(&replication->lock, now_ms) || now_ms < replication->lock.not_before_ms || replication->holding;
}

int64_t replication_clock_ms(const Replication *replication)
{
    return replication->clock_runs
               ? replication->clock_base_ms + (loop_now_ms(replication->loop) - replication->clock_at_ms)
               : replication->clock_base_ms;
}

void replication_clock_tell(Replication *replication, int64_t clock_ms)
{
    if (clock_ms > replication->clock_log_ms)
        replication->clock_log_ms = clock_ms;
    if (clock_ms > replication_clock_ms(replication) || !replication->clock_runs)
        replication_clock_set(replication, clock_ms);
}

void replication_clock_set(Replication *replication, int64_t clock_ms)
{
    replication->clock_base_ms = clock_ms > replication->clock_log_ms ? clock_ms : replication->clock_log_ms;
    replication->clock_at_ms = loop_now_ms(replication->loop);
    replication->clock_runs = true;
}

int64_t replication_wall_ms(const Replication *replication)
{
    return replication->wall_known ? loop_now_ms(replication->loop) + replication->wall_offset_ms
                                   : loop_wall_ms(replication->loop);
}

Signal *replication_news(Replication *replication)
{
    return &replication->news;
}

void replication_step_down(Replication *replication, int64_t rest_ms)
{
    lead_down(replication, rest_ms);
}

/* --- voters and last view, from the log ------------------------------------ */

static void last_set(Replication *replication, const TermRecord *record)
{
    talloc_free(replication->last_mem);
    replication->last_mem = talloc_new(replication);
    shape_copy(&TermRecord_shape, record, replication->last_mem, &replication->last);
}

/* The list that a majority has committed may only be followed by later ones. */
static void list_check(Replication *replication, uint64_t index)
{
    if (replication->list_index <= replication->commit_index && replication->list_index > replication->list_committed)
        replication->list_committed = replication->list_index;
    if (!replication->settings.disks_keep || index >= replication->list_committed || replication->list_old)
        return;
    replication->list_old = true;
    recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                   "the list of voters went back from entry %" PRIu64 " to %" PRIu64 ": votes no more",
                   replication->list_committed, index);
}

void replication_reread(Replication *replication)
{
    void *mem = talloc_new(replication);
    const VoterList *voters = NULL;
    const TermRecord *last = NULL;
    uint64_t voters_index = 0;
    VoterList voter_list;
    TermRecord replication_record;
    bool repaired = false;
    for (size_t i = replication->log->count; i > 0 && (voters == NULL || last == NULL); i--) {
        const Record *entry = &replication->log->entries[i - 1];
        if (entry->change == REPLICATION_CHANGE_VOTERS && voters == NULL &&
            shape_unpack(&VoterList_shape, entry->payload, mem, &voter_list, NULL) == STATUS_OK) {
            voters = &voter_list;
            voters_index = entry->index;
        }
        if (entry->change == REPLICATION_CHANGE_REPAIRED && last == NULL)
            repaired = true;
        if (entry->change == REPLICATION_CHANGE_TERM && last == NULL &&
            shape_unpack(&TermRecord_shape, entry->payload, mem, &replication_record, NULL) == STATUS_OK)
            last = &replication_record;
    }
    Snapshot snapshot;
    if ((voters == NULL || last == NULL) && replication->log->snapshot.kind == RECORD_SNAPSHOT &&
        shape_unpack(&Snapshot_shape, replication->log->snapshot.payload, mem, &snapshot, NULL) == STATUS_OK) {
        if (voters == NULL) {
            voter_list =
                (VoterList){snapshot.voters, snapshot.voters_count, snapshot.controllers, snapshot.controllers_count};
            voters = &voter_list;
            voters_index = replication->log->base_index;
        }
        if (last == NULL)
            last = &snapshot.last;
    }
    list_check(replication, voters_index);
    voters_take(replication, voters != NULL ? voters : replication->founded, voters_index);
    if (last != NULL) {
        last_set(replication, last);
        replication->last.repair &= !repaired;
    }
    talloc_free(mem);
}

/* --- delivery ---------------------------------------------------------------- */

static bool last_has(const Replication *replication, uint64_t disk)
{
    for (size_t i = 0; i < replication->last.members_count; i++)
        if (replication->last.members[i].disk == disk)
            return true;
    return false;
}

void replication_deliver(Replication *replication)
{
    bool any = false;
    while (replication->delivered_index < replication->commit_index) {
        const Record *entry = log_at(replication->log, replication->delivered_index + 1);
        if (entry == NULL)
            break;
        ChangeResult result = {STATUS_OK, 0, entry->index};
        if (entry->change >= REPLICATION_CHANGE_FIRST)
            replication->settings.state.deliver(replication->settings.state.arg, entry, &result);
        else if (entry->change == REPLICATION_CHANGE_TERM && entry->term == replication->lock.promised &&
                 last_has(replication, replication->disk))
            replication->woke = false; /* a view has brought this voter up to date */
        replication->delivered_index = entry->index;
        any = true;
        for (Waiter **at = &replication->waiters; *at != NULL;) {
            Waiter *waiter = *at;
            if (waiter->index != entry->index) {
                at = &waiter->next;
                continue;
            }
            *at = waiter->next;
            waiter->done = true;
            /* another entry took the place: the submitted one is gone for good */
            waiter->status = waiter->term == entry->term ? STATUS_OK : STATUS_OUTCOME_UNKNOWN;
            waiter->result = result;
            signal_raise(replication->loop, &waiter->ended);
        }
    }
    if (any) {
        signal_raise(replication->loop, &replication->news);
        replication_compact_maybe(replication, false);
    }
}

void replication_waiters_end(Replication *replication, Status status)
{
    while (replication->waiters != NULL) {
        Waiter *waiter = replication->waiters;
        replication->waiters = waiter->next;
        waiter->done = true;
        waiter->status = status;
        signal_raise(replication->loop, &waiter->ended);
    }
}

/* --- start ---------------------------------------------------------------------------- */

void replication_start(Replication *replication, Members *members)
{
    replication->settings.members = members;
    voter_serve(replication);
    /* a holder that starts anew holds nothing: the others need not wait it out, and it
     * is the first that they may promise anything to */
    if (replication->lock.promised != 0 && replication->lock.holder == replication->disk &&
        replication_seated(replication)) {
        replication->term = replication->lock.promised;
        replication->named = replication->lock.sure;
        lead_release(replication, replication->lock.sure ? replication->disk : 0);
    }
    replication_watch(replication);
    disk_start(replication);
    voters_start(replication);
}

Status replication_found(Replication *replication, uint64_t cluster, const VoterList *voters)
{
    if (replication->cluster != 0)
        return replication->cluster == cluster ? STATUS_OK : STATUS_STRANGER;
    replication->cluster = cluster;
    voters_founded(replication, voters);
    replication_reread(replication);
    rpc_set_cluster(replication->settings.rpc, cluster);
    members_set_empty(replication->settings.members, false);
    void *mem = talloc_new(replication);
    size_t count;
    const Record *records = replication_records(replication, mem, &count);
    const Status status = journal_write(replication->journal, records, 1);
    talloc_free(mem);
    return status;
}

/* --- submitting ------------------------------------------------------------------------- */

/* Waits while a view is opened anew by the same holder. The view's own changes
 * make it wide enough for those of others. */
static Status may_order(Replication *replication, uint64_t change, int64_t until_ms)
{
    while (replication->phase == REPLICATION_OPENING && replication->holding)
        if (!signal_wait(replication->loop, &replication->news, until_ms))
            return STATUS_BUSY;
    return replication_leading(replication) || (change < REPLICATION_CHANGE_FIRST && replication_orders(replication))
               ? STATUS_OK
               : STATUS_NOT_LEADER;
}

static Record order_add(Replication *replication, uint64_t change, Bytes payload)
{
    const Record entry = {.kind = RECORD_ENTRY,
                          .term = replication->term,
                          .index = log_last_index(replication->log) + 1,
                          .at_ms = replication_clock_ms(replication),
                          .change = change,
                          .name = "",
                          .payload = payload};
    log_add(replication->log, &entry);
    if (change < REPLICATION_CHANGE_FIRST)
        replication_reread(replication);
    signal_raise(replication->loop, &replication->grew);
    return entry;
}

Status replication_offer(Replication *replication, uint64_t change, Bytes payload)
{
    const Status status = may_order(replication, change, loop_now_ms(replication->loop) + SUBMIT_TIMEOUT_MS);
    if (status == STATUS_OK)
        order_add(replication, change, payload);
    return status;
}

Status replication_settle(Replication *replication)
{
    const uint64_t last_index = log_last_index(replication->log);
    const int64_t until_ms = loop_now_ms(replication->loop) + SUBMIT_TIMEOUT_MS;
    while (replication->delivered_index < last_index)
        if (!replication->holding || !signal_wait(replication->loop, &replication->news, until_ms))
            return STATUS_NOT_LEADER;
    return STATUS_OK;
}

Status replication_submit(Replication *replication, uint64_t change, Bytes payload, ChangeResult *result)
{
    const int64_t until_ms = loop_now_ms(replication->loop) + SUBMIT_TIMEOUT_MS;
    Status status = may_order(replication, change, until_ms);
    if (status != STATUS_OK)
        return status;
    const Record entry = order_add(replication, change, payload);
    Waiter *waiter = talloc_zero(replication, Waiter);
    waiter->term = entry.term;
    waiter->index = entry.index;
    waiter->next = replication->waiters;
    replication->waiters = waiter;
    while (!waiter->done)
        if (!signal_wait(replication->loop, &waiter->ended, until_ms))
            break;
    status = waiter->status;
    if (!waiter->done) {
        for (Waiter **at = &replication->waiters; *at != NULL; at = &(*at)->next)
            if (*at == waiter) {
                *at = waiter->next;
                break;
            }
        status = STATUS_OUTCOME_UNKNOWN;
    }
    /* the view may have got narrower while the change waited */
    if (status == STATUS_OK && change >= REPLICATION_CHANGE_FIRST && !wide_enough(replication))
        status = STATUS_OUTCOME_UNKNOWN;
    *result = waiter->result;
    talloc_free(waiter);
    return status;
}

Status replication_repaired(Replication *replication)
{
    ChangeResult result;
    return replication_submit(replication, REPLICATION_CHANGE_REPAIRED, (Bytes){0}, &result);
}

void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index)
{
    *term = replication->phase == REPLICATION_FOLLOWING ? replication->lock.promised : replication->term;
    *commit_index = replication->commit_index;
}

void replication_status(const Replication *replication, ReplicationStatus *sight)
{
    const int64_t now_ms = loop_now_ms(replication->loop);
    const int64_t until_ms = lock_lease_until(&replication->lease);
    memset(sight, 0, sizeof(*sight));
    sight->phase = replication->phase;
    replication_place(replication, &sight->term, &sight->commit_index);
    sight->holder = replication->lock.holder;
    sight->woke = replication->woke;
    sight->last_index = log_last_index(replication->log);
    sight->delivered_index = replication->delivered_index;
    sight->base_index = replication->log->base_index;
    sight->lease_left_ms = replication->holding && until_ms > now_ms ? until_ms - now_ms : 0;
    sight->configuration_changes = replication->configuration_changes;
    sight->other_histories = replication->other_histories;
    sight->journal = *journal_counts(replication->journal);
    for (int i = 0; i < VOTER_MOST; i++) {
        const Peer *peer = &replication->peers[i];
        const bool self = replication->voters[i] == replication->disk;
        if (replication->voters[i] == 0)
            continue;
        sight->voters[sight->voter_count++] = (ReplicationVoterStatus){
            .disk = replication->voters[i],
            .in_configuration = replication->in_configuration[i],
            .answers = self || now_ms - peer->answered_ms < LOCK_GRANT_MS,
            .woke = self ? replication->woke : peer->woke,
            .sync_ms = self ? sight->journal.last_sync_ms : peer->sync_ms,
            .match_index = self ? replication->synced_index : peer->match_index,
            .sight = self ? members_sight(replication->settings.members) : peer->sight,
        };
    }
    voters_sight(replication, sight);
}
