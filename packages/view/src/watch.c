/* What the holder watches, and who stands for the lock. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* Why a seat in the view is to leave it; null: it is not. */
static const char *leaves(const View *view, int place, bool spare, int64_t now_ms)
{
    const Peer *peer = &view->peers[place];
    const bool near = peer->matchIndex > 0 && peer->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log);
    if (seatDead(view, view->seats[place], false))
        return "its disk is gone";
    if (now_ms - peer->answered_ms > LOCK_HOLD_MS)
        return "silent";
    if (!spare)
        return NULL;
    const Member *member = members_find_disk(view->props.members, view->seats[place]);
    if (member != NULL && member->record.leaving)
        return "its core leaves";
    if (peer->appendSinceMs != INT64_MAX && now_ms - peer->appendSinceMs > SEAT_LATE_MS)
        return "does not sync in time";
    if (peer->slowTimes >= SEAT_SLOW_TIMES)
        return "slow";
    return !near && now_ms - view->changedMs > SEAT_LATE_MS ? "far behind" : NULL;
}

static bool returns(const View *view, int place, int64_t now_ms)
{
    const Peer *peer = &view->peers[place];
    const Member *member = members_find_disk(view->props.members, view->seats[place]);
    return (member == NULL || !member->record.leaving) && now_ms - peer->answered_ms <= LOCK_RENEW_MS * 2 &&
           peer->appendSinceMs == INT64_MAX && peer->matchIndex > 0 &&
           peer->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log) && peer->appendTookMs < SEAT_SLOW_MS / 2 &&
           peer->syncMs < SEAT_SLOW_MS / 2 && now_ms >= peer->returnMs && !seatDead(view, view->seats[place], false);
}

/* Changes the view under the same epoch: takes in who is up to date, lets go who
 * keeps the others waiting, as long as a majority stays. True when a promise given
 * to another asks for a new epoch; skip is filled in then. */
static bool viewTend(View *view, bool skip[SEAT_MOST])
{
    const int64_t now_ms = loop_now_ms(view->loop);
    bool inView[SEAT_MOST], anew = false, changed = false;
    size_t count = 0;
    memcpy(inView, view->inView, sizeof(inView));
    for (int i = 0; i < SEAT_MOST; i++) {
        count += inView[i];
        skip[i] = false;
    }
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0 && view->seats[i] != view->disk && !inView[i] && returns(view, i, now_ms)) {
            inView[i] = changed = true;
            count++;
            ring_say(view->props.ring, RING_NOTE, now_ms, "seat %016" PRIx64 " comes into the view", view->seats[i]);
        }
    for (int i = 0; i < SEAT_MOST; i++) {
        Peer *peer = &view->peers[i];
        if (view->seats[i] == 0 || view->seats[i] == view->disk)
            continue;
        /* a seat that has promised more takes nothing of ours, in the view or not */
        const bool silent = now_ms - peer->answered_ms > 2 * LOCK_RENEW_MS;
        skip[i] = silent || seatDead(view, view->seats[i], false);
        anew |= !skip[i] && peer->promised > view->epoch && now_ms - view->changedMs > LOCK_RENEW_MS;
        if (!inView[i])
            continue;
        const char *why = view->inView[i] ? leaves(view, i, count > viewMajority(view), now_ms) : NULL;
        if (why != NULL && count > viewMajority(view)) {
            inView[i] = false;
            changed = true;
            count--;
            peer->returnMs = now_ms + SEAT_REST_MS;
            peer->slowTimes = 0;
            ring_say(view->props.ring, RING_ALERT, now_ms, "seat %016" PRIx64 " leaves the view: %s", view->seats[i],
                     why);
            continue;
        }
        /* it restarted within the view; one just taken in takes a renewal to be heard of */
        changed |= peer->woke && now_ms - view->changedMs > 2 * LOCK_RENEW_MS;
    }
    if (!anew && changed)
        leadTurn(view, inView);
    return anew;
}

/* The best partition is the largest. All that hold a majority of the seats can
 * reach each other's seats, but a leader may be cut off from other members: when
 * a seat in the view sees many more of them, the lock is better there. */
static bool viewBlind(View *view)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    const uint64_t own = members_sight(view->props.members);
    bool blind = false;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->inView[i] && view->seats[i] != view->disk && now_ms - view->peers[i].answered_ms < LOCK_HOLD_MS)
            blind |= view->peers[i].sight > own + SIGHT_MARGIN && view->peers[i].sight > own + own / 2;
    if (!blind || now_ms - view->wonMs < MEMBER_QUIET_MS)
        view->blindSinceMs = 0;
    else if (view->blindSinceMs == 0)
        view->blindSinceMs = now_ms;
    return view->blindSinceMs != 0 && now_ms - view->blindSinceMs > SIGHT_HAND_MS;
}

