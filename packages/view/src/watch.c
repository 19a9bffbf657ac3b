/* What the holder watches, and who stands for the lock. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* Why a voter in the view is to leave it; null: it is not. */
static const char *leaves(const View *view, int place, bool spare, int64_t now_ms)
{
    const Peer *peer = &view->peers[place];
    const bool near = peer->match_index > 0 && peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(view->log);
    if (voter_dead(view, view->voters[place], false))
        return "its disk is gone";
    if (now_ms - peer->answered_ms > LOCK_GRANT_MS)
        return "silent";
    if (!spare)
        return NULL;
    const Member *member = members_find_disk(view->settings.members, view->voters[place]);
    if (member != NULL && member->record.leaving)
        return "its core leaves";
    if (peer->append_since_ms != INT64_MAX && now_ms - peer->append_since_ms > VOTER_LATE_MS)
        return "does not sync in time";
    if (peer->slow_times >= VOTER_SLOW_TIMES)
        return "slow";
    return !near && now_ms - view->changed_ms > VOTER_LATE_MS ? "far behind" : NULL;
}

static bool returns(const View *view, int place, int64_t now_ms)
{
    const Peer *peer = &view->peers[place];
    const Member *member = members_find_disk(view->settings.members, view->voters[place]);
    return (member == NULL || !member->record.leaving) && now_ms - peer->answered_ms <= LOCK_RENEW_MS * 2 &&
           peer->append_since_ms == INT64_MAX && peer->match_index > 0 &&
           peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(view->log) &&
           peer->append_took_ms < VOTER_SLOW_MS / 2 && peer->sync_ms < VOTER_SLOW_MS / 2 && now_ms >= peer->return_ms &&
           !voter_dead(view, view->voters[place], false);
}

/* Changes the view under the same term: takes in who is up to date, lets go who
 * keeps the others waiting, as long as a majority stays. True when a promise given
 * to another asks for a new term; skip is filled in then. */
static bool view_tend(View *view, bool skip[VOTER_MOST])
{
    const int64_t now_ms = loop_now_ms(view->loop);
    bool in_view[VOTER_MOST], anew = false, changed = false;
    size_t count = 0;
    memcpy(in_view, view->in_view, sizeof(in_view));
    for (int i = 0; i < VOTER_MOST; i++) {
        count += in_view[i];
        skip[i] = false;
    }
    for (int i = 0; i < VOTER_MOST; i++)
        if (view->voters[i] != 0 && view->voters[i] != view->disk && !in_view[i] && returns(view, i, now_ms)) {
            in_view[i] = changed = true;
            count++;
            recorder_write(view->settings.recorder, RECORDER_NOTE, now_ms, "seat %016" PRIx64 " comes into the view",
                           view->voters[i]);
        }
    for (int i = 0; i < VOTER_MOST; i++) {
        Peer *peer = &view->peers[i];
        if (view->voters[i] == 0 || view->voters[i] == view->disk)
            continue;
        /* a voter that has promised more takes nothing of ours, in the view or not */
        const bool silent = now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS;
        skip[i] = silent || voter_dead(view, view->voters[i], false);
        anew |= !skip[i] && peer->promised > view->term && now_ms - view->changed_ms > LOCK_RENEW_MS;
        if (!in_view[i])
            continue;
        const char *why = view->in_view[i] ? leaves(view, i, count > view_majority(view), now_ms) : NULL;
        if (why != NULL && count > view_majority(view)) {
            in_view[i] = false;
            changed = true;
            count--;
            peer->return_ms = now_ms + VOTER_REST_MS;
            peer->slow_times = 0;
            recorder_write(view->settings.recorder, RECORDER_ALERT, now_ms, "seat %016" PRIx64 " leaves the view: %s",
                           view->voters[i], why);
            continue;
        }
        /* it restarted within the view; one just taken in takes a renewal to be heard of */
        changed |= peer->woke && now_ms - view->changed_ms > 2 * LOCK_RENEW_MS;
    }
    if (!anew && changed)
        lead_turn(view, in_view);
    return anew;
}

/* The best partition is the largest. All that hold a majority of the voters can
 * reach each other's voters, but a leader may be cut off from other members: when
 * a voter in the view sees many more of them, the lock is better there. */
static bool view_blind(View *view)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    const uint64_t own = members_sight(view->settings.members);
    bool blind = false;
    for (int i = 0; i < VOTER_MOST; i++)
        if (view->in_view[i] && view->voters[i] != view->disk && now_ms - view->peers[i].answered_ms < LOCK_GRANT_MS)
            blind |= view->peers[i].sight > own + SIGHT_MARGIN && view->peers[i].sight > own + own / 2;
    if (!blind || now_ms - view->won_ms < MEMBER_QUIET_MS)
        view->blind_since_ms = 0;
    else if (view->blind_since_ms == 0)
        view->blind_since_ms = now_ms;
    return view->blind_since_ms != 0 && now_ms - view->blind_since_ms > SIGHT_HAND_MS;
}

