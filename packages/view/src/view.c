#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

View *view_new(void *mem, const ViewSettings *settings)
{
    View *view = talloc_zero(mem, View);
    view->settings = *settings;
    view->loop = settings->loop;
    view->log = log_new(view);
    voters_first(view);
    return view;
}

bool view_founded(const View *view)
{
    return view->cluster != 0;
}

uint64_t view_cluster(const View *view)
{
    return view->cluster;
}

bool view_seated(const View *view)
{
    return view_own_voter(view) >= 0;
}

uint64_t view_disk(const View *view)
{
    return view->disk;
}

uint64_t view_term(const View *view)
{
    return view->term;
}

int64_t view_won_ms(const View *view)
{
    return view->won_ms;
}

bool view_orders(const View *view)
{
    return view->phase == VIEW_LEADING && loop_now_ms(view->loop) < lock_lease_until(&view->lease);
}

/* What is acknowledged outlives the losses that must be borne: it is on one disk more than
 * those, however many voters there are just now. */
static bool wide_enough(const View *view)
{
    size_t copies = 0;
    for (int i = 0; i < VOTER_MOST; i++)
        copies += view->in_view[i];
    return copies >= lock_majority(voters_wanted(view));
}

bool view_leading(const View *view)
{
    return view_orders(view) && wide_enough(view);
}

bool view_holds(const View *view)
{
    return (view->phase == VIEW_LEADING || (view->phase == VIEW_OPENING && view->reopening)) &&
           loop_now_ms(view->loop) < lock_lease_until(&view->lease);
}

bool view_knows_holder(const View *view)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    /* a woken voter may have forgotten: it must not say that it knows none */
    return lock_held(&view->lock, now_ms) || now_ms < view->lock.not_before_ms || view->holding;
}

int64_t view_clock_ms(const View *view)
{
    return view->clock_runs ? view->clock_base_ms + (loop_now_ms(view->loop) - view->clock_at_ms) : view->clock_base_ms;
}

void view_clock_tell(View *view, int64_t clock_ms)
{
    if (clock_ms > view->clock_log_ms)
        view->clock_log_ms = clock_ms;
    if (clock_ms > view_clock_ms(view) || !view->clock_runs)
        view_clock_set(view, clock_ms);
}

void view_clock_set(View *view, int64_t clock_ms)
{
    view->clock_base_ms = clock_ms > view->clock_log_ms ? clock_ms : view->clock_log_ms;
    view->clock_at_ms = loop_now_ms(view->loop);
    view->clock_runs = true;
}

int64_t view_wall_ms(const View *view)
{
    return view->wall_known ? loop_now_ms(view->loop) + view->wall_offset_ms : loop_wall_ms(view->loop);
}

Signal *view_news(View *view)
{
    return &view->news;
}

void view_step_down(View *view, int64_t rest_ms)
{
    lead_down(view, rest_ms);
}

/* --- voters and last view, from the log ------------------------------------ */

static void last_set(View *view, const ViewRecord *record)
{
    talloc_free(view->last_mem);
    view->last_mem = talloc_new(view);
    shape_copy(&ViewRecord_shape, record, view->last_mem, &view->last);
}

/* The list that a majority has committed may only be followed by later ones. */
static void list_check(View *view, uint64_t index)
{
    if (view->list_index <= view->commit_index && view->list_index > view->list_committed)
        view->list_committed = view->list_index;
    if (!view->settings.disks_keep || index >= view->list_committed || view->list_old)
        return;
    view->list_old = true;
    recorder_write(view->settings.recorder, RECORDER_ALERT, loop_now_ms(view->loop),
                   "the list of voters went back from entry %" PRIu64 " to %" PRIu64 ": votes no more",
                   view->list_committed, index);
}