/* Whether this seat knows no holder, and may be one itself. */
static bool mayStand(View *view)
{
    const int64_t now_ms = loop_now_ms(view->loop);
    if (!viewFounded(view) || !viewSeated(view) || viewDiskFailed(view) || now_ms < view->rest_until_ms)
        return false;
    /* a holder whose disk is gone holds nothing any more */
    if (view->lock.holder != view->disk && seatDead(view, view->lock.holder, true))
        lock_release(&view->lock, view->lock.promised, view->lock.holder, now_ms);
    return !lock_held(&view->lock, now_ms) &&
           lock_may_promise(&view->lock, UINT64_MAX, view->disk, now_ms) == STATUS_OK;
}

/* Seats stand one after another, from the place after the last holder's on, so that
 * two do not ask for each other's promise; a small draw parts those that know
 * different lists. */
static int64_t turnMs(View *view)
{
    const int last = viewSeatOf(view, view->lock.holder), own = viewOwnSeat(view);
    const int places = (int)view->places;
    const int rank = last < 0 ? own : (own - last - 1 + places) % places;
    return rank * PROPOSE_TURN_MS + (int64_t)(loop_random(view->loop) % (PROPOSE_TURN_MS / 3));
}

static void watchMain(void *arg)
{
    View *view = arg;
    int64_t dueMs = 0;   /* it should look then */
    int64_t againMs = 0; /* waited for before it stood again; 0: it did not have to */
    while (!loop_stopping(view->loop)) {
        const int64_t now_ms = loop_now_ms(view->loop);
        /* after a pause of its own, it first reads what has come in meanwhile */
        const bool paused = dueMs != 0 && now_ms - dueMs > WATCH_MS;
        if (view->phase == VIEW_LEADING && paused && now_ms < lock_hold_until(&view->hold)) {
            dueMs = now_ms + WATCH_MS / 4;
            loop_sleep(view->loop, WATCH_MS / 4);
            continue;
        }
        if (view->phase == VIEW_LEADING) {
            bool skip[SEAT_MOST];
            const int64_t since_ms = journal_sync_since(view->journal);
            if (now_ms >= lock_hold_until(&view->hold)) {
                ring_say(view->props.ring, RING_ALERT, now_ms, "the hold of the lock has lapsed");
                leadDown(view, 0);
            } else if ((since_ms != INT64_MAX && now_ms - since_ms > APPEND_EXPIRY_MS) ||
                       (((since_ms != INT64_MAX && now_ms - since_ms > SEAT_LATE_MS) ||
                         view->slowTimes >= SEAT_SLOW_TIMES) &&
                        leadNext(view, true) != 0)) {
                view->slowTimes = 0;
                ring_say(view->props.ring, RING_ALERT, now_ms, "own disk is slow: hands the lock over");
                leadDown(view, SLOW_DISK_REST_MS);
            } else if (viewBlind(view)) {
                ring_say(view->props.ring, RING_ALERT, now_ms,
                         "another seat sees many more members: hands the lock over");
                view->blindSinceMs = 0;
                leadDown(view, SLOW_DISK_REST_MS);
            } else if (viewTend(view, skip)) {
                (void)viewOpen(view, skip); /* the next turn looks again */
            }
        } else if (view->phase == VIEW_FOLLOWING && !mayStand(view)) {
            againMs = 0;
        } else if (view->phase == VIEW_FOLLOWING) {
            if (!view->named && againMs == 0) /* one that the last holder named goes first */
                loop_sleep(view->loop, turnMs(view));
            view->named = false;
            if (view->phase == VIEW_FOLLOWING && mayStand(view)) {
                const bool skip[SEAT_MOST] = {false};
                /* grants lapse one after another: at first it looks again soon */
                againMs = viewOpen(view, skip) == STATUS_OK ? 0
                          : againMs == 0                    ? PROPOSE_AGAIN_MS
                          : 2 * againMs < PROPOSE_MS        ? 2 * againMs
                                                            : PROPOSE_MS;
                if (againMs > 0)
                    loop_sleep(view->loop, againMs + (int64_t)(loop_random(view->loop) % (uint64_t)(againMs)));
            }
        }
        dueMs = loop_now_ms(view->loop) + WATCH_MS;
        /* the moment that the holder's hold lapses is known */
        const int64_t lapseMs = view->lock.hold_until_ms;
        const bool soon = view->phase == VIEW_FOLLOWING && lapseMs > loop_now_ms(view->loop) && lapseMs < dueMs;
        signal_wait(view->loop, &view->released, soon ? lapseMs : dueMs);
    }
}

void viewWatch(View *view)
{
    loop_spawn(view->loop, "watch", watchMain, view);
}