/* Whether this voter knows no holder, and may be one itself. */
static bool may_stand(View *view)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    if (!view_founded(view) || !view_seated(view) || view_disk_failed(view) || now_ms < view->rest_until_ms)
        return false;
    /* a holder whose disk is gone holds nothing any more */
    if (view->lock.holder != view->disk && voter_dead(view, view->lock.holder, true))
        lock_release(&view->lock, view->lock.promised, view->lock.holder, now_ms);
    return !lock_held(&view->lock, now_ms) &&
           lock_may_promise(&view->lock, UINT64_MAX, view->disk, now_ms) == STATUS_OK;
}

/* Voters stand one after another, from the place after the last holder's on, so that
 * two do not ask for each other's promise; a small draw parts those that know
 * different lists. */
static int64_t turn_ms(View *view)
{
    const int last = view_voter_of(view, view->lock.holder), own = view_own_voter(view);
    const int places = (int)view->places;
    const int rank = last < 0 ? own : (own - last - 1 + places) % places;
    return rank * PROPOSE_TURN_MS + (int64_t)(loop_random(view->loop) % (PROPOSE_TURN_MS / 3));
}

static void watch_main(void *arg)
{
    View *view = arg;
    int64_t due_ms = 0;   /* it should look then */
    int64_t again_ms = 0; /* waited for before it stood again; 0: it did not have to */
    while (!loop_stopping(view->loop)) {
        const int64_t now_ms = loop_now_ms(view->loop);
        /* after a pause of its own, it first reads what has come in meanwhile */
        const bool paused = due_ms != 0 && now_ms - due_ms > WATCH_MS;
        if (view->phase == VIEW_LEADING && paused && now_ms < lock_lease_until(&view->lease)) {
            due_ms = now_ms + WATCH_MS / 4;
            loop_sleep(view->loop, WATCH_MS / 4);
            continue;
        }
        if (view->phase == VIEW_LEADING) {
            bool skip[VOTER_MOST];
            const int64_t since_ms = journal_sync_since(view->journal);
            if (now_ms >= lock_lease_until(&view->lease)) {
                recorder_write(view->settings.recorder, RECORDER_ALERT, now_ms, "the hold of the lock has lapsed");
                lead_down(view, 0);
            } else if ((since_ms != INT64_MAX && now_ms - since_ms > APPEND_TIMEOUT_MS) ||
                       (((since_ms != INT64_MAX && now_ms - since_ms > VOTER_LATE_MS) ||
                         view->slow_times >= VOTER_SLOW_TIMES) &&
                        lead_next(view, true) != 0)) {
                view->slow_times = 0;
                recorder_write(view->settings.recorder, RECORDER_ALERT, now_ms,
                               "own disk is slow: hands the lock over");
                lead_down(view, SLOW_DISK_REST_MS);
            } else if (view_blind(view)) {
                recorder_write(view->settings.recorder, RECORDER_ALERT, now_ms,
                               "another seat sees many more members: hands the lock over");
                view->blind_since_ms = 0;
                lead_down(view, SLOW_DISK_REST_MS);
            } else if (view_tend(view, skip)) {
                (void)view_open(view, skip); /* the next turn looks again */
            }
        } else if (view->phase == VIEW_FOLLOWING && !may_stand(view)) {
            again_ms = 0;
        } else if (view->phase == VIEW_FOLLOWING) {
            if (!view->named && again_ms == 0) /* one that the last holder named goes first */
                loop_sleep(view->loop, turn_ms(view));
            view->named = false;
            if (view->phase == VIEW_FOLLOWING && may_stand(view)) {
                const bool skip[VOTER_MOST] = {false};
                /* grants lapse one after another: at first it looks again soon */
                again_ms = view_open(view, skip) == STATUS_OK ? 0
                           : again_ms == 0                    ? PROPOSE_AGAIN_MS
                           : 2 * again_ms < PROPOSE_MS        ? 2 * again_ms
                                                              : PROPOSE_MS;
                if (again_ms > 0)
                    loop_sleep(view->loop, again_ms + (int64_t)(loop_random(view->loop) % (uint64_t)(again_ms)));
            }
        }
        due_ms = loop_now_ms(view->loop) + WATCH_MS;
        /* the moment that the holder's lease lapses is known */
        const int64_t lapse_ms = view->lock.lease_until_ms;
        const bool soon = view->phase == VIEW_FOLLOWING && lapse_ms > loop_now_ms(view->loop) && lapse_ms < due_ms;
        signal_wait(view->loop, &view->released, soon ? lapse_ms : due_ms);
    }
}

void view_watch(View *view)
{
    loop_spawn(view->loop, "watch", watch_main, view);
}