void view_reread(View *view)
{
    void *mem = talloc_new(view);
    const VoterList *voters = NULL;
    const ViewRecord *last = NULL;
    uint64_t voters_index = 0;
    VoterList voter_list;
    ViewRecord view_record;
    bool repaired = false;
    for (size_t i = view->log->count; i > 0 && (voters == NULL || last == NULL); i--) {
        const Record *entry = &view->log->entries[i - 1];
        if (entry->change == VIEW_CHANGE_VOTERS && voters == NULL &&
            shape_unpack(&VoterList_shape, entry->payload, mem, &voter_list, NULL) == STATUS_OK) {
            voters = &voter_list;
            voters_index = entry->index;
        }
        if (entry->change == VIEW_CHANGE_REPAIRED && last == NULL)
            repaired = true;
        if (entry->change == VIEW_CHANGE_VIEW && last == NULL &&
            shape_unpack(&ViewRecord_shape, entry->payload, mem, &view_record, NULL) == STATUS_OK)
            last = &view_record;
    }
    Snapshot snapshot;
    if ((voters == NULL || last == NULL) && view->log->snapshot.kind == RECORD_SNAPSHOT &&
        shape_unpack(&Snapshot_shape, view->log->snapshot.payload, mem, &snapshot, NULL) == STATUS_OK) {
        if (voters == NULL) {
            voter_list = (VoterList){snapshot.voters, snapshot.voters_count, snapshot.cores, snapshot.cores_count};
            voters = &voter_list;
            voters_index = view->log->base_index;
        }
        if (last == NULL)
            last = &snapshot.last;
    }
    list_check(view, voters_index);
    voters_take(view, voters != NULL ? voters : view->founded, voters_index);
    if (last != NULL) {
        last_set(view, last);
        view->last.repair &= !repaired;
    }
    talloc_free(mem);
}

/* --- delivery ---------------------------------------------------------------- */

static bool last_has(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < view->last.members_count; i++)
        if (view->last.members[i].disk == disk)
            return true;
    return false;
}

void view_deliver(View *view)
{
    bool any = false;
    while (view->delivered_index < view->commit_index) {
        const Record *entry = log_at(view->log, view->delivered_index + 1);
        if (entry == NULL)
            break;
        ChangeResult result = {STATUS_OK, 0, entry->index};
        if (entry->change >= VIEW_CHANGE_FIRST)
            view->settings.state.deliver(view->settings.state.arg, entry, &result);
        else if (entry->change == VIEW_CHANGE_VIEW && entry->term == view->lock.promised && last_has(view, view->disk))
            view->woke = false; /* a view has brought this voter up to date */
        view->delivered_index = entry->index;
        any = true;
        for (Waiter **at = &view->waiters; *at != NULL;) {
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
            signal_raise(view->loop, &waiter->ended);
        }
    }
    if (any) {
        signal_raise(view->loop, &view->news);
        view_compact_maybe(view, false);
    }
}

void view_waiters_end(View *view, Status status)
{
    while (view->waiters != NULL) {
        Waiter *waiter = view->waiters;
        view->waiters = waiter->next;
        waiter->done = true;
        waiter->status = status;
        signal_raise(view->loop, &waiter->ended);
    }
}

/* --- start ---------------------------------------------------------------------------- */

void view_start(View *view, Members *members)
{
    view->settings.members = members;
    voter_serve(view);
    /* a holder that starts anew holds nothing: the others need not wait it out, and it
     * is the first that they may promise anything to */
    if (view->lock.promised != 0 && view->lock.holder == view->disk && view_seated(view)) {
        view->term = view->lock.promised;
        view->named = view->lock.sure;
        lead_release(view, view->lock.sure ? view->disk : 0);
    }
    view_watch(view);
    disk_start(view);
    voters_start(view);
}

Status view_found(View *view, uint64_t cluster, const VoterList *voters)
{
    if (view->cluster != 0)
        return view->cluster == cluster ? STATUS_OK : STATUS_STRANGER;
    view->cluster = cluster;
    voters_founded(view, voters);
    view_reread(view);
    rpc_set_cluster(view->settings.rpc, cluster);
    members_set_empty(view->settings.members, false);
    void *mem = talloc_new(view);
    size_t count;
    const Record *records = view_records(view, mem, &count);
    const Status status = journal_write(view->journal, records, 1);
    talloc_free(mem);
    return status;
}

/* --- submitting ------------------------------------------------------------------------- */

/* Waits while a view is opened anew by the same holder. The view's own changes
 * make it wide enough for those of others. */
static Status may_order(View *view, uint64_t change, int64_t until_ms)
{
    while (view->phase == VIEW_OPENING && view->holding)
        if (!signal_wait(view->loop, &view->news, until_ms))
            return STATUS_BUSY;
    return view_leading(view) || (change < VIEW_CHANGE_FIRST && view_orders(view)) ? STATUS_OK : STATUS_NOT_LEADER;
}

static Record order_add(View *view, uint64_t change, Bytes payload)
{
    const Record entry = {.kind = RECORD_ENTRY,
                          .term = view->term,
                          .index = log_last_index(view->log) + 1,
                          .at_ms = view_clock_ms(view),
                          .change = change,
                          .name = "",
                          .payload = payload};
    log_add(view->log, &entry);
    if (change < VIEW_CHANGE_FIRST)
        view_reread(view);
    signal_raise(view->loop, &view->grew);
    return entry;
}

Status view_offer(View *view, uint64_t change, Bytes payload)
{
    const Status status = may_order(view, change, loop_now_ms(view->loop) + SUBMIT_TIMEOUT_MS);
    if (status == STATUS_OK)
        order_add(view, change, payload);
    return status;
}

Status view_settle(View *view)
{
    const uint64_t last_index = log_last_index(view->log);
    const int64_t until_ms = loop_now_ms(view->loop) + SUBMIT_TIMEOUT_MS;
    while (view->delivered_index < last_index)
        if (!view->holding || !signal_wait(view->loop, &view->news, until_ms))
            return STATUS_NOT_LEADER;
    return STATUS_OK;
}

Status view_submit(View *view, uint64_t change, Bytes payload, ChangeResult *result)
{
    const int64_t until_ms = loop_now_ms(view->loop) + SUBMIT_TIMEOUT_MS;
    Status status = may_order(view, change, until_ms);
    if (status != STATUS_OK)
        return status;
    const Record entry = order_add(view, change, payload);
    Waiter *waiter = talloc_zero(view, Waiter);
    waiter->term = entry.term;
    waiter->index = entry.index;
    waiter->next = view->waiters;
    view->waiters = waiter;
    while (!waiter->done)
        if (!signal_wait(view->loop, &waiter->ended, until_ms))
            break;
    status = waiter->status;
    if (!waiter->done) {
        for (Waiter **at = &view->waiters; *at != NULL; at = &(*at)->next)
            if (*at == waiter) {
                *at = waiter->next;
                break;
            }
        status = STATUS_OUTCOME_UNKNOWN;
    }
    /* the view may have got narrower while the change waited */
    if (status == STATUS_OK && change >= VIEW_CHANGE_FIRST && !wide_enough(view))
        status = STATUS_OUTCOME_UNKNOWN;
    *result = waiter->result;
    talloc_free(waiter);
    return status;
}

Status view_repaired(View *view)
{
    ChangeResult result;
    return view_submit(view, VIEW_CHANGE_REPAIRED, (Bytes){0}, &result);
}

void view_place(const View *view, uint64_t *term, uint64_t *commit_index)
{
    *term = view->phase == VIEW_FOLLOWING ? view->lock.promised : view->term;
    *commit_index = view->commit_index;
}

void view_sight(const View *view, ViewSight *sight)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    const int64_t until_ms = lock_lease_until(&view->lease);
    memset(sight, 0, sizeof(*sight));
    sight->phase = view->phase;
    view_place(view, &sight->term, &sight->commit_index);
    sight->holder = view->lock.holder;
    sight->woke = view->woke;
    sight->last_index = log_last_index(view->log);
    sight->delivered_index = view->delivered_index;
    sight->base_index = view->log->base_index;
    sight->lease_left_ms = view->holding && until_ms > now_ms ? until_ms - now_ms : 0;
    sight->view_changes = view->view_changes;
    sight->other_histories = view->other_histories;
    sight->journal = *journal_counts(view->journal);
    for (int i = 0; i < VOTER_MOST; i++) {
        const Peer *peer = &view->peers[i];
        const bool self = view->voters[i] == view->disk;
        if (view->voters[i] == 0)
            continue;
        sight->voters[sight->voter_count++] = (ViewVoterSight){
            .disk = view->voters[i],
            .in_view = view->in_view[i],
            .answers = self || now_ms - peer->answered_ms < LOCK_GRANT_MS,
            .woke = self ? view->woke : peer->woke,
            .sync_ms = self ? sight->journal.last_sync_ms : peer->sync_ms,
            .match_index = self ? view->synced_index : peer->match_index,
            .sight = self ? members_sight(view->settings.members) : peer->sight,
        };
    }
    voters_sight(view, sight);
}
